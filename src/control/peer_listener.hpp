/// \file
/// \brief Handler of the peer listener: digests of peers and requests of operators.
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

/// \brief What the listener shows and steers.
struct ListenerParts
{
    ControlNode &node_;
    rpc::JsonRpcDispatcher &dispatcher_;
    const DecisionLog &decisions_;
    const DecisionLog &requestDecisions_;
    const metrics::Registry &registry_;
    std::function<std::string()> lifecycleState_;
    std::function<void()> requestStop_;
};

/// \brief Answers on the control thread; every answer is immediate.
class PeerListener final : public net::HttpHandler
{
public:
    explicit PeerListener(ListenerParts parts)
        : parts_(std::move(parts))
    {
    }

    void handle(net::ServerRequest request, std::shared_ptr<net::ServerExchange> exchange) override;
    net::HttpResponse refusal(net::ServerFault fault, std::string_view detail) override;

private:
    [[nodiscard]] net::HttpResponse answer(const net::ServerRequest &request);
    [[nodiscard]] net::HttpResponse show(std::string_view path);
    [[nodiscard]] net::HttpResponse change(std::string_view path);
    [[nodiscard]] std::string events(std::string_view subject) const;
    [[nodiscard]] std::string requestEvents(std::string_view request) const;

    ListenerParts parts_;
};

} // namespace cardamombay::control::impl
