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

Test(retry_policy, non_idempotent_request_is_never_repeated_once_a_byte_may_have_left)
{
    RetryPolicy policy(1);
    auto attempt = attemptOf(Outcome::Unknown);
    attempt.isNonIdempotent_ = true;

    const auto decision = policy.decide(attempt, start);

    cr_assert(std::get<GiveUp>(decision).reason_ == GiveUpReason::MayHaveRun);
}

Test(retry_policy, non_idempotent_request_is_repeated_if_no_byte_left)
{
    RetryPolicy policy(1);
    auto attempt = attemptOf(Outcome::NotRun);
    attempt.isNonIdempotent_ = true;

    cr_assert(std::holds_alternative<Retry>(policy.decide(attempt, start)));
}

Test(retry_policy, started_answer_goes_on_only_if_it_can_be_resumed)
{
    RetryPolicy policy(1);
    auto attempt = attemptOf(Outcome::Unknown);
    attempt.hasAnswerStarted_ = true;

    const auto whole = policy.decide(attempt, start);
    attempt.isResumable_ = true;
    const auto resumed = policy.decide(attempt, start);

    cr_assert(std::get<GiveUp>(whole).reason_ == GiveUpReason::AnswerStarted);
    cr_assert(std::holds_alternative<Retry>(resumed));
}

Test(retry_policy, no_retry_that_would_miss_the_deadline)
{
    RetryPolicy policy(1);
    auto attempt = attemptOf(Outcome::NotRun);
    attempt.deadline_ = start + milliseconds(50);

    const auto decision = policy.decide(attempt, start);

    cr_assert(std::get<GiveUp>(decision).reason_ == GiveUpReason::DeadlineTooClose);
}

Test(retry_policy, outage_is_not_multiplied_by_retries)
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
