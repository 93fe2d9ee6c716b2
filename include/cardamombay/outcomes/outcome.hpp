/// \file
/// \brief Outcome of a request, and the error that is reported to its caller.
/// \details "not-run" is reported only for a request that no endpoint ran; if in doubt, the outcome
/// is "unknown".
#pragma once

#include <cardamombay/core/ids.hpp>

#include <cstdint>
#include <string>
#include <string_view>

namespace cardamombay::outcomes {

/// \brief Header that carries the attempt id to the endpoint and back.
inline constexpr std::string_view attemptIdHeader = "X-Attempt-Id";
/// \brief Header with which an endpoint reports that it did not run the request.
inline constexpr std::string_view notRunHeader = "X-Not-Run";
/// \brief Header that reports the outcome to the caller.
inline constexpr std::string_view outcomeHeader = "X-Outcome";

/// \brief Whether a request is known to have run.
enum class Outcome {
    NotRun, ///< No byte was sent, or the endpoint reported that it did not run the request.
    Ran,    ///< The endpoint sent a complete response.
    Unknown ///< Bytes may have been sent, but no complete response was received.
};

/// \brief Name on the wire: "not-run", "ran" or "unknown".
[[nodiscard]] std::string_view nameOf(Outcome outcome);

/// \brief What ended an attempt.
enum class Cause {
    None, ///< The attempt has not ended.
    Complete,
    ConnectFailed,
    Refused, ///< The endpoint refused the request.
    ForeignAnswer,
    BrokenAnswer,
    ClosedEarly,
    TimedOut,
    CallerGone,
    GroupLost
};

/// \brief Name in logs and metrics, such as "closed-early".
[[nodiscard]] std::string_view nameOf(Cause cause);

/// \brief Content of the problem details body of a failed request.
struct CallerMessage
{
    std::uint32_t status_ = 502; ///< HTTP status.
    Outcome outcome_ = Outcome::Unknown;
    std::string title_;
    std::string detail_;
    std::string remedy_;
};

/// \brief Whether a request can be repeated safely; determines the remedy text.
struct RequestSafety
{
    bool isIdempotent_ = true;
    bool hasKey_ = false; ///< The request has an Idempotency-Key header.
};

/// \brief Describes the failure to the caller, if no further attempt is made.
[[nodiscard]] CallerMessage describe(Outcome outcome, Cause cause, RequestSafety safety);

/// \brief Returns the attempt id "request.number.incarnation", unique across entry VM restarts.
/// \param number number of the attempt for this request, starting at 1.
[[nodiscard]] AttemptId makeAttemptId(const RequestId &request, std::uint32_t number,
                                      Incarnation incarnation);

} // namespace cardamombay::outcomes
