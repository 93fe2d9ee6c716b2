/// \file
/// \brief Simulates entry VMs and groups that request cooldowns, on a simulated clock.
/// \details Groups refuse all requests for some time, each at different times. Each refusal
/// requests a cooldown for the entry VM that was refused. Other groups may announce rate limits or
/// shut down in the meantime.
#pragma once

#include "support/node_fleet.hpp"

#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace cardamombay::endpoint_cooldowns {

/// \brief Parameters of a simulation.
struct Scenario
{
    std::size_t entries_ = 7;
    std::size_t groups_ = 12;
    std::size_t refusingGroups_ = 4; ///< Groups that temporarily refuse requests.
    Duration cooldown_{};            ///< Cooldown requested in each refusal.
    Duration outage_{};              ///< How long they refuse all requests.
    double asked_ = 300;             ///< Requests per second to all entry VMs together.
    double streamSeconds_ = 0.8;     ///< Duration of a response.
    double lossShare_ = 0.01;        ///< Share of lost datagrams between entry VMs.
    Duration duration_ = std::chrono::seconds(20);
    std::vector<double> limits_{}; ///< Rate limits of the last groups, in requests per second.
    std::size_t refusesOnly_ = 0;  ///< Number of entry VMs that are refused; 0 for all.
    std::size_t leaving_ = 0;      ///< Groups that announce their shutdown during the run.
};

/// \brief Results of a simulation.
struct Results
{
    /// Most requests of one entry VM within a cooldown, not counting those in flight.
    std::size_t maxRequestsInCooldown_ = 0;
    /// Latest request within a cooldown, measured from the refusal.
    Duration latestAfterRefusal_{};
    /// Requests within a cooldown, more than 100 ms after the refusal.
    std::size_t afterGrace_ = 0;
    std::size_t asked_ = 0;
    std::size_t served_ = 0;
    std::size_t refused_ = 0;
    std::size_t sends_ = 0;
    /// Latest request after a shutdown notice, measured from the notice.
    Duration latestLeaving_{};
    /// Longest time from the end of the refusals to the group's next answer.
    Duration usedAgain_{};
};

/// \brief Simulates a fleet, its groups and its callers.
class CooldownSimulation
{
public:
    CooldownSimulation(Scenario scenario, std::uint64_t seed);

    /// \brief Runs callers and groups for \p time.
    void pass(Duration time);

    /// \brief Runs the scenario.
    [[nodiscard]] Results run();

    support::NodeFleet fleet_;
    std::function<void()> fault_; ///< Called at each step; injects faults.

private:
    struct Answer
    {
        std::shared_ptr<support::FakeCall> call_;
        TimePoint at_;
        std::size_t events_ = 0;
    };
    /// A refusal received by an entry VM.
    struct Refusal
    {
        TimePoint at_{};
        TimePoint until_{};
        std::size_t count_ = 0; ///< Requests since then, not counting those in flight.
    };
    struct Group
    {
        std::string head_;
        double limit_ = -1;
        TimePoint outageFrom_{};
        TimePoint outageUntil_{};
        TimePoint leavesAt_ = TimePoint::max();
        bool isUsedAgain_ = true;
        std::vector<Answer> answers_{};
        std::map<std::size_t, std::vector<Refusal>> refusals_{}; ///< By entry VM.
        std::map<std::size_t, TimePoint> leavingSeenAt_{};       ///< By entry VM.
    };

    [[nodiscard]] TimePoint now() const { return fleet_.clock_.now(); }
    void ask(Duration step);
    void takeCalls();
    void arrived(Group &group, std::size_t entry, const std::shared_ptr<support::FakeCall> &call);
    void recordRequest(Group &group, std::size_t entry);
    void answer(Group &group);
    [[nodiscard]] std::vector<net::HttpField> head(const Group &group) const;
    void startOutages();

    Scenario scenario_;
    Random random_;
    std::vector<Group> groups_;
    std::map<std::string, std::size_t> byHead_;
    std::vector<std::size_t> scanned_;
    std::vector<std::shared_ptr<support::CallerView>> callers_;
    double due_ = 0;
    Results results_;
};

/// \brief Prints the results.
void print(const char *name, const Scenario &scenario, const Results &results);

} // namespace cardamombay::endpoint_cooldowns
