/// \file
/// \brief Time points and durations of the runtime clock.
#pragma once

#include <chrono>
#include <cstdint>

namespace cardamombay {

/// \brief Length of time; every duration in the interfaces has this type.
using Duration = std::chrono::nanoseconds;

/// \brief Instant on the clock of one process. Never sent to another process: send ages.
using TimePoint = std::chrono::time_point<std::chrono::steady_clock, Duration>;

/// \brief Whole milliseconds of a duration, rounded towards zero.
[[nodiscard]] constexpr std::int64_t toMilliseconds(Duration duration)
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(duration).count();
}

/// \brief A duration in seconds, with fractions; for figures, rates and costs.
[[nodiscard]] constexpr double toSeconds(Duration duration)
{
    return std::chrono::duration<double>(duration).count();
}

/// \brief The duration of \p seconds, cut to whole nanoseconds.
/// \param seconds in the range of Duration, about 292 years either way.
[[nodiscard]] constexpr Duration fromSeconds(double seconds)
{
    return std::chrono::duration_cast<Duration>(std::chrono::duration<double>(seconds));
}

} // namespace cardamombay
