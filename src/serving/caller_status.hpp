/// \file
/// \brief Status codes that callers get from an entry VM itself.
#pragma once

#include <cstdint>

namespace cardamombay::serving::impl {

inline constexpr std::uint32_t statusUnauthorized = 401;
inline constexpr std::uint32_t statusUnknownRoute = 404;
inline constexpr std::uint32_t statusBadGateway = 502;
inline constexpr std::uint32_t statusUnavailable = 503; ///< Not run, and will not be.
inline constexpr std::uint32_t statusTimeout = 504;

} // namespace cardamombay::serving::impl
