#include <cardamombay/overload/return_schedule.hpp>

#include "overload/work_time.hpp"

#include <algorithm>
#include <cmath>

namespace cardamombay::overload {

namespace {

/// At least this share of the room serves returns. Otherwise the forecast would be endless while
/// new requests use all of the room; returns are admitted ahead of them.
constexpr double minReturnShare = 0.25;
/// An earlier return would meet the same overload: figures of the fleet are up to two digest
/// periods old.
constexpr double minRetrySeconds = 0.25;
/// Longest jitter as a share of the time, so that callers refused together do not return together.
constexpr double maxJitter = 0.25;
/// More urgent callers return earlier: promised work counts by half for them.
constexpr double urgentShare = 0.5;
/// Callers wait for at most this share of their remaining time.
constexpr double maxWaitShare = 1.0 / 3;

double offeredWork(const ModelDemand &demand)
{
    double sum = 0;
    for (const auto &[rank, groups] : demand.offered_)
        sum += impl::validWork(groups);
    return sum;
}

bool isLeastUrgent(Rank rank, const ModelDemand &demand)
{
    return std::none_of(demand.offered_.begin(), demand.offered_.end(),
                        [rank](const auto &one) { return one.first > rank && one.second > 0; });
}

/// Seconds until the fleet has served the promised work that comes before \p rank.
double forecastSeconds(Rank rank, const ModelDemand &demand, double room)
{
    const double promised = impl::validWork(demand.promised_);
    const double ahead = isLeastUrgent(rank, demand) ? promised : urgentShare * promised;
    const double rate = std::max(minReturnShare * room, room - offeredWork(demand));
    return std::max(minRetrySeconds, ahead / rate);
}

/// Uniform in [0, 1).
double unitOf(std::uint64_t draw)
{
    return std::ldexp(static_cast<double>(draw >> 11U), -53);
}

} // namespace

ReturnTime returnTime(const RefusedRequest &request, const ModelDemand &demand, double room)
{
    const double longest = maxWaitShare * std::max(0.0, toSeconds(request.timeLeft_));
    if (!(room > 0))
        return {fromSeconds(longest), false};
    const double jitter = 1 + maxJitter * unitOf(request.draw_);
    const double seconds = jitter * forecastSeconds(std::min(request.rank_, maxRank), demand, room);
    if (!(seconds <= longest))
        return {fromSeconds(longest), false};
    return {fromSeconds(seconds), !request.hasReturned_};
}

} // namespace cardamombay::overload
