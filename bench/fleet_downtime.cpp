// Group downtime of whole control nodes after single faults, on the paused clock.
//
// Usage: bench_fleet_downtime CHARTS [TRIALS]
//
// Three availability zones, seven entry VMs and 54 engine VMs. Each trial lets the fleet serve,
// causes one fault at a member of one group, and measures until every declared replica serves
// again: when the first and the last entry VM of the zone stopped using the group, when it was
// formed anew, and for how long a declared replica did not serve (the group downtime).
#include "support/control_fleet.hpp"

#include <algorithm>
#include <cstdio>
#include <cstdlib>
#include <optional>
#include <string>
#include <vector>

using namespace cardamombay;
using support::ControlFleet;

namespace {

constexpr Duration step = std::chrono::milliseconds(50);
constexpr Duration settleLimit = std::chrono::minutes(4);
constexpr Duration trialLimit = std::chrono::minutes(5);
constexpr Duration breakTime = std::chrono::seconds(5);

/// What happens to the chosen group.
enum class Fault { MemberDies, MemberRestarts, MemberStalls, MemberLeaves, PlannerDiesToo };

struct FaultName
{
    Fault fault_;
    const char *name_;
};

constexpr FaultName faults[] = {{Fault::MemberDies, "a member dies"},
                                {Fault::MemberRestarts, "a member restarts after 5 s"},
                                {Fault::MemberStalls, "a member stands still for 5 s"},
                                {Fault::MemberLeaves, "a member is listed as leaving"},
                                {Fault::PlannerDiesToo, "a member and its planner die"}};

/// Instants of one trial, counted from the fault.
struct Trial
{
    std::optional<Duration> unused_; ///< The last entry VM of the zone stopped using the group.
    std::optional<Duration> formed_; ///< A later generation of the slot was written.
    std::optional<Duration> served_; ///< All declared replicas serve again.
    Duration down_{};                ///< Declared replicas that did not serve, summed over time.
};

/// One fleet with one fault.
class Experiment
{
public:
    Experiment(const std::string &charts, std::uint64_t seed)
        : random_(seed)
        , fleet_(shapeOf(charts), seed)
    {
    }

    bool settle()
    {
        fleet_.applyConfiguration("first");
        const bool isServing = fleet_.runUntil([&] { return fleet_.isServing(); }, settleLimit);
        fleet_.run(std::chrono::milliseconds(random_.below(3000)));
        return isServing;
    }

    Trial run(Fault fault)
    {
        choose();
        const TimePoint start = fleet_.clock_.now();
        begin(fault);
        Trial trial;
        while (fleet_.clock_.now() - start < trialLimit && !trial.served_) {
            fleet_.run(step);
            const Duration passed = fleet_.clock_.now() - start;
            if (passed >= breakTime)
                endBreak(fault);
            observe(trial, passed, fault);
        }
        return trial;
    }

private:
    static support::ControlFleetShape shapeOf(const std::string &charts)
    {
        support::ControlFleetShape shape;
        shape.entriesPerZone_ = {3, 2, 2};
        shape.domainsPerZone_ = 2;
        shape.vmsPerDomain_ = 9;
        shape.charts_ = charts;
        return shape;
    }

    void choose()
    {
        std::vector<groups::GroupRow> active;
        for (const auto &row : fleet_.groupRows()) {
            if (row.isActive())
                active.push_back(row);
        }
        group_ = active[random_.below(active.size())];
        member_ = group_.members_[random_.below(group_.members_.size())];
    }

    void begin(Fault fault)
    {
        if (fault == Fault::MemberStalls)
            fleet_.pauseVm(member_);
        else if (fault == Fault::MemberLeaves)
            fleet_.setLeaving(member_, true);
        else
            fleet_.killVm(member_);
        if (fault == Fault::PlannerDiesToo)
            killPlanner();
    }

    void endBreak(Fault fault)
    {
        if (hasEnded_)
            return;
        hasEnded_ = true;
        if (fault == Fault::MemberRestarts)
            fleet_.restartVm(member_);
        if (fault == Fault::MemberStalls)
            fleet_.resumeVm(member_);
    }

    void killPlanner()
    {
        for (std::size_t index = 0; index < fleet_.size(); ++index) {
            for (const auto *lease : fleet_.entry(index).node_->planner().heldLeases()) {
                if (lease->domain() == group_.domain_) {
                    fleet_.killEntry(index);
                    return;
                }
            }
        }
    }

    void observe(Trial &trial, Duration passed, Fault fault)
    {
        const bool isUsed = isUsedAnywhere();
        if (!trial.unused_ && !isUsed)
            trial.unused_ = passed;
        for (const auto &row : fleet_.groupRows()) {
            const bool isNew = row.group_ == group_.group_ && row.generation_ > group_.generation_;
            if (!trial.formed_ && isNew)
                trial.formed_ = passed;
        }
        const std::size_t serving = servingReplicas();
        if (serving < fleet_.declaredReplicas())
            trial.down_ += step * (fleet_.declaredReplicas() - serving);
        // The fault must have shown before the trial can end, or have had the time to.
        const bool hasShown = trial.unused_ || passed > breakTime * 4;
        const bool isReplaced = fault != Fault::MemberLeaves || !isUsed;
        if (hasShown && isReplaced && serving >= fleet_.declaredReplicas())
            trial.served_ = passed;
    }

    /// True if a running entry VM of the zone would hand work to the formation hit by the fault.
    bool isUsedAnywhere() const
    {
        for (std::size_t index = 0; index < fleet_.size(); ++index) {
            if (usable(index, group_.group_, group_.generation_))
                return true;
        }
        return false;
    }

    /// Slots that every running entry VM of their zone can use.
    std::size_t servingReplicas() const
    {
        std::size_t serving = 0;
        for (const auto &row : fleet_.groupRows()) {
            if (row.isActive() && fleet_.isWhole(row) && isUsableInItsZone(row))
                ++serving;
        }
        return serving;
    }

    bool isUsableInItsZone(const groups::GroupRow &row) const
    {
        for (std::size_t index = 0; index < fleet_.size(); ++index) {
            const auto &entry = fleet_.entry(index);
            if (entry.isRunning() && entry.zone_ == row.zone_
                && !usable(index, row.group_, row.generation_))
                return false;
        }
        return true;
    }

    bool usable(std::size_t index, const GroupId &group, Generation generation) const
    {
        const auto &entry = fleet_.entry(index);
        if (!entry.isRunning())
            return false;
        for (const auto &service : entry.node_->snapshot()->services_) {
            for (const auto &candidate : service.groups_) {
                if (candidate.group_ == group && candidate.generation_ == generation)
                    return candidate.isUsable(fleet_.clock_.now());
            }
        }
        return false;
    }

    Random random_;
    ControlFleet fleet_;
    groups::GroupRow group_;
    VmId member_;
    bool hasEnded_ = false;
};

/// Median and 95th percentile of what was measured, in seconds.
std::string spread(std::vector<double> values)
{
    if (values.empty())
        return "-";
    std::sort(values.begin(), values.end());
    const auto at = [&](double share) {
        return values[static_cast<std::size_t>(share * static_cast<double>(values.size() - 1))];
    };
    char text[64];
    std::snprintf(text, sizeof text, "%.2f / %.2f", at(0.5), at(0.95));
    return text;
}

double secondsOf(Duration duration)
{
    return std::chrono::duration<double>(duration).count();
}

void report(const FaultName &named, const std::string &charts, std::uint64_t trials)
{
    std::vector<double> unused;
    std::vector<double> formed;
    std::vector<double> served;
    std::vector<double> down;
    std::uint64_t failed = 0;
    for (std::uint64_t seed = 1; seed <= trials; ++seed) {
        Experiment experiment(charts, seed);
        if (!experiment.settle()) {
            ++failed;
            continue;
        }
        const Trial trial = experiment.run(named.fault_);
        failed += trial.served_ ? 0 : 1;
        if (trial.unused_)
            unused.push_back(secondsOf(*trial.unused_));
        if (trial.formed_)
            formed.push_back(secondsOf(*trial.formed_));
        if (trial.served_)
            served.push_back(secondsOf(*trial.served_));
        down.push_back(secondsOf(trial.down_));
    }
    std::printf("| %s | %s | %s | %s | %s | %llu of %llu |\n", named.name_, spread(unused).c_str(),
                spread(formed).c_str(), spread(served).c_str(), spread(down).c_str(),
                static_cast<unsigned long long>(failed), static_cast<unsigned long long>(trials));
    std::fflush(stdout);
}

} // namespace

int main(int argc, char **argv)
{
    const std::string charts = argc > 1 ? argv[1] : "charts";
    const std::uint64_t trials = argc > 2 ? std::strtoull(argv[2], nullptr, 10) : 20;
    std::printf("| fault | out of use | formed anew | all serve | group downtime | failed |\n"
                "|---|---|---|---|---|---|\n");
    for (const auto &named : faults)
        report(named, charts, trials);
    return 0;
}
