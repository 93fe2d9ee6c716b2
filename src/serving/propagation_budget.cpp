#include <cardamombay/serving/propagation_budget.hpp>

#include <algorithm>

namespace cardamombay::serving {

namespace {

/// Unassigned share of the bound, for a slow answer or a delayed process.
constexpr double reserveShare = 0.125;

/// Allows for one lost digest and for jitter.
constexpr Duration digestJitter = std::chrono::milliseconds(100);
/// From an entry VM to its reporter, to another zone's reporter and to its members; one of them may
/// fail meanwhile.
constexpr int reporterHops = 4;

/// Period over which the entry VMs of a large fleet begin to query the store. Most of them never
/// do, since the first ones relay what they learn.
constexpr Duration largeFleetStagger = std::chrono::milliseconds(400);

/// Time until the next check of the confirmations, plus one call to the store.
constexpr Duration ownQueryTime = std::chrono::milliseconds(200);

/// Bounds of the wait in a call for changes. Each call costs, and only confirms the same state; but
/// its answer also shows whether the store is available.
constexpr Duration maxWait = std::chrono::milliseconds(1500);
constexpr Duration minWait = std::chrono::milliseconds(400);

/// Delay of standby watchers after a change, as a share of the bound.
constexpr double standbyPauseShare = 0.25;

} // namespace

PropagationBudget propagationBudget(Duration bound, bool hasReporters)
{
    PropagationBudget budget;
    budget.relayTime_ = digestPeriod * (hasReporters ? reporterHops : 1) + digestJitter;
    budget.stagger_ = hasReporters ? largeFleetStagger : Duration::zero();
    // In the worst case the last confirmation arrives as late as possible; then some entry VMs
    // query the store and relay to the others.
    const auto steps
        = budget.relayTime_ + std::max(budget.relayTime_, budget.stagger_) + ownQueryTime;
    const auto usable = fromSeconds(toSeconds(bound) * (1 - reserveShare));
    budget.wait_ = std::clamp<Duration>(usable - steps, minWait, maxWait);
    budget.maxGap_ = budget.wait_ + steps;
    budget.standbyPause_ = fromSeconds(toSeconds(bound) * standbyPauseShare);
    return budget;
}

void ConfirmationTracker::note(TimePoint asOf, TimePoint now)
{
    // An answer with changes and the one that follows it confirm nearly the same moment.
    if (asOf - asOf_ <= digestPeriod)
        return;
    asOf_ = asOf;
    since_ = now;
}

void ConfirmationTracker::startAt(TimePoint when)
{
    since_ = std::max(since_, when);
}

} // namespace cardamombay::serving
