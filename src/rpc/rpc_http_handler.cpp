#include <cardamombay/rpc/rpc_http_handler.hpp>

#include <cardamombay/rpc/json_rpc_peer_transport.hpp>

#include <utility>

namespace cardamombay::rpc {

namespace {

constexpr std::uint32_t okStatus = 200;
constexpr std::uint32_t noContentStatus = 204;
constexpr std::uint32_t notFoundStatus = 404;

} // namespace

bool RpcHttpHandler::isRpc(const net::ServerRequest &request)
{
    return request.method_ == "POST" && request.target_ == rpcTarget;
}

void RpcHttpHandler::handle(net::ServerRequest request,
                            std::shared_ptr<net::ServerExchange> exchange)
{
    net::HttpResponse response;
    if (!isRpc(request)) {
        response.status_ = notFoundStatus;
        exchange->respond(std::move(response));
        return;
    }
    response.body_ = dispatcher_.handle(request.body_);
    response.status_ = response.body_.empty() ? noContentStatus : okStatus;
    response.fields_.push_back(net::HttpField{"Content-Type", "application/json"});
    exchange->respond(std::move(response));
}

net::HttpResponse RpcHttpHandler::refusal(net::ServerFault fault, std::string_view detail)
{
    net::HttpResponse response;
    response.status_ = net::statusOf(fault);
    response.fields_.push_back(net::HttpField{"Content-Type", "text/plain"});
    response.body_ = std::string(detail);
    return response;
}

} // namespace cardamombay::rpc
