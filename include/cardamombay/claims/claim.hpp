/// \file
/// \brief Requests, answers and settings of claims.
/// \details Typed messages only; ClaimRegistry decides. They carry the promise that a
/// non-idempotent request with a key is handed over once at most.
#pragma once

#include <cardamombay/core/ids.hpp>
#include <cardamombay/core/time.hpp>
#include <cardamombay/outcomes/outcome.hpp>

#include <cstdint>
#include <string>
#include <variant>

namespace cardamombay::claims {

/// \brief Identifies a granted claim at the entry VM that holds it.
using ClaimNumber = NumberId<struct ClaimNumberTag>;

/// \brief A keyed request that must not run twice.
struct ClaimRequest
{
    TeamName team_;
    IdempotencyKey key_;
    std::string requestHash_; ///< Hash over method, path and body; tells reuse of a key.
};

/// \brief How a run ended, with its answer if that is kept.
struct StoredOutcome
{
    outcomes::Outcome outcome_ = outcomes::Outcome::Unknown; ///< Ran or Unknown.
    bool hasAnswer_ = false;
    std::uint32_t status_ = 0; ///< HTTP status of the answer.
    std::string contentType_;
    std::string body_;

    /// \brief The outcome alone.
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

/// \brief The key is this request's: it may be handed over, once.
struct Granted
{
    ClaimNumber claim_;
    TimePoint handOverBefore_{};

    /// \brief Ask right before the first byte leaves; false after a pause that was too long, and
    /// then the claim is released without a hand-over.
    [[nodiscard]] bool mayHandOver(TimePoint now) const { return now < handOverBefore_; }
};

/// \brief A request with the key has ended; this is its outcome.
struct Duplicate
{
    StoredOutcome stored_;
};

/// \brief A request with the key is running; its outcome can be asked for later.
struct InProgress
{
    Duration retryAfter_ = std::chrono::seconds(1);
};

/// \brief A request with the key was started, and nobody knows how it ended. It is not run again.
struct OutcomeUnknown
{
};

/// \brief The key was used for a different request.
struct KeyMismatch
{
};
/// \}

/// \brief Answer to a claim; only Granted permits a hand-over.
using ClaimAnswer = std::variant<Granted, Duplicate, InProgress, OutcomeUnknown, KeyMismatch>;

/// \brief Bounds of claims.
struct ClaimPolicy
{
    Duration claimDeadline_ = std::chrono::seconds(2);   ///< Longest wait for a claim.
    Duration handOverWithin_ = std::chrono::seconds(30); ///< From the first write of the claim.
    Duration retryDelay_ = std::chrono::seconds(2);      ///< Between writes of an outcome.
    std::uint32_t retries_ = 43200;                      ///< Of an outcome or release: a day.
    Duration checkDelay_ = std::chrono::seconds(5);      ///< Before an unused claim is looked for.
    std::size_t inlineBytes_ = 2048;                     ///< Longer answers go to the object store.
    std::size_t keptBytes_ = 1U << 20U;                  ///< Longer answers are not kept.
};

/// \brief Counts, for metrics.
struct ClaimCounts
{
    std::uint64_t granted_ = 0;
    std::uint64_t duplicates_ = 0;
    std::uint64_t inProgress_ = 0;
    std::uint64_t unknown_ = 0;
    std::uint64_t mismatches_ = 0;
    std::uint64_t refused_ = 0; ///< Not claimed in time or store down; told not-run.
    std::uint64_t dropped_ = 0; ///< Outcomes or releases that could not be written.
};

} // namespace cardamombay::claims
