#include <cardamombay/overload/wait_forecast.hpp>

#include "overload/work_time.hpp"

#include <algorithm>

namespace cardamombay::overload {

namespace {

/// Arrival times are not exchanged: of the requests with the same rank at other entry VMs, half are
/// assumed to have arrived earlier.
constexpr double sameRankShare = 0.5;

} // namespace

Duration forecastWait(const ModelDemand &others, Rank rank, double ownAhead, double room)
{
    if (!(room > 0))
        return Duration::max();
    const auto limited = std::min(rank, maxRank);
    double ahead = impl::validWork(ownAhead);
    for (const auto &[other, work] : others.waiting_) {
        if (other < limited)
            ahead += impl::validWork(work);
        else if (other == limited)
            ahead += sameRankShare * impl::validWork(work);
    }
    return impl::durationOf(ahead / room);
}

Duration usefulWait(const WaitLimits &limits)
{
    const auto limit = limits.hasReturned_ ? limits.patience_ : limits.latencyGoal_;
    return std::max(Duration::zero(), limit - limits.elapsed_ - limits.firstEvent_);
}

} // namespace cardamombay::overload
