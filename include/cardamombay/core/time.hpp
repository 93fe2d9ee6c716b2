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

} // namespace cardamombay
