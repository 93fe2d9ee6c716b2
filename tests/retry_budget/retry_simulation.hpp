/// \file
/// \brief Simulates callers and failing groups of endpoints before a fleet of entry VMs on a manual
/// clock, and counts at the endpoints how often requests arrive again.
#pragma once

#include "support/node_fleet.hpp"

#include <functional>
#include <map>
#include <set>
#include <string>
#include <vector>

namespace cardamombay::retry_budget {

/// \brief Parameters of a simulation.
struct Scenario
{
    std::size_t entries_ = 8;
    std::size_t zones_ = 3;
    std::size_t groups_ = 30;
    double callersPerSecond_ = 160;
    double share_ = 0.2;        ///< Retries allowed per request.
    double reserve_ = 134;      ///< Retries allowed in addition.
    double failingShare_ = 0.5; ///< Share of the attempts that break.
    /// Entry VMs whose attempts break; all if empty.
    std::set<std::size_t> failingEntries_;
    double entryShare_ = 0;   ///< Share of the callers that go to the first of them.
    Duration failsFrom_{};    ///< Attempts break from then on.
    double lossShare_ = 0.01; ///< Share of lost datagrams between entry VMs.
    /// From when an entry VM leaves in order to the end of its process.
    Duration gracePeriod_ = std::chrono::milliseconds(900);
    bool isStoreDown_ = false;                     ///< Unavailable from before the callers start.
    Duration settling_ = std::chrono::seconds(15); ///< Before the first caller.
    Duration length_ = std::chrono::seconds(30);   ///< Callers arrive for that long.
};

/// \brief Arrivals at the endpoints, against the budget of the fleet.
struct Results
{
    std::size_t requests_ = 0;
    std::size_t served_ = 0;
    std::size_t retries_ = 0; ///< Arrivals of a request after its first one.
    /// Most retries in a window of 10 s, as a share of those allowed in it.
    double mostUsed_ = 0;
    Duration mostUsedAt_{}; ///< Start of that window, after the first caller.
    /// Least retries in a window of 10 s that callers and failures fill, as a share of those
    /// allowed.
    double leastUsed_ = 0;
    double meanUsed_ = 0; ///< Mean over windows that callers and failures fill.
};

/// \brief A fleet, its callers and its endpoints.
class RetrySimulation
{
public:
    RetrySimulation(Scenario scenario, std::uint64_t seed);

    /// \brief Schedules a disturbance.
    /// \param time since the first caller.
    void at(Duration time, std::function<void()> action);

    [[nodiscard]] Scenario &scenario() { return scenario_; }

    /// \name Disturbances
    /// \{
    /// \brief Kills entry VMs, each of which starts again after about half a second.
    void kill(const std::vector<std::size_t> &entries);
    /// \brief Lets an entry VM leave in order; its next process starts after about half a second.
    void restartInOrder(std::size_t entry);
    /// \brief Lets an entry VM leave in order for good.
    void remove(std::size_t entry);
    void add(const std::string &zone);
    void pause(std::size_t entry, Duration time);
    /// \brief Drops all datagrams between the entry VMs of \p side and all others.
    void cut(const std::set<std::size_t> &side);
    void heal() { fleet_.isCut_ = nullptr; }
    /// \}

    [[nodiscard]] Results run();

    support::NodeFleet fleet_;

private:
    struct Attempt
    {
        std::shared_ptr<support::FakeCall> call_;
        support::FleetNode *node_ = nullptr;
        TimePoint endsAt_;
        bool breaks_ = false;
    };
    struct Caller
    {
        std::shared_ptr<support::CallerView> view_;
        support::FleetNode *node_ = nullptr;
    };

    [[nodiscard]] TimePoint now() const { return fleet_.clock_.now(); }
    void prepare(support::FleetNode &node) const;
    void startAgain(std::size_t entry);
    [[nodiscard]] std::size_t reachableEntry();
    void startCallers(Duration step);
    void ask();
    void takeCalls();
    void answerCalls();
    void checkCallers();
    void measure();

    Scenario scenario_;
    Random random_;
    Results results_;
    TimePoint startedAt_{};
    double dueCallers_ = 0;
    std::set<std::size_t> leaving_;
    std::map<const support::FleetNode *, std::size_t> scanned_;
    std::vector<Attempt> attempts_;
    std::vector<Caller> callers_;
    std::set<std::string> arrived_;
    std::vector<TimePoint> requestTimes_;
    std::vector<TimePoint> retryTimes_;
};

} // namespace cardamombay::retry_budget
