#include "support/fake_fleet.hpp"

#include <cardamombay/core/random.hpp>
#include <cardamombay/rpc/digest_codec.hpp>
#include <cardamombay/rpc/json_rpc_dispatcher.hpp>
#include <cardamombay/rpc/json_rpc_peer_transport.hpp>

#include <map>
#include <string>

#include <criterion/criterion.h>

using namespace cardamombay;
using rpc::JsonRpcDispatcher;
using rpc::JsonRpcPeerTransport;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

membership::MemberEntry member(const std::string &id, std::uint16_t port)
{
    membership::MemberEntry entry;
    entry.id_ = EntryId(id);
    entry.address_ = Address{"127.0.0.1", port};
    entry.zone_ = AvailabilityZone("lac");
    entry.region_ = RegionName("tunis");
    entry.incarnation_ = Incarnation(1);
    return entry;
}

membership::Digest digestFrom(const std::string &id)
{
    membership::Digest digest;
    digest.from_ = member(id, 7100);
    digest.sequence_ = 5;
    return digest;
}

/// Hands requests to dispatchers by address; a test may spoil the responses.
class LocalHttp final : public net::HttpClient
{
public:
    explicit LocalHttp(Clock &clock)
        : clock_(clock)
    {
    }

    std::map<Address, JsonRpcDispatcher *> listeners_;
    std::function<net::HttpResult(net::HttpResponse)> spoil_;

    void send(net::HttpRequest request, std::function<void(net::HttpResult)> done) override
    {
        const auto listener = listeners_.find(request.address_);
        net::HttpResult result = net::HttpFailure{false, false, "connection refused"};
        if (listener != listeners_.end()) {
            net::HttpResponse response{200, {}, listener->second->handle(request.body_)};
            result = spoil_ ? spoil_(std::move(response)) : net::HttpResult(std::move(response));
        }
        clock_.schedule(milliseconds(1),
                        [done = std::move(done), result = std::move(result)] { done(result); });
    }

private:
    Clock &clock_;
};

/// A peer that answers every digest, and a transport to it.
struct Link
{
    Link()
        : http_(clock_)
        , transport_(http_)
    {
        dispatcher_.setExchangeHandler([](const membership::Digest &incoming) {
            membership::Digest answer = digestFrom("server");
            answer.echo_.sequence_ = incoming.sequence_;
            return answer;
        });
        http_.listeners_[address_] = &dispatcher_;
    }

    Result<membership::Digest> exchange()
    {
        Result<membership::Digest> received = Error(NotFound{"an answer"});
        transport_.exchange(address_, digestFrom("client"),
                            [&](const Result<membership::Digest> &result) { received = result; });
        clock_.advance(seconds(1));
        return received;
    }

    Address address_{"127.0.0.1", 7100};
    ManualClock clock_;
    JsonRpcDispatcher dispatcher_;
    LocalHttp http_;
    JsonRpcPeerTransport transport_;
};

bool isErrorResponse(const std::string &response, int code)
{
    return response.find("\"error\"") != std::string::npos
           && response.find("\"code\":" + std::to_string(code)) != std::string::npos;
}

constexpr int parseError = -32700;
constexpr int invalidRequest = -32600;
constexpr int methodNotFound = -32601;
constexpr int invalidParameters = -32602;

} // namespace

Test(rpc, exchange_reaches_the_peer_and_brings_its_answer)
{
    Link link;

    const auto answer = link.exchange();

    cr_assert(isOk(answer));
    cr_assert(valueOf(answer).from_.id_ == EntryId("server"));
    cr_assert_eq(valueOf(answer).echo_.sequence_, 5);
}

Test(rpc, refused_connection_is_peer_unreachable)
{
    Link link;
    link.http_.listeners_.clear();

    cr_assert(isError<PeerUnreachable>(link.exchange()));
}

Test(rpc, silence_is_timed_out)
{
    Link link;
    link.http_.spoil_ = [](const net::HttpResponse &) {
        return net::HttpFailure{true, true, "no answer"};
    };

    cr_assert(isError<TimedOut>(link.exchange()));
}

Test(rpc, answer_to_another_call_is_refused)
{
    Link link;
    net::HttpResponse first;
    link.http_.spoil_ = [&](net::HttpResponse response) {
        first = response;
        return net::HttpResult(std::move(response));
    };
    cr_assert(isOk(link.exchange()));
    link.http_.spoil_ = [&](const net::HttpResponse &) { return net::HttpResult(first); };

    cr_assert(isError<MalformedMessage>(link.exchange()));
}

Test(rpc, malformed_response_is_refused)
{
    Link link;
    const std::vector<std::string> bodies{
        "",
        "{",
        "[]",
        "null",
        R"({"jsonrpc":"2.0","id":1})",
        R"({"jsonrpc":"2.0","id":1,"result":{}})",
        R"({"jsonrpc":"2.0","id":1,"result":[1]})",
        R"({"jsonrpc":"2.0","id":1,"result":{"f":["e"]}})",
        R"({"jsonrpc":"2.0","id":1,"error":{"code":-1,"message":"no"}})",
        R"({"jsonrpc":"1.0","id":1,"result":{"f":["e","",1,"","",1,0,0,0],"q":1}})",
        std::string(100000, '['),
    };
    for (const std::string &body : bodies) {
        Link fresh;
        fresh.http_.spoil_ = [&](const net::HttpResponse &) {
            return net::HttpResult(net::HttpResponse{200, {}, body});
        };
        cr_assert(isError<MalformedMessage>(fresh.exchange()), "%s", body.substr(0, 80).c_str());
    }
    link.http_.spoil_ = [](net::HttpResponse response) {
        response.status_ = 503;
        return net::HttpResult(std::move(response));
    };
    cr_assert(isError<MalformedMessage>(link.exchange()));
}

Test(rpc, malformed_request_gets_a_json_rpc_error)
{
    JsonRpcDispatcher dispatcher;
    dispatcher.setExchangeHandler([](const membership::Digest &digest) { return digest; });

    cr_assert(isErrorResponse(dispatcher.handle(""), parseError));
    cr_assert(isErrorResponse(dispatcher.handle("{"), parseError));
    cr_assert(isErrorResponse(dispatcher.handle("7"), invalidRequest));
    cr_assert(isErrorResponse(dispatcher.handle("[]"), invalidRequest));
    cr_assert(isErrorResponse(dispatcher.handle(R"({"jsonrpc":"2.0","id":1})"), invalidRequest));
    cr_assert(isErrorResponse(
        dispatcher.handle(R"({"jsonrpc":"2.0","id":1,"method":"unknown","params":[]})"),
        methodNotFound));
    for (const char *parameters :
         {"[]", "[7]", "[{}]", R"([{"f":[]}])", R"([{"f":7,"q":1}])",
          R"([{"f":["e","",1,"","",1,9,0,0],"q":1}])", R"([{"f":["e","",1,"","",1,0,0,0],"q":-1}])",
          R"([{"f":["e","",1,"","",1,0,0,0],"q":1,"w":[1,1,-5,1]}])"}) {
        const std::string request
            = std::string(R"({"jsonrpc":"2.0","id":1,"method":"exchange","params":)") + parameters
              + "}";
        cr_assert(isErrorResponse(dispatcher.handle(request), invalidParameters), "%s", parameters);
    }
}

Test(rpc, very_deep_nesting_gets_an_error)
{
    JsonRpcDispatcher dispatcher;

    const std::string response = dispatcher.handle(std::string(2000000, '['));

    cr_assert(response.find("\"error\"") != std::string::npos);
}

Test(rpc, mutated_requests_never_throw_nor_crash)
{
    constexpr std::uint64_t seed = 20261202;
    constexpr int rounds = 20000;
    Random random(seed);
    JsonRpcDispatcher dispatcher;
    dispatcher.setExchangeHandler([](const membership::Digest &digest) { return digest; });
    const std::string valid = R"({"jsonrpc":"2.0","id":1,"method":"exchange","params":[)"
                              + rpc::encodeDigest(digestFrom("e")) + "]}";

    for (int round = 0; round < rounds; ++round) {
        std::string request = valid;
        for (std::uint64_t change = random.below(4); change < 4; ++change) {
            const std::size_t place = random.below(request.size());
            switch (random.below(3)) {
            case 0:
                request[place] = static_cast<char>(random.below(256));
                break;
            case 1:
                request.erase(place, random.below(8));
                break;
            default:
                request.insert(place, request.substr(random.below(request.size()), 6));
            }
            if (request.empty())
                request = "x";
        }
        const std::string response = dispatcher.handle(request);
        cr_assert(response.empty() || response.front() == '{' || response.front() == '[',
                  "seed %llu round %d", static_cast<unsigned long long>(seed), round);
    }
}

Test(rpc, further_method_is_called_and_its_error_carries_the_remedy)
{
    Link link;
    link.dispatcher_.registerMethod("config",
                                    [](const std::string &parameters) -> Result<std::string> {
                                        if (parameters.find("\"version\":7") == std::string::npos)
                                            return Error(NotFound{"configuration version"});
                                        return std::string(R"({"text":"a = 1"})");
                                    });
    std::vector<Result<std::string>> results;
    const auto keep = [&](const Result<std::string> &result) { results.push_back(result); };

    link.transport_.call(link.address_, "config", R"({"version":7})", keep);
    link.transport_.call(link.address_, "config", R"({"version":8})", keep);
    link.clock_.advance(seconds(1));

    cr_assert_eq(results.size(), 2);
    cr_assert(isOk(results[0]));
    cr_assert_eq(valueOf(results[0]), R"({"text":"a = 1"})");
    cr_assert(isError<MalformedMessage>(results[1]));
    cr_assert(messageOf(errorOf(results[1])).find("does not exist") != std::string::npos);
}

Test(rpc, memberships_meet_over_json)
{
    ManualClock clock;
    LocalHttp http(clock);
    JsonRpcPeerTransport transport(http);
    const auto program = support::memberProgram(SOURCE_FOLDER "/charts");
    const auto entries = {member("a", 1), member("b", 2), member("c", 3)};
    std::vector<std::unique_ptr<membership::Membership>> nodes;
    std::vector<std::unique_ptr<JsonRpcDispatcher>> dispatchers;
    const std::vector<Address> seeds{entries.begin()->address_};
    for (const auto &entry : entries) {
        nodes.push_back(std::make_unique<membership::Membership>(
            clock, transport, Random(entry.address_.port_), membership::MembershipSettings{}, entry,
            program));
        dispatchers.push_back(std::make_unique<JsonRpcDispatcher>());
        membership::Membership *node = nodes.back().get();
        dispatchers.back()->setExchangeHandler(
            [node](const membership::Digest &digest) { return node->handle(digest); });
        http.listeners_[entry.address_] = dispatchers.back().get();
        node->start(seeds);
    }

    clock.advance(seconds(10));

    for (const auto &node : nodes) {
        cr_assert_eq(node->aliveMembers().size(), 3);
        cr_assert_eq(node->counters().suspicions_, 0);
    }
}
