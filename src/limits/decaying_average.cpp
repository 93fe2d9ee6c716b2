#include "limits/service_limits.hpp"

#include <algorithm>
#include <cmath>

namespace cardamombay::limits::impl {

namespace {

constexpr double rateTimeConstantSeconds = 8;
constexpr double averageTimeConstantSeconds = 10;

[[nodiscard]] double decay(TimePoint from, TimePoint to, double timeConstant)
{
    const double elapsedSeconds = toSeconds(to - from);
    return std::exp(-std::max(elapsedSeconds, 0.0) / timeConstant);
}

} // namespace

void DecayingRate::add(TimePoint now)
{
    perSecond_ = perSecond_ * decay(updatedAt_, now, rateTimeConstantSeconds)
                 + 1 / rateTimeConstantSeconds;
    updatedAt_ = now;
}

double DecayingRate::perSecond(TimePoint now) const
{
    return perSecond_ * decay(updatedAt_, now, rateTimeConstantSeconds);
}

void DecayingAverage::set(TimePoint now, std::uint32_t count)
{
    average_ = average(now);
    count_ = count;
    updatedAt_ = now;
}

double DecayingAverage::average(TimePoint now) const
{
    const double decayFactor = decay(updatedAt_, now, averageTimeConstantSeconds);
    return average_ * decayFactor + count_ * (1 - decayFactor);
}

} // namespace cardamombay::limits::impl
