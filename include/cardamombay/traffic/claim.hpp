/// \file
/// \brief Messages with which traffic claims a keyed non-idempotent request before its hand-over.
#pragma once

#include <cardamombay/core/ids.hpp>
#include <cardamombay/core/time.hpp>
#include <cardamombay/outcomes/outcome.hpp>

#include <cstdint>
#include <functional>
#include <string>
#include <string_view>

namespace cardamombay::traffic {

/// \brief Asks for the right to hand a keyed request over, once in the whole fleet.
struct ClaimRequest
{
    TeamName team_;
    IdempotencyKey key_;
    ServiceName service_;
    RequestId request_;
    std::uint64_t bodyHash_ = 0; ///< Over method, target and body.
};

/// \brief Answer kept for later callers with the same key.
struct StoredAnswer
{
    std::uint32_t status_ = 0;
    std::string contentType_;
    std::string body_;
};

/// \brief What became of a claim.
enum class ClaimVerdict {
    Granted,    ///< The caller holds the claim and may hand the request over, once.
    Finished,   ///< An earlier request with the key ran; its answer is stored.
    Pending,    ///< An earlier request holds the claim; it may have run or may still run.
    Mismatch,   ///< The key was used for another request.
    Unavailable ///< The store gave no claim; nothing was granted.
};

/// \brief Short name, for records and metrics, such as "granted".
[[nodiscard]] std::string_view nameOf(ClaimVerdict verdict);

/// \brief Answer to a ClaimRequest.
struct ClaimAnswer
{
    ClaimVerdict verdict_ = ClaimVerdict::Unavailable;
    StoredAnswer stored_;        ///< Only if Finished.
    Duration retryAfter_{};      ///< Only if Unavailable.
    TimePoint handOverBefore_{}; ///< Only if Granted: no hand-over from then on.
};

/// \brief Receives the answer, once, on the control thread.
using ClaimCallback = std::function<void(ClaimAnswer)>;

/// \brief How a granted claim ended. NotRun frees the key; Unknown keeps it taken.
struct ClaimCompletion
{
    TeamName team_;
    IdempotencyKey key_;
    RequestId request_;
    outcomes::Outcome outcome_ = outcomes::Outcome::Unknown;
    StoredAnswer answer_; ///< Only if Ran.
};

} // namespace cardamombay::traffic
