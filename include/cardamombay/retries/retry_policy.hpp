/// \file
/// \brief Decides whether a failed attempt is made again.
/// \details The module never repeats a non-idempotent request once a byte of it may have left, and
/// bounds what it repeats, so that an outage does not multiply the load of callers.
#pragma once

#include <cardamombay/core/ids.hpp>
#include <cardamombay/core/time.hpp>
#include <cardamombay/outcomes/outcome.hpp>
#include <cardamombay/retries/backoff.hpp>
#include <cardamombay/retries/retry_budget.hpp>

#include <cstdint>
#include <string_view>
#include <unordered_map>
#include <variant>

namespace cardamombay::retries {

/// \brief A failed attempt and the request it was made for.
struct FailedAttempt
{
    ServiceName service_{};
    outcomes::Outcome outcome_ = outcomes::Outcome::Unknown;
    bool isNonIdempotent_ = false;
    bool hasAnswerStarted_ = false; ///< Bytes of an answer went to the caller.
    bool isResumable_ = false;      ///< The started answer can go on from where it stopped.
    std::uint32_t attempts_ = 1;    ///< Made so far, with this one.
    TimePoint deadline_{TimePoint::max()};
    Duration retryAfter_{}; ///< As the endpoint asked; zero if it did not.
};

/// \brief Why no further attempt is made.
enum class GiveUpReason {
    HasRun,        ///< The endpoint gave its answer, whatever it says.
    MayHaveRun,    ///< Non-idempotent, and a byte may have left.
    AnswerStarted, ///< The caller has a part of an answer that cannot be resumed.
    AttemptLimit,
    DeadlineTooClose,
    BudgetSpent
};

/// \brief Short name, for logs and metrics, such as "budget-spent".
[[nodiscard]] std::string_view nameOf(GiveUpReason reason);

/// \brief Make another attempt after the delay.
struct Retry
{
    Duration delay_{};
};

/// \brief Tell the caller.
struct GiveUp
{
    GiveUpReason reason_ = GiveUpReason::AttemptLimit;
    Duration retryAfter_{};
};

using RetryDecision = std::variant<Retry, GiveUp>;

/// \brief Settings of retries.
struct RetrySettings
{
    std::uint32_t attemptLimit_ = 3; ///< Attempts of one request, the first included.
    Duration minimumLeft_ = std::chrono::milliseconds(100); ///< Before the deadline, for a retry.
    BackoffPolicy backoff_;
    RetryBudgetPolicy budget_;
};

/// \brief Retry decisions of one entry VM, with a budget for each service; single-threaded.
/// \code
/// const auto decision = policy.decide(attempt, clock.now());
/// if (const auto *retry = std::get_if<Retry>(&decision))
///     clock.schedule(retry->delay_, [this] { tryAgain(); });
/// \endcode
class RetryPolicy
{
public:
    explicit RetryPolicy(std::uint64_t seed, RetrySettings settings = {});

    /// \brief A fresh request of \p service is about to be attempted.
    void freshRequest(const ServiceName &service, TimePoint now);

    /// \brief Decides what follows \p attempt; a Retry is taken from the budget.
    [[nodiscard]] RetryDecision decide(const FailedAttempt &attempt, TimePoint now);

private:
    [[nodiscard]] RetryBudget &budget(const ServiceName &service);

    RetrySettings settings_;
    Backoff backoff_;
    std::unordered_map<ServiceName, RetryBudget> budgets_;
};

} // namespace cardamombay::retries
