// Tokens a second that one traffic thread passes on, against reading straight from the endpoint.
//   build/bin/bench_entry_streams [STREAMS] [TOKENS] [CHARTS]
// The endpoint writes each token as an event of its own, as fast as it is read. All parts run in
// one process on threads of their own and talk over loopback TCP.
#include <cardamombay/log/log.hpp>
#include <cardamombay/net/asio_clock.hpp>
#include <cardamombay/net/http_server.hpp>
#include <cardamombay/traffic/snapshot_holder.hpp>
#include <cardamombay/traffic/traffic_service.hpp>

#include <boost/asio/connect.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>

#include <array>
#include <atomic>
#include <cstdio>
#include <cstdlib>
#include <string>
#include <thread>
#include <vector>

using namespace cardamombay;

namespace {

/// Streams a fixed number of tokens to every request.
class TokenServer final : public net::HttpHandler
{
public:
    explicit TokenServer(int tokens)
        : tokens_(tokens)
    {
    }

    void handle(net::ServerRequest request, std::shared_ptr<net::ServerExchange> exchange) override
    {
        const std::string attempt(request.field("X-Attempt-Id"));
        exchange->startStream(
            {200, {{"Content-Type", "text/event-stream"}, {"X-Attempt-Id", attempt}}, {}});
        next(exchange, attempt, 0);
    }
    net::HttpResponse refusal(net::ServerFault, std::string_view) override { return {400, {}, {}}; }

private:
    void next(const std::shared_ptr<net::ServerExchange> &exchange, const std::string &attempt,
              int index)
    {
        const bool isLast = index == tokens_;
        const auto event = std::make_shared<const std::string>(
            isLast ? "data: [DONE]\n\n"
                   : "data: {\"id\":\"" + attempt + "\",\"index\":" + std::to_string(index)
                         + ",\"choices\":[{\"index\":0,\"text\":\" token\"}]}\n\n");
        const std::array<std::string_view, 1> parts{*event};
        exchange->write(parts, [this, exchange, attempt, index, isLast, event] {
            if (isLast)
                exchange->finish({});
            else
                next(exchange, attempt, index + 1);
        });
    }

    int tokens_;
};

class FixedControl final : public traffic::ControlLink
{
public:
    FixedControl(const Address &endpoint, TimePoint now)
    {
        auto configuration = std::make_shared<config::Configuration>();
        configuration->teams_ = {{TeamName("bench"), 1.0, {}}};
        config::Service service;
        service.name_ = ServiceName("lm");
        service.requestsPerReplica_ = 4096;
        configuration->services_ = {service};
        auto snapshot = std::make_shared<routing::RoutingSnapshot>();
        snapshot->sequence_ = 1;
        snapshot->self_ = EntryId("entry-1");
        snapshot->configuration_ = configuration;
        routing::SnapshotGroup group;
        group.group_ = GroupId("lm/a/0");
        group.address_ = endpoint;
        group.freshUntil_ = now + std::chrono::hours(1);
        group.capacity_ = 4096;
        snapshot->services_ = {{service.name_, {group}}};
        holder_.publish(snapshot);
    }
    [[nodiscard]] routing::RoutingSnapshotPtr snapshot() const override
    {
        return holder_.snapshot();
    }
    void postTraffic(traffic::TrafficReport) override {}
    void claim(traffic::ClaimRequest, traffic::ClaimCallback) override {}
    void completeClaim(traffic::ClaimCompletion) override {}

private:
    traffic::SnapshotHolder holder_;
};

/// Reads one stream to its end marker; exits if it does not come.
void readStream(const Address &address)
{
    boost::asio::io_context context;
    boost::asio::ip::tcp::socket socket(context);
    socket.connect({boost::asio::ip::make_address(address.ip_), address.port_});
    const std::string body = R"({"model":"lm","prompt":"x","stream":true})";
    const std::string request
        = "POST /v1/completions HTTP/1.1\r\nHost: b\r\nX-Team: bench\r\nX-Attempt-Id: b.1.1\r\n"
          "Content-Length: "
          + std::to_string(body.size()) + "\r\n\r\n" + body;
    boost::asio::write(socket, boost::asio::buffer(request));
    std::array<char, 65536> buffer{};
    std::string tail;
    while (tail.find("[DONE]") == std::string::npos) {
        boost::system::error_code error;
        const auto size = socket.read_some(boost::asio::buffer(buffer), error);
        if (error) {
            std::printf("stream broke: %s\n%s\n", error.message().c_str(), tail.c_str());
            std::exit(1);
        }
        tail
            = tail.substr(tail.size() > 8 ? tail.size() - 8 : 0) + std::string(buffer.data(), size);
    }
}

double tokensPerSecond(const Address &address, int streams, int tokens)
{
    const auto start = std::chrono::steady_clock::now();
    std::vector<std::thread> threads;
    for (int index = 0; index < streams; ++index)
        threads.emplace_back([&] { readStream(address); });
    for (auto &thread : threads)
        thread.join();
    const std::chrono::duration<double> took = std::chrono::steady_clock::now() - start;
    return static_cast<double>(streams) * tokens / took.count();
}

} // namespace

int main(int argc, char **argv)
{
    const int streams = argc > 1 ? std::atoi(argv[1]) : 8;
    const int tokens = argc > 2 ? std::atoi(argv[2]) : 20000;
    log::configure(log::Level::Warning);

    boost::asio::io_context firstEndpoint(1);
    boost::asio::io_context secondEndpoint(1);
    TokenServer tokenServer(tokens);
    net::HttpServer endpoint({{&firstEndpoint, &tokenServer}, {&secondEndpoint, &tokenServer}}, {});
    const Address direct = valueOf(endpoint.listen({"127.0.0.1", 0}));
    const auto guard = boost::asio::make_work_guard(secondEndpoint);
    std::thread firstThread([&] { firstEndpoint.run(); });
    std::thread secondThread([&] { secondEndpoint.run(); });

    boost::asio::io_context clockContext;
    const net::AsioClock clock(clockContext);
    FixedControl control(direct, clock.now());
    metrics::Registry registry;
    const trace::Tracer tracer("entry-1", nullptr);
    traffic::TrafficSettings settings;
    settings.callers_ = {"127.0.0.1", 0};
    settings.threads_ = 1;
    settings.chartsFolder_ = argc > 3 ? argv[3] : "charts";
    settings.incarnation_ = Incarnation(1);
    const auto made = traffic::TrafficService::make(settings, control, registry, tracer);
    if (!isOk(made)) {
        std::printf("%s\n", messageOf(errorOf(made)).c_str());
        return 1;
    }
    const Address entry = valueOf(valueOf(made)->start());

    const double straight = tokensPerSecond(direct, streams, tokens);
    const double through = tokensPerSecond(entry, streams, tokens);
    std::printf(
        "%d streams of %d tokens: straight %.0f tokens/s, one traffic thread %.0f tokens/s, "
        "ratio %.2f\n",
        streams, tokens, straight, through, through / straight);

    firstEndpoint.stop();
    secondEndpoint.stop();
    firstThread.join();
    secondThread.join();
    return 0;
}
