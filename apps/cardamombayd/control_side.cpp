#include "control_side.hpp"

#include <cardamombay/traffic/snapshot_holder.hpp>

#include <boost/asio/post.hpp>

#include <utility>

namespace cardamombay::daemon {

namespace {

/// Control side without a configuration: callers are told so, and keyed requests get no claim.
class UnconfiguredControl final : public traffic::ControlSide
{
public:
    explicit UnconfiguredControl(const ControlParts &parts)
        : context_(parts.context_)
    {
        auto snapshot = std::make_shared<routing::RoutingSnapshot>();
        snapshot->self_ = parts.settings_.entry_;
        snapshot->zone_ = parts.settings_.zone_;
        holder_.publish(std::move(snapshot));
    }

    Result<Done> start(std::function<void()>) override { return Done{}; }
    void tellPeers() override {}
    void returnLeases(std::function<void()> done) override
    {
        boost::asio::post(context_, std::move(done));
    }

    [[nodiscard]] routing::RoutingSnapshotPtr snapshot() const override
    {
        return holder_.snapshot();
    }
    void postTraffic(traffic::TrafficReport) override {}
    void claim(traffic::ClaimRequest, traffic::ClaimCallback done) override
    {
        boost::asio::post(context_, [done = std::move(done)] { done({}); });
    }
    void completeClaim(traffic::ClaimCompletion) override {}

private:
    boost::asio::io_context &context_;
    traffic::SnapshotHolder holder_;
};

} // namespace

std::unique_ptr<traffic::ControlSide> makeControlSide(const ControlParts &parts)
{
    return std::make_unique<UnconfiguredControl>(parts);
}

} // namespace cardamombay::daemon
