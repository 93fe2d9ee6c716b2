/// \file
/// \brief What became of a request, and what its caller is told.
/// \details Decides which outcome a cause allows. It guards the promise that "not run" is said only
/// of a request that no endpoint ran; what is in doubt is unknown.
#pragma once

#include <cardamombay/core/ids.hpp>

#include <cstdint>
#include <string>
#include <string_view>

namespace cardamombay::outcomes {

/// \brief Header that carries the attempt id to the endpoint and back.
inline constexpr std::string_view attemptIdHeader = "X-Attempt-Id";
/// \brief Header by which an endpoint says that it ran nothing.
inline constexpr std::string_view notRunHeader = "X-Not-Run";
/// \brief Header that tells the caller the outcome.
inline constexpr std::string_view outcomeHeader = "X-Outcome";

/// \brief What is known of a request's effect.
enum class Outcome {
    NotRun, ///< No byte has left, or the endpoint said that it ran nothing.
    Ran,    ///< The endpoint answered, and the answer is whole.
    Unknown ///< Bytes may have left and no whole answer came.
};

/// \brief Wire name: "not-run", "ran" or "unknown".
[[nodiscard]] std::string_view nameOf(Outcome outcome);

/// \brief What settled an attempt.
enum class Cause {
    None, ///< Not settled yet.
    Complete,
    ConnectFailed,
    Refused, ///< By the endpoint.
    ForeignAnswer,
    BrokenAnswer,
    ClosedEarly,
    TimedOut,
    CallerGone,
    GroupLost
};

/// \brief Name for logs and metrics, such as "closed-early".
[[nodiscard]] std::string_view nameOf(Cause cause);

/// \brief Content of the problem body for a request that failed.
struct CallerMessage
{
    std::uint32_t status_ = 502; ///< HTTP status.
    Outcome outcome_ = Outcome::Unknown;
    std::string title_;
    std::string detail_;
    std::string remedy_;
};

/// \brief Which promises a request needs; decides what the remedy says.
struct RequestSafety
{
    bool isIdempotent_ = true;
    bool hasKey_ = false; ///< It came with an Idempotency-Key.
};

/// \brief What the caller is told if no further attempt is made.
[[nodiscard]] CallerMessage describe(Outcome outcome, Cause cause, RequestSafety safety);

/// \brief Attempt id "request.number.incarnation", unique over restarts of the entry VM.
/// \param number counts the attempts of the request, from 1.
[[nodiscard]] AttemptId makeAttemptId(const RequestId &request, std::uint32_t number,
                                      Incarnation incarnation);

} // namespace cardamombay::outcomes
