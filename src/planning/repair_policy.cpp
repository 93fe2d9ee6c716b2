#include <cardamombay/planning/repair_policy.hpp>

#include <algorithm>

namespace cardamombay::planning {

namespace {

/// Downtime assumed for a group that can neither be repaired nor recovers by itself.
constexpr Duration unrecoverableDowntime = std::chrono::minutes(10);

/// Probability that returning VMs have lost their weights, so that the group has to load again.
constexpr double reloadProbability = 0.5;

Duration scaled(Duration duration, double factor)
{
    return std::chrono::duration_cast<Duration>(duration * factor);
}

/// Expected time until a waiting group has all its members, and until it serves.
struct WaitEstimate
{
    Duration timeToComplete_{};
    Duration timeToServe_{};
};

WaitEstimate estimateWait(const ReturnEstimate &estimate, Duration loadTime, Duration fallbackTime)
{
    const double neverReturns = 1 - estimate.probability_;
    WaitEstimate waiting;
    waiting.timeToComplete_ = estimate.timeLeft_ + scaled(fallbackTime - loadTime, neverReturns);
    waiting.timeToServe_ = estimate.timeLeft_
                           + scaled(loadTime, estimate.probability_ * reloadProbability)
                           + scaled(fallbackTime, neverReturns);
    return waiting;
}

/// Estimates the strategies of one case. If Merge is available, each estimate includes the cost of
/// the other group.
class Estimator
{
public:
    Estimator(const RepairCase &repair, const config::PlannerPolicy &policy)
        : repair_(repair)
        , policy_(policy)
    {
        const bool hasFallback = repair.canReplace_ || repair.canVacate_;
        const Duration unrecoverable = unrecoverableDowntime + repair.loadTime_;
        own_ = estimateWait(repair.returnEstimate_, repair.loadTime_,
                            hasFallback ? repair.loadTime_ : unrecoverable);
        if (repair.canMerge_)
            other_ = estimateWait(repair.otherReturnEstimate_, repair.loadTime_, unrecoverable);
    }

    [[nodiscard]] RepairEstimate wait() const
    {
        std::uint32_t idle = repair_.survivors_;
        if (repair_.canReplace_)
            idle += repair_.missing_; // Spares that stay unused while waiting.
        else if (repair_.canVacate_)
            idle += repair_.missing_ + repair_.survivors_;
        return withOtherGroup(RepairStrategy::Wait, own_.timeToServe_,
                              idle * toSeconds(own_.timeToComplete_));
    }

    [[nodiscard]] RepairEstimate replace() const
    {
        return withOtherGroup(RepairStrategy::Replace, repair_.loadTime_, 0);
    }

    [[nodiscard]] RepairEstimate vacate() const
    {
        const double stranded = repair_.survivors_ * toSeconds(own_.timeToComplete_);
        return withOtherGroup(RepairStrategy::Vacate, repair_.loadTime_, stranded);
    }

    /// After a merge the other group needs all VMs that either group has lost to return.
    [[nodiscard]] RepairEstimate merge() const
    {
        ReturnEstimate all;
        all.probability_
            = repair_.returnEstimate_.probability_ * repair_.otherReturnEstimate_.probability_;
        all.timeLeft_
            = std::max(repair_.returnEstimate_.timeLeft_, repair_.otherReturnEstimate_.timeLeft_);
        const WaitEstimate rest
            = estimateWait(all, repair_.loadTime_, unrecoverableDowntime + repair_.loadTime_);
        const std::uint32_t left = repair_.otherSurvivors_ - repair_.missing_;
        return withCost(RepairStrategy::Merge, repair_.loadTime_ + rest.timeToServe_,
                        left * toSeconds(rest.timeToComplete_));
    }

private:
    [[nodiscard]] RepairEstimate withOtherGroup(RepairStrategy strategy, Duration downtime,
                                                double stranded) const
    {
        if (!repair_.canMerge_)
            return withCost(strategy, downtime, stranded);
        const double others = repair_.otherSurvivors_ * toSeconds(other_.timeToComplete_);
        return withCost(strategy, downtime + other_.timeToServe_, stranded + others);
    }

    [[nodiscard]] RepairEstimate withCost(RepairStrategy strategy, Duration downtime,
                                          double stranded) const
    {
        const double cost
            = policy_.downtimeWeight_ * toSeconds(downtime) + policy_.strandedWeight_ * stranded;
        return {strategy, downtime, stranded, cost};
    }

    const RepairCase &repair_;
    const config::PlannerPolicy &policy_;
    WaitEstimate own_;
    WaitEstimate other_;
};

bool isAvailable(const std::vector<RepairEstimate> &estimates, RepairStrategy strategy)
{
    return std::any_of(estimates.begin(), estimates.end(),
                       [&](const RepairEstimate &each) { return each.strategy_ == strategy; });
}

} // namespace

std::string_view nameOf(RepairStrategy strategy)
{
    switch (strategy) {
    case RepairStrategy::Wait:
        return "wait";
    case RepairStrategy::Replace:
        return "replace";
    case RepairStrategy::Merge:
        return "merge";
    case RepairStrategy::Vacate:
        return "vacate";
    }
    return "unknown";
}

std::vector<RepairEstimate> estimateRepairs(const RepairCase &repair,
                                            const config::PlannerPolicy &policy)
{
    const Estimator estimator(repair, policy);
    std::vector<RepairEstimate> estimates{estimator.wait()};
    if (repair.canReplace_)
        estimates.push_back(estimator.replace());
    if (repair.canMerge_)
        estimates.push_back(estimator.merge());
    if (repair.canVacate_)
        estimates.push_back(estimator.vacate());
    return estimates;
}

RepairStrategy LeastCostPolicy::choose(const std::vector<RepairEstimate> &estimates) const
{
    const auto least = std::min_element(estimates.begin(), estimates.end(),
                                        [](const RepairEstimate &one, const RepairEstimate &other) {
                                            return one.cost_ < other.cost_;
                                        });
    return least->strategy_;
}

RepairStrategy AlwaysWaitPolicy::choose(const std::vector<RepairEstimate> &) const
{
    return RepairStrategy::Wait;
}

RepairStrategy AlwaysReplacePolicy::choose(const std::vector<RepairEstimate> &estimates) const
{
    return isAvailable(estimates, RepairStrategy::Replace) ? RepairStrategy::Replace
                                                           : RepairStrategy::Wait;
}

} // namespace cardamombay::planning
