/// \file
/// \brief Tracks a quantile of a stream of durations in constant space.
#pragma once

#include <cardamombay/core/time.hpp>

#include <algorithm>
#include <cstdint>

namespace cardamombay::serving {

/// \brief Estimate of a quantile that follows changes. Starts at zero and is never negative.
/// \details A value above the estimate raises it by the quantile's share of a step, one below
/// lowers it by the rest, so that it rests where these balance. Single extreme values have no more
/// influence than others.
/// \code
/// QuantileTracker median(0.5, std::chrono::milliseconds(4));
/// median.add(std::chrono::milliseconds(110));
/// \endcode
class QuantileTracker
{
public:
    /// \param quantile in (0, 1).
    /// \param step sum of one change up and one down.
    QuantileTracker(double quantile, Duration step)
        : up_(fromSeconds(toSeconds(step) * quantile))
        , down_(step - up_)
    {
    }

    void add(Duration value)
    {
        const auto scale = std::max<std::int64_t>(1, firstSteps / ++count_);
        value_ = value > value_ ? value_ + up_ * scale
                                : std::max(Duration::zero(), value_ - down_ * scale);
        count_ = std::min(count_, firstSteps);
    }

    [[nodiscard]] Duration value() const { return value_; }

private:
    /// The first steps are larger, the very first one this many times, so that an entry VM with few
    /// requests has an estimate soon.
    static constexpr std::int64_t firstSteps = 16;

    std::int64_t count_ = 0;
    Duration up_;
    Duration down_;
    Duration value_{};
};

} // namespace cardamombay::serving
