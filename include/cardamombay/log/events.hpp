/// \file
/// \brief Names of the events that traffic and the daemon log; listed in docs/operations/logs.md.
#pragma once

#include <string_view>

namespace cardamombay::log::event {

/// \name Daemon life cycle
/// \{
inline constexpr std::string_view daemonStarted = "daemon-started";
inline constexpr std::string_view daemonReady = "daemon-ready";
inline constexpr std::string_view drainStarted = "drain-started";
inline constexpr std::string_view drainRefusing = "drain-refusing";
inline constexpr std::string_view drainLimitReached = "drain-limit-reached";
inline constexpr std::string_view daemonStopped = "daemon-stopped";
inline constexpr std::string_view siteUnknown = "site-unknown";
inline constexpr std::string_view daemonFailed = "daemon-failed";
/// \}

/// \name Requests
/// \{
inline constexpr std::string_view requestFinished = "request-finished";
inline constexpr std::string_view requestRefused = "request-refused";
inline constexpr std::string_view requestAdmitted = "request-admitted"; ///< Recorded only.
inline constexpr std::string_view requestClaimed = "request-claimed";   ///< Recorded only.
inline constexpr std::string_view requestRetried = "request-retried";   ///< Recorded only.
inline constexpr std::string_view attemptFinished = "attempt-finished"; ///< Recorded only.
inline constexpr std::string_view attemptFailed = "attempt-failed";
inline constexpr std::string_view attemptStopped = "attempt-stopped";
inline constexpr std::string_view streamResumed = "stream-resumed";
inline constexpr std::string_view badInput = "bad-input";
inline constexpr std::string_view inputRefused = "input-refused";
inline constexpr std::string_view bodyLimitExceedsMemory = "body-limit-exceeds-memory";
/// \}

} // namespace cardamombay::log::event
