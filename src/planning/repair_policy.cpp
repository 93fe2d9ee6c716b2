#include <cardamombay/planning/repair_policy.hpp>

#include <algorithm>

namespace cardamombay::planning {

namespace {

/// Downtime taken for a group that can neither be replaced nor comes back by itself.
constexpr Duration hopelessDowntime = std::chrono::minutes(10);

/// Share of returning VMs that have lost their weights, so that the group loads again.
constexpr double reloadShare = 0.5;

Duration scaled(Duration duration, double factor)
{
    return std::chrono::duration_cast<Duration>(duration * factor);
}

/// Expected time until a group that waits is complete, and until it serves.
struct Waiting
{
    Duration incomplete_{};
    Duration down_{};
};

Waiting waitingFor(const ReturnEstimate &outlook, Duration loadTime, Duration fallback)
{
    const double stays = 1 - outlook.probability_;
    Waiting waiting;
    waiting.incomplete_ = outlook.timeLeft_ + scaled(fallback - loadTime, stays);
    waiting.down_ = outlook.timeLeft_ + scaled(loadTime, outlook.probability_ * reloadShare)
                    + scaled(fallback, stays);
    return waiting;
}

/// Estimates the ways of one case; what the other group costs is part of each if Merge is open.
class Estimator
{
public:
    Estimator(const RepairCase &repair, const config::PlannerPolicy &policy)
        : repair_(repair)
        , policy_(policy)
    {
        const bool hasFallback = repair.canReplace_ || repair.canVacate_;
        const Duration hopeless = hopelessDowntime + repair.loadTime_;
        own_ = waitingFor(repair.outlook_, repair.loadTime_,
                          hasFallback ? repair.loadTime_ : hopeless);
        if (repair.canMerge_)
            other_ = waitingFor(repair.otherOutlook_, repair.loadTime_, hopeless);
    }

    [[nodiscard]] RepairEstimate wait() const
    {
        std::uint32_t idle = repair_.survivors_;
        if (repair_.canReplace_)
            idle += repair_.missing_; // The spares that stay unused meanwhile.
        else if (repair_.canVacate_)
            idle += repair_.missing_ + repair_.survivors_;
        return total(RepairWay::Wait, own_.down_, idle * toSeconds(own_.incomplete_));
    }

    [[nodiscard]] RepairEstimate replace() const
    {
        return total(RepairWay::Replace, repair_.loadTime_, 0);
    }

    [[nodiscard]] RepairEstimate vacate() const
    {
        const double stranded = repair_.survivors_ * toSeconds(own_.incomplete_);
        return total(RepairWay::Vacate, repair_.loadTime_, stranded);
    }

    /// The other group then needs the return of all VMs that are lost from both.
    [[nodiscard]] RepairEstimate merge() const
    {
        ReturnEstimate all;
        all.probability_ = repair_.outlook_.probability_ * repair_.otherOutlook_.probability_;
        all.timeLeft_ = std::max(repair_.outlook_.timeLeft_, repair_.otherOutlook_.timeLeft_);
        const Waiting rest
            = waitingFor(all, repair_.loadTime_, hopelessDowntime + repair_.loadTime_);
        const std::uint32_t left = repair_.otherSurvivors_ - repair_.missing_;
        return priced(RepairWay::Merge, repair_.loadTime_ + rest.down_,
                      left * toSeconds(rest.incomplete_));
    }

private:
    [[nodiscard]] RepairEstimate total(RepairWay way, Duration downtime, double stranded) const
    {
        if (!repair_.canMerge_)
            return priced(way, downtime, stranded);
        const double others = repair_.otherSurvivors_ * toSeconds(other_.incomplete_);
        return priced(way, downtime + other_.down_, stranded + others);
    }

    [[nodiscard]] RepairEstimate priced(RepairWay way, Duration downtime, double stranded) const
    {
        const double cost
            = policy_.downtimeWeight_ * toSeconds(downtime) + policy_.strandedWeight_ * stranded;
        return {way, downtime, stranded, cost};
    }

    const RepairCase &repair_;
    const config::PlannerPolicy &policy_;
    Waiting own_;
    Waiting other_;
};

bool isOpen(const std::vector<RepairEstimate> &ways, RepairWay way)
{
    return std::any_of(ways.begin(), ways.end(),
                       [&](const RepairEstimate &each) { return each.way_ == way; });
}

} // namespace

std::string_view nameOf(RepairWay way)
{
    switch (way) {
    case RepairWay::Wait:
        return "wait";
    case RepairWay::Replace:
        return "replace";
    case RepairWay::Merge:
        return "merge";
    case RepairWay::Vacate:
        return "vacate";
    }
    return "unknown";
}

std::vector<RepairEstimate> estimateRepairs(const RepairCase &repair,
                                            const config::PlannerPolicy &policy)
{
    const Estimator estimator(repair, policy);
    std::vector<RepairEstimate> ways{estimator.wait()};
    if (repair.canReplace_)
        ways.push_back(estimator.replace());
    if (repair.canMerge_)
        ways.push_back(estimator.merge());
    if (repair.canVacate_)
        ways.push_back(estimator.vacate());
    return ways;
}

RepairWay LeastCostPolicy::choose(const std::vector<RepairEstimate> &ways) const
{
    const auto least = std::min_element(ways.begin(), ways.end(),
                                        [](const RepairEstimate &one, const RepairEstimate &other) {
                                            return one.cost_ < other.cost_;
                                        });
    return least->way_;
}

RepairWay AlwaysWaitPolicy::choose(const std::vector<RepairEstimate> &) const
{
    return RepairWay::Wait;
}

RepairWay AlwaysReplacePolicy::choose(const std::vector<RepairEstimate> &ways) const
{
    return isOpen(ways, RepairWay::Replace) ? RepairWay::Replace : RepairWay::Wait;
}

} // namespace cardamombay::planning
