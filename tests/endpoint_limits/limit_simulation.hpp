/// \file
/// \brief Simulates entry VMs and rate-limited groups on a simulated clock.
/// \details Each group announces its limit in the head of every response. Callers send more
/// requests than all groups accept together, so that the requests of a group show both whether its
/// limit is kept and how much of it is used.
#pragma once

#include "support/node_fleet.hpp"

#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace cardamombay::endpoint_limits {

/// \brief Parameters of a simulation.
struct Scenario
{
    std::size_t entries_ = 7;
    std::vector<double> limits_; ///< Rate limit of each group, in requests per second.
    Duration coldFor_{};         ///< If set, groups are cold from the start and announce no limit.
    bool isRestarted_ = false;   ///< Callers start together with the entry VMs.
    double asked_ = 1.5;         ///< Caller requests per request that the groups accept.
    double reachedEntriesShare_ = 1; ///< Share of the entry VMs that receive caller requests.
    double lossShare_ = 0.01;        ///< Share of lost datagrams between entry VMs.
    Duration duration_ = std::chrono::seconds(20); ///< Duration of the measurement.
};

/// \brief Requests received by one group.
struct GroupResult
{
    double limit_ = 0;
    double maxOverTarget_ = 0; ///< Most requests in 10 s, as a share of the internal target.
    double maxInSecond_ = 0;   ///< Most requests in 1 s, as a share of the limit.
    double maxOverBound_ = 0;  ///< Most requests in 4 s, as a share of the required bound.
    double used_ = 0; ///< Requests as a share of what the limit allows over the whole time.
};

/// \brief Simulates a fleet, its groups and its callers.
class LimitSimulation
{
public:
    LimitSimulation(Scenario scenario, std::uint64_t seed);

    /// \brief Runs callers and groups for \p time.
    void pass(Duration time);

    /// \brief Changes the limit that a group announces; a negative value means none.
    void setLimit(std::size_t group, double perSecond);

    /// \brief Returns the results since the last call and starts a new measurement.
    [[nodiscard]] std::vector<GroupResult> takeResults();

    /// \brief Runs the scenario; measures after all entry VMs must know the limits, or from the
    /// start after a restart.
    [[nodiscard]] std::vector<GroupResult> run();

    /// \brief Number of callers without an answer or a refusal.
    [[nodiscard]] std::size_t waiting() const;

    /// \brief Time since callers started.
    [[nodiscard]] Duration time() const { return now() - startedAt_; }

    /// \brief Number of reservations requested by all entry VMs.
    [[nodiscard]] double reservations();

    /// \brief Index of an entry VM that considers itself the owner of a group.
    [[nodiscard]] std::size_t owner(std::size_t group);

    support::NodeFleet fleet_;
    std::function<void()> fault_; ///< Called at each step; injects faults.

private:
    struct Answer
    {
        std::shared_ptr<support::FakeCall> call_;
        TimePoint at_;
    };
    struct Group
    {
        std::string head_;
        double limit_ = 0;
        std::deque<Answer> answers_;
        std::vector<TimePoint> sends_;
    };

    [[nodiscard]] TimePoint now() const { return fleet_.clock_.now(); }
    void ask(Duration step);
    void takeCalls();
    void answer(Group &group);
    [[nodiscard]] GroupResult groupResult(const Group &group) const;

    Scenario scenario_;
    Random random_;
    std::vector<Group> groups_;
    std::map<std::string, std::size_t> byHead_;
    std::vector<std::size_t> scanned_;
    std::vector<std::shared_ptr<support::CallerView>> callers_;
    TimePoint startedAt_;
    TimePoint since_;
    double due_ = 0;
    std::size_t asked_ = 0;
};

/// \brief Prints the results of all groups.
void print(const char *name, const Scenario &scenario, const std::vector<GroupResult> &all);

} // namespace cardamombay::endpoint_limits
