/// \file
/// \brief Carries JSON-RPC text between an HTTP server and a dispatcher.
#pragma once

#include <cardamombay/net/http_server.hpp>
#include <cardamombay/rpc/json_rpc_dispatcher.hpp>

namespace cardamombay::rpc {

/// \brief Answers POST /rpc through a dispatcher, on the dispatcher's thread; 404 for the rest.
/// \details A listener with further paths calls handle() for those that isRpc() tells.
class RpcHttpHandler final : public net::HttpHandler
{
public:
    explicit RpcHttpHandler(JsonRpcDispatcher &dispatcher)
        : dispatcher_(dispatcher)
    {
    }

    /// \brief True if \p request is for the peer link.
    [[nodiscard]] static bool isRpc(const net::ServerRequest &request);

    void handle(net::ServerRequest request, std::shared_ptr<net::ServerExchange> exchange) override;
    net::HttpResponse refusal(net::ServerFault fault, std::string_view detail) override;

private:
    JsonRpcDispatcher &dispatcher_;
};

} // namespace cardamombay::rpc
