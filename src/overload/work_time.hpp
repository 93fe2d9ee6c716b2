/// \file
/// \brief Conversions of figures that were received from other entry VMs and may be implausible.
#pragma once

#include <cardamombay/core/time.hpp>

#include <algorithm>

namespace cardamombay::overload::impl {

/// Longer times are not told apart; about the 292 years that fit into a Duration.
inline constexpr double maxSeconds = 9.2e9;

/// \brief \p work in seconds; 0 if it is negative or not a number.
[[nodiscard]] inline double validWork(double work)
{
    return work > 0 ? work : 0;
}

/// \brief The duration of \p seconds; the longest one if it does not fit or is not a number.
[[nodiscard]] inline Duration durationOf(double seconds)
{
    return seconds < maxSeconds ? fromSeconds(std::max(0.0, seconds)) : Duration::max();
}

} // namespace cardamombay::overload::impl
