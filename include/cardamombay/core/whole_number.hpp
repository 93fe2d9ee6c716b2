/// \file
/// \brief Whole numbers out of JSON, where every number may be a fraction, negative or huge.
#pragma once

#include <cmath>
#include <cstdint>
#include <optional>

namespace cardamombay {

/// Whole numbers up to this one are exact in a double; others in JSON may have been rounded.
inline constexpr double largestExactNumber = 9007199254740992.0;

/// \brief \p number as a count.
/// \returns nothing if it is negative, fractional, not finite or too large to be exact.
[[nodiscard]] inline std::optional<std::uint64_t> wholeNumber(double number)
{
    const bool isCount
        = number >= 0 && number <= largestExactNumber && std::floor(number) == number;
    return isCount ? std::optional(static_cast<std::uint64_t>(number)) : std::nullopt;
}

} // namespace cardamombay
