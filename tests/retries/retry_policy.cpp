#include <cardamombay/retries/backoff.hpp>
#include <cardamombay/retries/circuit_board.hpp>
#include <cardamombay/retries/retry_policy.hpp>

#include <criterion/criterion.h>

using namespace cardamombay;
using namespace cardamombay::retries;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

const TimePoint start{std::chrono::hours(1)};

FailedAttempt attemptOf(AttemptEnd end)
{
    return {.service_ = ServiceName("booking-app"), .end_ = end};
}

} // namespace

Test(retry_policy, non_idempotent_request_is_never_repeated_once_a_byte_may_have_left)
{
    RetryPolicy policy(1);
    for (const auto end : {AttemptEnd::Broken, AttemptEnd::TimedOut}) {
        auto attempt = attemptOf(end);
        attempt.isNonIdempotent_ = true;

        const auto decision = policy.decide(attempt, start);

        cr_assert(std::get<GiveUp>(decision).reason_ == GiveUpReason::MayHaveRun);
    }
}

Test(retry_policy, non_idempotent_request_is_repeated_if_no_byte_left)
{
    RetryPolicy policy(1);
    auto attempt = attemptOf(AttemptEnd::NoByteLeft);
    attempt.isNonIdempotent_ = true;

    cr_assert(std::holds_alternative<Retry>(policy.decide(attempt, start)));
}

Test(retry_policy, started_answer_goes_on_only_if_it_can_be_resumed)
{
    RetryPolicy policy(1);
    auto attempt = attemptOf(AttemptEnd::Broken);
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
    auto attempt = attemptOf(AttemptEnd::NoByteLeft);
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
        auto attempt = attemptOf(AttemptEnd::NoByteLeft);
        while (std::holds_alternative<Retry>(policy.decide(attempt, now))) {
            ++retries;
            ++attempt.attempts_;
        }
    }

    cr_assert_leq(retries, 10000 * 0.1 + 10 + 2);
}

Test(backoff, delays_double_and_stay_within_their_step)
{
    Backoff backoff(7);
    for (std::uint32_t retry = 1; retry <= 12; ++retry) {
        const Duration step = std::min<Duration>(milliseconds(25) * (1 << (retry - 1)), seconds(2));
        const Duration delay = backoff.delay(retry);
        cr_assert(delay >= step / 2 && delay <= step);
    }
}

Test(circuit, opens_after_failures_in_a_row_and_closes_after_a_trial)
{
    CircuitBoard board;
    const GroupId group("lm/a/0");
    for (int i = 0; i < 5; ++i)
        board.failed(group, start);
    cr_assert_eq(board.blocked(start).size(), 1);

    const TimePoint later = start + seconds(1);
    cr_assert(board.blocked(later).empty());
    board.started(group, later);
    cr_assert_eq(board.blocked(later).size(), 1, "only one trial at a time");
    board.succeeded(group, later);

    cr_assert(board.status(group, later) == CircuitStatus::Closed);
    cr_assert(board.blocked(later).empty());
}

Test(circuit, failed_trial_doubles_the_open_time)
{
    Circuit circuit;
    for (int i = 0; i < 5; ++i)
        circuit.failed(start);
    const TimePoint trial = start + seconds(1);
    circuit.started(trial);
    circuit.failed(trial);

    cr_assert_not(circuit.allows(trial + milliseconds(1999)));
    cr_assert(circuit.allows(trial + seconds(2)));
}

Test(circuit, abandoned_trial_lets_the_next_one_go)
{
    Circuit circuit;
    for (int i = 0; i < 5; ++i)
        circuit.failed(start);
    const TimePoint trial = start + seconds(1);
    circuit.started(trial);
    cr_assert_not(circuit.allows(trial));

    circuit.abandoned();

    cr_assert(circuit.allows(trial));
}
