/// \file
/// \brief HTTP handler of the peer listener: digests of peers and admin requests of operators.
#pragma once

#include <cardamombay/control/admin_view.hpp>
#include <cardamombay/core/decision_log.hpp>
#include <cardamombay/metrics/registry.hpp>
#include <cardamombay/net/http_server.hpp>
#include <cardamombay/rpc/json_rpc_dispatcher.hpp>

#include <functional>
#include <string>
#include <string_view>

namespace cardamombay::control::impl {

/// \brief Dependencies of the peer listener.
struct PeerListenerDependencies
{
    ControlNode &node_;
    rpc::JsonRpcDispatcher &dispatcher_;
    const DecisionLog &decisions_;
    const DecisionLog &requestDecisions_;
    const metrics::Registry &registry_;
    std::function<std::string()> lifecycleState_;
    std::function<void()> requestStop_;
};

/// \brief Responds synchronously on the control thread.
class PeerListener final : public net::HttpHandler
{
public:
    explicit PeerListener(PeerListenerDependencies parts)
        : parts_(std::move(parts))
    {
    }

    void handle(net::ServerRequest request, std::shared_ptr<net::ServerExchange> exchange) override;
    net::HttpResponse refusal(net::ServerFault fault, std::string_view detail) override;

private:
    [[nodiscard]] net::HttpResponse answer(const net::ServerRequest &request);
    [[nodiscard]] net::HttpResponse handleGet(std::string_view path);
    [[nodiscard]] net::HttpResponse handlePost(std::string_view path);
    [[nodiscard]] std::string events(std::string_view subject) const;
    [[nodiscard]] std::string requestEvents(std::string_view request) const;

    PeerListenerDependencies parts_;
};

} // namespace cardamombay::control::impl
