/// \file
/// \brief Decides whether a failed attempt is retried.
/// \details A non-idempotent request is never retried once a byte of it may have been sent. The
/// number of retries is limited, so that an outage does not amplify the load.
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
    bool hasAnswerStarted_ = false; ///< Part of the response was sent to the caller.
    bool isResumable_ = false;      ///< Another attempt can continue the started response.
    std::uint32_t attempts_ = 1;    ///< Attempts so far, including this one.
    TimePoint deadline_{TimePoint::max()};
    Duration retryAfter_{}; ///< Retry-After sent by the endpoint; zero if it sent none.
};

/// \brief Why no further attempt is made.
enum class GiveUpReason {
    HasRun,        ///< The endpoint ran the request, whatever the result.
    MayHaveRun,    ///< Non-idempotent, and a byte of it may have been sent.
    AnswerStarted, ///< The caller has part of a response that cannot be resumed.
    AttemptLimit,
    DeadlineTooClose,
    BudgetSpent
};

/// \brief Short name, for logs and metrics, such as "budget-spent".
[[nodiscard]] std::string_view nameOf(GiveUpReason reason);

/// \brief Another attempt is to be made after the delay.
struct Retry
{
    Duration delay_{};
};

/// \brief The failure is to be returned to the caller.
struct GiveUp
{
    GiveUpReason reason_ = GiveUpReason::AttemptLimit;
    Duration retryAfter_{};
};

using RetryDecision = std::variant<Retry, GiveUp>;

/// \brief Settings of retries.
struct RetrySettings
{
    std::uint32_t attemptLimit_ = 3; ///< Attempts of one request, including the first.
    /// \brief Time that must be left before the deadline when the retry starts.
    Duration minimumTimeLeft_ = std::chrono::milliseconds(100);
    BackoffPolicy backoff_;
    RetryBudgetPolicy budget_;
};

/// \brief Retry decisions of one entry VM, with a budget for each service; not thread-safe.
/// \code
/// const auto decision = policy.decide(attempt, clock.now());
/// if (const auto *retry = std::get_if<Retry>(&decision))
///     clock.schedule(retry->delay_, [this] { tryAgain(); });
/// \endcode
class RetryPolicy
{
public:
    explicit RetryPolicy(std::uint64_t seed, RetrySettings settings = {});

    /// \brief The first attempt of a request of \p service is about to start; adds to its budget.
    void freshRequest(const ServiceName &service, TimePoint now);

    /// \brief Decides whether \p attempt is retried; a Retry is withdrawn from the budget.
    [[nodiscard]] RetryDecision decide(const FailedAttempt &attempt, TimePoint now);

private:
    [[nodiscard]] RetryBudget &budget(const ServiceName &service);

    RetrySettings settings_;
    Backoff backoff_;
    std::unordered_map<ServiceName, RetryBudget> budgets_;
};

} // namespace cardamombay::retries
