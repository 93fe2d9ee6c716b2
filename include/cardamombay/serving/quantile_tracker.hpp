/// \file
/// \brief Tracks a quantile of a stream of durations in constant space.
#pragma once

#include <cardamombay/core/time.hpp>

#include <algorithm>

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
        value_ = value > value_ ? value_ + up_ : std::max(Duration::zero(), value_ - down_);
    }

    [[nodiscard]] Duration value() const { return value_; }

private:
    Duration up_;
    Duration down_;
    Duration value_{};
};

} // namespace cardamombay::serving
