#include <cardamombay/serving/news_budget.hpp>

#include <algorithm>

namespace cardamombay::serving {

namespace {

/// Part of the bound that no step uses, for a slow answer or a process that is late.
constexpr double reserveShare = 0.125;

/// A digest that is lost, and jitter.
constexpr Duration digestJitter = std::chrono::milliseconds(100);
/// From an entry VM to its reporter, to another zone's and to its members; one may fail meanwhile.
constexpr int hopsOfSums = 4;

/// All entry VMs of a large fleet that ask for themselves do so within that time, most of them not
/// at all since the first ones tell what they have learnt.
constexpr Duration turnsOfLargeFleet = std::chrono::milliseconds(400);

/// The next look at what is known, and a call of the store.
constexpr Duration ownCall = std::chrono::milliseconds(200);

/// A call costs, and each confirms the same; the confirmation also tells whether the store is away.
constexpr Duration longestWait = std::chrono::milliseconds(1500);
constexpr Duration leastWait = std::chrono::milliseconds(400);

/// Share of the bound after which those that watch in case others fail look again.
constexpr double sparePauseShare = 0.25;

} // namespace

NewsBudget newsBudget(Duration bound, bool hasReporters)
{
    NewsBudget budget;
    budget.told_ = digestPeriod * (hasReporters ? hopsOfSums : 1) + digestJitter;
    budget.turns_ = hasReporters ? turnsOfLargeFleet : Duration::zero();
    // The last confirmation may have come as late as it can; then some ask, the others are told.
    const auto steps = budget.told_ + std::max(budget.told_, budget.turns_) + ownCall;
    const auto usable = fromSeconds(toSeconds(bound) * (1 - reserveShare));
    budget.wait_ = std::clamp<Duration>(usable - steps, leastWait, longestWait);
    budget.longestGap_ = budget.wait_ + steps;
    budget.sparePause_ = fromSeconds(toSeconds(bound) * sparePauseShare);
    return budget;
}

void ConfirmationTrail::note(TimePoint asOf, TimePoint now)
{
    // An answer with changes and the one after it confirm nearly the same moment.
    if (asOf - asOf_ <= digestPeriod)
        return;
    asOf_ = asOf;
    since_ = now;
}

void ConfirmationTrail::startAt(TimePoint when)
{
    since_ = std::max(since_, when);
}

} // namespace cardamombay::serving
