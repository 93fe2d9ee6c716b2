/// \file
/// \brief Processor time of one exchange of digests and of one probe over loopback HTTP.
/// \details bench_membership_http [rounds]. Client and server run on one thread, so the time holds
/// both ends: HTTP, sockets, JSON-RPC and the codec. One exchange costs each of two entry VMs about
/// half of it; of a probe, an entry VM pays the client's part only.

#include <cardamombay/endpoint/endpoint_codec.hpp>
#include <cardamombay/endpoint/http_endpoint_orders.hpp>
#include <cardamombay/net/asio_http_client.hpp>
#include <cardamombay/net/http_server.hpp>
#include <cardamombay/rpc/json_rpc_dispatcher.hpp>
#include <cardamombay/rpc/json_rpc_peer_transport.hpp>
#include <cardamombay/rpc/rpc_http_handler.hpp>

#include <boost/asio/io_context.hpp>

#include <cstdio>
#include <cstdlib>
#include <ctime>

namespace cardamombay::bench {

namespace {

double processorSeconds()
{
    timespec time{};
    clock_gettime(CLOCK_THREAD_CPUTIME_ID, &time);
    return static_cast<double>(time.tv_sec) + static_cast<double>(time.tv_nsec) * 1e-9;
}

endpoint::EndpointState sampleState()
{
    endpoint::EndpointState state;
    state.vm_ = VmId("v0001");
    state.incarnation_ = Incarnation(3);
    state.phase_ = endpoint::EnginePhase::Ready;
    state.assignment_ = endpoint::Assignment{GroupId("lm-narrazione/zone-1/3"), Generation(9), 2};
    state.model_ = {ModelName("narrazione-large"), ModelVersion("2026-11-01"), {"it", "ar"}};
    return state;
}

membership::Digest sampleDigest()
{
    membership::Digest digest;
    digest.from_ = {EntryId("e012"),
                    Address{"10.0.0.13", 7100},
                    AvailabilityZone("zone-12"),
                    RegionName("region-3"),
                    Incarnation(1),
                    membership::MemberStatus::Alive,
                    false,
                    ConfigVersion(4300)};
    digest.to_ = EntryId("e200");
    digest.sequence_ = 1234567890;
    digest.echo_ = {1234567000, std::chrono::milliseconds(20)};
    digest.wantsPayload_ = true;
    digest.watch_ = membership::WatchSummary{1234, 1235, std::chrono::milliseconds(900), 99, {}};
    digest.loads_.push_back({VmId("v0001"), {12, 3, 0.5, std::chrono::milliseconds(100)}});
    return digest;
}

/// Answers the peer link through the dispatcher and everything else with a state.
class Handler final : public net::HttpHandler
{
public:
    explicit Handler(rpc::JsonRpcDispatcher &dispatcher)
        : rpc_(dispatcher)
        , state_(endpoint::encodeState(sampleState()))
    {
    }

    void handle(net::ServerRequest request, std::shared_ptr<net::ServerExchange> exchange) override
    {
        if (rpc::RpcHttpHandler::isRpc(request)) {
            rpc_.handle(std::move(request), std::move(exchange));
            return;
        }
        exchange->respond(net::HttpResponse{200, {{"Content-Type", "application/json"}}, state_});
    }
    net::HttpResponse refusal(net::ServerFault fault, std::string_view detail) override
    {
        return rpc_.refusal(fault, detail);
    }

private:
    rpc::RpcHttpHandler rpc_;
    std::string state_;
};

/// Runs \p start once after the other and returns microseconds of processor time for each.
template<typename Start>
double measure(boost::asio::io_context &context, int rounds, const Start &start)
{
    int done = 0;
    int failed = 0;
    std::function<void(bool)> next = [&](bool isGood) {
        failed += isGood ? 0 : 1;
        if (++done < rounds)
            start(next);
    };
    const double before = processorSeconds();
    start(next);
    while (done < rounds)
        context.run_one();
    if (failed != 0)
        std::printf("failed,%d\n", failed);
    return (processorSeconds() - before) * 1e6 / rounds;
}

void run(int rounds)
{
    boost::asio::io_context context;
    rpc::JsonRpcDispatcher dispatcher;
    dispatcher.setExchangeHandler([](const membership::Digest &) { return sampleDigest(); });
    Handler handler(dispatcher);
    net::HttpServer server({{&context, &handler}}, {});
    const auto bound = server.listen(Address{"127.0.0.1", 0});
    if (!isOk(bound))
        return;
    const Address address = valueOf(bound);
    net::AsioHttpClient client(context);
    rpc::JsonRpcPeerTransport transport(client);
    endpoint::HttpEndpointOrders orders(client);

    const double exchange = measure(context, rounds, [&](const std::function<void(bool)> &next) {
        transport.exchange(address, sampleDigest(),
                           [&next](const auto &result) { next(isOk(result)); });
    });
    const double probe = measure(context, rounds, [&](const std::function<void(bool)> &next) {
        orders.probe(VmId("v0001"), address, [&next](const auto &result) { next(isOk(result)); });
    });
    std::printf("what,cpu_us_both_ends\nexchange,%.1f\nprobe,%.1f\n", exchange, probe);
}

} // namespace

} // namespace cardamombay::bench

int main(int argc, char **argv)
{
    constexpr int defaultRounds = 20000;
    cardamombay::bench::run(argc > 1 ? std::atoi(argv[1]) : defaultRounds);
    return EXIT_SUCCESS;
}
