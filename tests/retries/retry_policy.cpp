#include <cardamombay/retries/retry_policy.hpp>

#include <criterion/criterion.h>

using namespace cardamombay;
using namespace cardamombay::retries;
using outcomes::Outcome;
using std::chrono::milliseconds;

namespace {

const TimePoint start{std::chrono::hours(1)};

FailedAttempt attemptOf(Outcome outcome)
{
    return {.service_ = ServiceName("booking-app"), .outcome_ = outcome};
}

} // namespace

Test(retry_policy, non_idempotent_request_is_not_retried_once_a_byte_may_have_been_sent)
{
    RetryPolicy policy(1);
    auto attempt = attemptOf(Outcome::Unknown);
    attempt.isNonIdempotent_ = true;

    const auto decision = policy.decide(attempt, start);

    cr_assert(std::get<GiveUp>(decision).reason_ == GiveUpReason::MayHaveRun);
}

Test(retry_policy, non_idempotent_request_is_retried_if_no_byte_was_sent)
{
    RetryPolicy policy(1);
    auto attempt = attemptOf(Outcome::NotRun);
    attempt.isNonIdempotent_ = true;

    cr_assert(std::holds_alternative<Retry>(policy.decide(attempt, start)));
}

Test(retry_policy, started_answer_is_retried_only_if_resumable)
{
    RetryPolicy policy(1);
    auto attempt = attemptOf(Outcome::Unknown);
    attempt.hasAnswerStarted_ = true;

    const auto unresumable = policy.decide(attempt, start);
    attempt.isResumable_ = true;
    const auto resumable = policy.decide(attempt, start);

    cr_assert(std::get<GiveUp>(unresumable).reason_ == GiveUpReason::AnswerStarted);
    cr_assert(std::holds_alternative<Retry>(resumable));
}

Test(retry_policy, no_retry_that_would_miss_the_deadline)
{
    RetryPolicy policy(1);
    auto attempt = attemptOf(Outcome::NotRun);
    attempt.deadline_ = start + milliseconds(50);

    const auto decision = policy.decide(attempt, start);

    cr_assert(std::get<GiveUp>(decision).reason_ == GiveUpReason::DeadlineTooClose);
}

Test(retry_policy, retries_stay_within_the_budget_during_an_outage)
{
    RetryPolicy policy(1);
    int retries = 0;
    for (int request = 0; request < 10000; ++request) {
        const TimePoint now = start + milliseconds(request);
        policy.freshRequest(ServiceName("booking-app"), now);
        auto attempt = attemptOf(Outcome::NotRun);
        while (std::holds_alternative<Retry>(policy.decide(attempt, now))) {
            ++retries;
            ++attempt.attempts_;
        }
    }

    cr_assert_leq(retries, 10000 * 0.1 + 10 + 2);
}
