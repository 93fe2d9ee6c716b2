/// \file
/// \brief Texts and fields of the messages that KeptUpstream exchanges; does no I/O.
#pragma once

#include <cardamombay/core/time.hpp>
#include <cardamombay/net/upstream.hpp>

#include <optional>
#include <string>
#include <string_view>

namespace cardamombay::net::impl {

/// \returns the request line and the fields, up to the body.
[[nodiscard]] std::string headText(const UpstreamRequest &request);

/// \returns the first X-Request-Id if the caller has sent several; empty without one.
[[nodiscard]] std::string requestIdOf(const UpstreamRequest &request);

/// \param keepAlive the value of the field Keep-Alive, such as "timeout=5" in seconds.
/// \returns how long the endpoint keeps an unused connection; nothing if that is not there or not a
/// number.
[[nodiscard]] std::optional<Duration> idleTimeoutIn(std::string_view keepAlive);

} // namespace cardamombay::net::impl
