#include <cardamombay/net/asio_http_client.hpp>
#include <cardamombay/net/http_server.hpp>
#include <cardamombay/rpc/json_rpc_dispatcher.hpp>
#include <cardamombay/rpc/json_rpc_peer_transport.hpp>
#include <cardamombay/rpc/rpc_http_handler.hpp>

#include <boost/asio/io_context.hpp>

#include <optional>

#include <criterion/criterion.h>

using namespace cardamombay;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

/// A peer on a free loopback port, and a transport on the same event loop.
struct Loopback
{
    Loopback()
        : handler_(dispatcher_)
        , server_({{&context_, &handler_}}, {})
        , client_(context_)
        , transport_(client_, milliseconds(500))
    {
        dispatcher_.setExchangeHandler([](const membership::Digest &incoming) {
            membership::Digest answer;
            answer.from_.id_ = EntryId("server");
            answer.echo_.sequence_ = incoming.sequence_;
            return answer;
        });
        const auto bound = server_.listen(Address{"127.0.0.1", 0});
        cr_assert(isOk(bound));
        address_ = valueOf(bound);
    }

    Result<membership::Digest> exchange(const Address &address)
    {
        std::optional<Result<membership::Digest>> received;
        membership::Digest digest;
        digest.from_.id_ = EntryId("client");
        digest.sequence_ = 42;
        transport_.exchange(address, digest, [&](const auto &result) { received = result; });
        const auto limit = std::chrono::steady_clock::now() + seconds(20);
        while (!received && std::chrono::steady_clock::now() < limit)
            context_.run_one_for(milliseconds(100));
        cr_assert(received.has_value(), "no answer and no error");
        return *received;
    }

    boost::asio::io_context context_;
    rpc::JsonRpcDispatcher dispatcher_;
    rpc::RpcHttpHandler handler_;
    net::HttpServer server_;
    net::AsioHttpClient client_;
    rpc::JsonRpcPeerTransport transport_;
    Address address_;
};

} // namespace

Test(rpc_over_http, exchange_crosses_a_socket)
{
    Loopback loopback;

    const auto answer = loopback.exchange(loopback.address_);

    cr_assert(isOk(answer));
    cr_assert_eq(valueOf(answer).echo_.sequence_, 42);
}

Test(rpc_over_http, peer_that_is_gone_is_unreachable)
{
    Loopback loopback;
    loopback.server_.stopAccepting();
    loopback.context_.poll();
    loopback.context_.restart(); // Closing the listener left the loop without work.

    cr_assert(isError<PeerUnreachable>(loopback.exchange(loopback.address_)));
}
