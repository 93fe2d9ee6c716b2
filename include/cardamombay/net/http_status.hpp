/// \file
/// \brief HTTP status codes that clients and servers of the library tell apart (RFC 9110, 6585).
#pragma once

#include <cstdint>

namespace cardamombay::net {

inline constexpr std::uint32_t statusOk = 200;
inline constexpr std::uint32_t statusBadRequest = 400;
inline constexpr std::uint32_t statusNotFound = 404;
inline constexpr std::uint32_t statusConflict = 409;
inline constexpr std::uint32_t statusThrottled = 429;
inline constexpr std::uint32_t statusServerError = 500;
inline constexpr std::uint32_t statusUnavailable = 503;

} // namespace cardamombay::net
