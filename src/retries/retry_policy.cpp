#include <cardamombay/retries/retry_policy.hpp>

#include <algorithm>

namespace cardamombay::retries {

namespace {

constexpr Duration minimumRetryAfter = std::chrono::seconds(5);

} // namespace

std::string_view nameOf(GiveUpReason reason)
{
    switch (reason) {
    case GiveUpReason::HasRun:
        return "has-run";
    case GiveUpReason::MayHaveRun:
        return "may-have-run";
    case GiveUpReason::AnswerStarted:
        return "answer-started";
    case GiveUpReason::AttemptLimit:
        return "attempt-limit";
    case GiveUpReason::DeadlineTooClose:
        return "deadline-too-close";
    case GiveUpReason::BudgetSpent:
        return "budget-spent";
    }
    return "attempt-limit";
}

RetryPolicy::RetryPolicy(std::uint64_t seed, RetrySettings settings)
    : settings_(settings)
    , backoff_(seed, settings.backoff_)
{
}

void RetryPolicy::freshRequest(const ServiceName &service, TimePoint now)
{
    budget(service).deposit(now);
}

RetryDecision RetryPolicy::decide(const FailedAttempt &attempt, TimePoint now)
{
    const Duration retryAfter = std::max(attempt.retryAfter_, minimumRetryAfter);
    if (attempt.outcome_ == outcomes::Outcome::Ran)
        return GiveUp{GiveUpReason::HasRun, retryAfter};
    if (attempt.isNonIdempotent_ && attempt.outcome_ != outcomes::Outcome::NotRun)
        return GiveUp{GiveUpReason::MayHaveRun, retryAfter};
    if (attempt.hasAnswerStarted_ && !attempt.isResumable_)
        return GiveUp{GiveUpReason::AnswerStarted, retryAfter};
    if (attempt.attempts_ >= settings_.attemptLimit_)
        return GiveUp{GiveUpReason::AttemptLimit, retryAfter};

    const Duration delay = std::max(backoff_.delay(attempt.attempts_), attempt.retryAfter_);
    const bool isTooLate = attempt.deadline_ != TimePoint::max()
                           && now + delay + settings_.minimumTimeLeft_ > attempt.deadline_;
    if (isTooLate)
        return GiveUp{GiveUpReason::DeadlineTooClose, retryAfter};
    if (!budget(attempt.service_).withdraw(now))
        return GiveUp{GiveUpReason::BudgetSpent, retryAfter};
    return Retry{delay};
}

RetryBudget &RetryPolicy::budget(const ServiceName &service)
{
    return budgets_.try_emplace(service, settings_.budget_).first->second;
}

} // namespace cardamombay::retries
