/// \file
/// \brief Requests, answers and settings of idempotency key claims.
/// \details Plain message types; the logic is in ClaimRegistry. Together they ensure that a
/// non-idempotent request with an idempotency key is handed over to an endpoint at most once.
#pragma once

#include <cardamombay/core/ids.hpp>
#include <cardamombay/core/time.hpp>
#include <cardamombay/outcomes/outcome.hpp>

#include <cstdint>
#include <string>
#include <variant>

namespace cardamombay::claims {

/// \brief Identifies a claim within the entry VM that made it.
using ClaimNumber = NumberId<struct ClaimNumberTag>;

/// \brief A request with an idempotency key that must not run twice.
struct ClaimRequest
{
    TeamName team_;
    IdempotencyKey key_;
    std::string requestHash_; ///< Hash of method, path and body; detects reuse of a key.
};

/// \brief Outcome of a request, with its response if that was stored.
struct StoredOutcome
{
    outcomes::Outcome outcome_ = outcomes::Outcome::Unknown; ///< Ran or Unknown.
    bool hasAnswer_ = false;
    std::uint32_t status_ = 0; ///< HTTP status of the response.
    std::string contentType_;
    std::string body_;

    /// \brief Creates an outcome without a response.
    [[nodiscard]] static StoredOutcome withoutAnswer(outcomes::Outcome outcome)
    {
        StoredOutcome stored;
        stored.outcome_ = outcome;
        return stored;
    }

    friend bool operator==(const StoredOutcome &, const StoredOutcome &) = default;
};

/// \name Answers to a claim
/// \{

/// \brief The claim was written; the request may be handed over once.
struct Granted
{
    ClaimNumber claim_;
    TimePoint handOverBefore_{};

    /// \brief Returns whether the request may still be handed over.
    /// \details Check right before the first byte is sent. If it returns false, for example after
    /// a long process pause, release the claim without a hand-over.
    [[nodiscard]] bool mayHandOver(TimePoint now) const { return now < handOverBefore_; }
};

/// \brief A request with the key has already ended with the given outcome.
struct Duplicate
{
    StoredOutcome stored_;
};

/// \brief A request with the key is still running; retry later for its outcome.
struct InProgress
{
    Duration retryAfter_ = std::chrono::seconds(1);
};

/// \brief A request with the key was started and its outcome is unknown. It is not run again.
struct OutcomeUnknown
{
};

/// \brief The key was used for a different request.
struct KeyMismatch
{
};
/// \}

/// \brief Answer to a claim; only Granted allows the hand-over.
using ClaimAnswer = std::variant<Granted, Duplicate, InProgress, OutcomeUnknown, KeyMismatch>;

/// \brief Time and size limits of claims.
struct ClaimPolicy
{
    Duration claimTimeout_ = std::chrono::seconds(2);     ///< Maximum wait for a claim.
    Duration handOverTimeout_ = std::chrono::seconds(30); ///< Measured from the start of the claim.
    Duration retryDelay_ = std::chrono::seconds(2);       ///< Between attempts to write an outcome.
    std::uint32_t maxRetries_ = 43200; ///< For an outcome or a release; one day in total.
    Duration checkDelay_ = std::chrono::seconds(5); ///< Before a row in doubt is read back.
    std::size_t maxInlineBytes_ = 2048;             ///< Longer bodies go to the object store.
    std::size_t maxStoredBytes_ = 1U << 20U;        ///< Longer bodies are discarded.
};

/// \brief Counters for metrics.
struct ClaimCounts
{
    std::uint64_t granted_ = 0;
    std::uint64_t duplicates_ = 0;
    std::uint64_t inProgress_ = 0;
    std::uint64_t unknown_ = 0;
    std::uint64_t mismatches_ = 0;
    std::uint64_t refused_ = 0; ///< Claim timed out or store failed; not run.
    std::uint64_t dropped_ = 0; ///< Outcomes or releases that were not written.
};

} // namespace cardamombay::claims
