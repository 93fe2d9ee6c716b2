#include "limits/service_limits.hpp"

#include <algorithm>
#include <cmath>

namespace cardamombay::limits::impl {

namespace {

constexpr double rateSeconds = 8;
constexpr double usageSeconds = 10;

[[nodiscard]] double decay(TimePoint from, TimePoint to, double timeConstant)
{
    const double passed = toSeconds(to - from);
    return std::exp(-std::max(passed, 0.0) / timeConstant);
}

} // namespace

void MovingRate::add(TimePoint now)
{
    level_ = level_ * decay(at_, now, rateSeconds) + 1 / rateSeconds;
    at_ = now;
}

double MovingRate::perSecond(TimePoint now) const
{
    return level_ * decay(at_, now, rateSeconds);
}

void MovingCount::set(TimePoint now, std::uint32_t count)
{
    average_ = average(now);
    count_ = count;
    at_ = now;
}

double MovingCount::average(TimePoint now) const
{
    const double kept = decay(at_, now, usageSeconds);
    return average_ * kept + count_ * (1 - kept);
}

} // namespace cardamombay::limits::impl
