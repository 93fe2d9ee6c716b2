/// \file
/// \brief Durations as operators write them, such as "500ms" or "2m".
#pragma once

#include <cardamombay/core/time.hpp>

#include <optional>
#include <string>
#include <string_view>

namespace cardamombay::config {

/// \brief Reads a whole number with a unit: "ms", "s", "m" or "h".
/// \returns the duration, or nothing if \p text is not of that form or too large.
[[nodiscard]] std::optional<Duration> durationOf(std::string_view text);

/// \brief Writes \p duration in the largest unit that holds it whole; milliseconds at least.
[[nodiscard]] std::string textOf(Duration duration);

} // namespace cardamombay::config
