/// \file
/// \brief Life cycle of the daemon: start, graceful shutdown, exit.
/// \details Decides the order of a shutdown by charts/daemon.toml; what each step does is behind
/// LifecycleActions. Guards that a planned stop cuts off no request in flight before its limit.
#pragma once

#include <cardamombay/chart/machine.hpp>
#include <cardamombay/core/clock.hpp>
#include <cardamombay/settings/settings.hpp>

#include <cstddef>
#include <functional>
#include <memory>

namespace cardamombay::traffic {

/// \brief What the life cycle does to the rest of the daemon.
class LifecycleActions
{
public:
    LifecycleActions() = default;
    LifecycleActions(const LifecycleActions &) = delete;
    LifecycleActions &operator=(const LifecycleActions &) = delete;
    virtual ~LifecycleActions() = default;

    /// \brief Sets what the balancer's health check sees.
    virtual void setHealthy(bool isHealthy) = 0;
    virtual void refuseNewRequests() = 0;
    virtual void cutRemainingRequests() = 0;
    /// \brief Tells peers that this entry VM leaves.
    virtual void tellPeers() = 0;
    /// \brief Gives leases back and calls \p done, later, when the store knows.
    virtual void returnLeases(std::function<void()> done) = 0;
    /// \brief Ends the process with success.
    virtual void exit() = 0;
    /// \brief Requests whose answers are not out yet.
    [[nodiscard]] virtual std::size_t requestsInFlight() const = 0;
};

class Lifecycle;

/// \brief The chart of the daemon with its code.
using LifecycleProgramPtr = chart::ProgramPtr<Lifecycle>;

/// \brief Binds charts/daemon.toml.
[[nodiscard]] Result<LifecycleProgramPtr> makeLifecycleProgram(const chart::Chart &chart);

/// \brief Runs the chart on the control thread.
/// \code
/// Lifecycle lifecycle(program, clock, settings.drain_, actions);
/// lifecycle.ready();         // a configuration is in force
/// lifecycle.stopRequested(); // on SIGTERM
/// \endcode
class Lifecycle
{
public:
    /// \param program the bound chart.
    /// \param clock of the control thread.
    /// \param times of the shutdown.
    /// \param actions outlives the life cycle.
    Lifecycle(LifecycleProgramPtr program, Clock &clock, settings::DrainTimes times,
              LifecycleActions &actions);
    Lifecycle(const Lifecycle &) = delete;
    Lifecycle &operator=(const Lifecycle &) = delete;
    ~Lifecycle();

    /// \name Events
    /// \{
    void ready() { handle("ready"); }
    void stopRequested() { handle("stop-requested"); }
    /// \}

    /// \brief State in the chart, such as "draining".
    [[nodiscard]] std::string_view state() const { return machine_.state(); }

private:
    friend Result<LifecycleProgramPtr> makeLifecycleProgram(const chart::Chart &chart);

    void handle(std::string_view event);
    void raiseAfter(Duration delay, std::string_view event);
    void returnLeases();
    void pollRequests();

    chart::Machine<Lifecycle> machine_;
    Clock &clock_;
    settings::DrainTimes times_;
    LifecycleActions &actions_;
    std::shared_ptr<bool> isAlive_ = std::make_shared<bool>(true);
};

} // namespace cardamombay::traffic
