/// \file
/// \brief The daemon: one control thread, the traffic threads, and the life cycle over both.
#pragma once

#include "control_side.hpp"

#include <cardamombay/net/asio_clock.hpp>
#include <cardamombay/trace/tracer.hpp>
#include <cardamombay/traffic/lifecycle.hpp>
#include <cardamombay/traffic/traffic_service.hpp>

#include <boost/asio/signal_set.hpp>

#include <memory>

namespace cardamombay::daemon {

/// \brief Composition of a running daemon.
class Daemon final : public traffic::LifecycleActions
{
public:
    explicit Daemon(settings::Settings settings);
    ~Daemon() override;
    Daemon(const Daemon &) = delete;
    Daemon &operator=(const Daemon &) = delete;

    /// \brief Runs until a signal ends it; the calling thread becomes the control thread.
    /// \returns an error if it could not start.
    [[nodiscard]] Result<Done> run();

private:
    [[nodiscard]] Result<Done> start();
    [[nodiscard]] Result<Done> makeLifecycle();
    [[nodiscard]] Result<Address> startTraffic();
    void waitForSignal();
    void stopWhenFlushed(int turnsLeft);

    /// \name Steps of the life cycle
    /// \{
    void setHealthy(bool isHealthy) override;
    void refuseNewRequests() override;
    void cutRemainingRequests() override;
    void tellPeers() override;
    void returnLeases(std::function<void()> done) override;
    void exit() override;
    [[nodiscard]] std::size_t requestsInFlight() const override;
    /// \}

    settings::Settings settings_;
    Incarnation incarnation_;
    metrics::Registry registry_;
    std::shared_ptr<trace::SpanSink> spans_; ///< Null if no spans are written.
    trace::Tracer tracer_;
    boost::asio::io_context context_{1};
    net::AsioClock clock_{context_};
    boost::asio::signal_set signals_{context_};
    std::unique_ptr<traffic::ControlSide> control_;
    std::unique_ptr<traffic::TrafficService> traffic_;
    std::unique_ptr<traffic::Lifecycle> lifecycle_;
};

} // namespace cardamombay::daemon
