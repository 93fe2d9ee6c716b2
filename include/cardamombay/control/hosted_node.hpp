/// \file
/// \brief The control side of a daemon: a control node with network I/O.
/// \details Connects ControlNode to HTTP, JSON-RPC and the event loop of the control thread, and
/// forwards calls of the traffic threads to that thread. Contains no decision logic.
#pragma once

#include <cardamombay/core/clock.hpp>
#include <cardamombay/core/ids.hpp>
#include <cardamombay/metrics/registry.hpp>
#include <cardamombay/settings/settings.hpp>
#include <cardamombay/traffic/control_side.hpp>

#include <functional>
#include <memory>
#include <string>

namespace boost::asio {
class io_context;
} // namespace boost::asio

namespace cardamombay::control {

/// \brief Dependencies of a hosted node; references must outlive it.
struct HostedNodeDependencies
{
    boost::asio::io_context &context_; ///< Event loop of the control thread.
    Clock &clock_;                     ///< Clock of that event loop.
    const settings::Settings &settings_;
    Incarnation incarnation_;
    metrics::Registry &registry_;
    std::function<std::string()> lifecycleState_; ///< Lifecycle state reported to operators.
    std::function<void()> requestStop_;           ///< Called when an operator drains this entry VM.
};

/// \brief Control side of a daemon.
/// \code
/// auto control = control::HostedNode({context, clock, settings, incarnation, registry, {}, {}});
/// const auto started = control.start([&] { lifecycle.ready(); });
/// \endcode
class HostedNode final : public traffic::ControlSide
{
public:
    explicit HostedNode(const HostedNodeDependencies &parts);
    HostedNode(const HostedNode &) = delete;
    HostedNode &operator=(const HostedNode &) = delete;
    ~HostedNode() override;

    /// \name On the control thread
    /// \{
    [[nodiscard]] Result<Done> start(std::function<void()> ready) override;
    void tellPeers() override;
    void returnLeases(std::function<void()> done) override;
    /// \}

    /// \name From any thread
    /// \{
    [[nodiscard]] routing::RoutingSnapshotPtr snapshot() const override;
    void postTraffic(traffic::TrafficReport report) override;
    void claim(traffic::ClaimRequest request, traffic::ClaimCallback done) override;
    void completeClaim(traffic::ClaimCompletion completion) override;
    /// \brief Drops the record if too many are queued for the control thread.
    void recordDecision(const DecisionRecord &record) override;
    /// \}

private:
    class Impl;
    std::unique_ptr<Impl> impl_;
};

} // namespace cardamombay::control
