#include <cardamombay/outcomes/attempt.hpp>

#include <string>

#include <criterion/criterion.h>

using namespace cardamombay;
using namespace cardamombay::outcomes;

namespace {

const std::string id = "r-1.1.9";

AttemptProgramPtr program()
{
    static const AttemptProgramPtr shared = [] {
        const auto chart = chart::ChartFolder(SOURCE_FOLDER "/charts").load("attempt");
        cr_assert(isOk(chart));
        const auto bound = makeAttemptProgram(valueOf(chart));
        cr_assert(isOk(bound));
        return valueOf(bound);
    }();
    return shared;
}

Attempt makeAttempt(bool isIdempotent)
{
    return {program(), makeAttemptId(RequestId("r-1"), 1, Incarnation(9)),
            RequestSafety{isIdempotent, false}};
}

ResponseHead matchingHead(std::uint32_t status = 200)
{
    return {status, id, false};
}

Attempt makeAnswering(bool isIdempotent = true)
{
    auto attempt = makeAttempt(isIdempotent);
    attempt.connectStarted();
    cr_assert(attempt.startSending());
    cr_assert(attempt.takeHead(matchingHead()));
    return attempt;
}

} // namespace

Test(attempt, connect_failure_is_not_run_and_may_be_retried)
{
    auto attempt = makeAttempt(false);
    attempt.connectStarted();

    attempt.connectFailed();

    cr_assert(attempt.verdict().outcome_ == Outcome::NotRun);
    cr_assert(attempt.verdict().mayRetry_);
    cr_assert_not(attempt.verdict().needsCancel_);
}

Test(attempt, nothing_may_be_sent_once_the_caller_was_told_not_run)
{
    auto attempt = makeAttempt(false);
    attempt.connectStarted();
    attempt.timedOut();
    cr_assert(attempt.outcome() == Outcome::NotRun);

    cr_assert_not(attempt.startSending());
    cr_assert(attempt.outcome() == Outcome::NotRun);
}

Test(attempt, sending_is_granted_once)
{
    auto attempt = makeAttempt(false);

    cr_assert(attempt.startSending());
    cr_assert_not(attempt.startSending());
}

Test(attempt, lost_connection_after_the_first_byte_is_unknown)
{
    auto attempt = makeAttempt(false);
    attempt.connectStarted();
    cr_assert(attempt.startSending());

    attempt.closed();

    cr_assert(attempt.verdict().outcome_ == Outcome::Unknown);
    cr_assert_not(attempt.verdict().mayRetry_);
    cr_assert(attempt.verdict().needsCancel_);
}

Test(attempt, idempotent_request_may_be_retried_after_the_first_byte)
{
    auto attempt = makeAttempt(true);
    cr_assert(attempt.startSending());

    attempt.timedOut();

    cr_assert(attempt.verdict().mayRetry_);
}

Test(attempt, refusal_with_our_id_is_not_run)
{
    auto attempt = makeAttempt(false);
    cr_assert(attempt.startSending());

    cr_assert_not(attempt.takeHead({429, id, true}));

    cr_assert(attempt.verdict().outcome_ == Outcome::NotRun);
    cr_assert(attempt.verdict().mayRetry_);
}

Test(attempt, refusal_of_another_attempt_proves_nothing)
{
    auto attempt = makeAttempt(false);
    cr_assert(attempt.startSending());

    cr_assert_not(attempt.takeHead({429, "r-1.1.8", true}));

    cr_assert(attempt.outcome() == Outcome::Unknown);
    cr_assert_eq(attempt.dropped().crossed_, 1);
}

Test(attempt, answer_without_an_id_is_dropped)
{
    auto attempt = makeAttempt(true);
    cr_assert(attempt.startSending());

    cr_assert_not(attempt.takeHead({200, "", false}));

    cr_assert_eq(attempt.dropped().missingId_, 1);
    cr_assert_not(attempt.takeData());
}

Test(attempt, complete_response_is_ran)
{
    auto attempt = makeAnswering();
    cr_assert(attempt.takeEvent(id));

    attempt.endMarker();

    cr_assert(attempt.verdict().outcome_ == Outcome::Ran);
    cr_assert_not(attempt.verdict().mayRetry_);
    cr_assert(attempt.dropped() == DroppedAnswers{});
}

Test(attempt, end_of_connection_without_the_marker_is_truncated)
{
    auto attempt = makeAnswering();
    cr_assert(attempt.takeEvent(id));

    attempt.closed();

    cr_assert(attempt.outcome() == Outcome::Unknown);
    cr_assert_eq(attempt.dropped().truncated_, 1);
}

Test(attempt, event_of_another_attempt_ends_the_stream)
{
    auto attempt = makeAnswering();

    cr_assert_not(attempt.takeEvent("r-2.1.9"));

    attempt.endMarker();
    cr_assert(attempt.outcome() == Outcome::Unknown);
    cr_assert_eq(attempt.dropped().crossed_, 1);
}

Test(attempt, second_head_is_a_duplicate)
{
    auto attempt = makeAnswering();

    cr_assert_not(attempt.takeHead(matchingHead()));

    cr_assert_eq(attempt.dropped().duplicate_, 1);
    cr_assert(attempt.outcome() == Outcome::Unknown);
}

Test(attempt, late_answer_is_dropped_and_counted)
{
    auto attempt = makeAttempt(true);
    cr_assert(attempt.startSending());
    attempt.timedOut();

    cr_assert_not(attempt.takeHead(matchingHead()));
    cr_assert_not(attempt.takeEvent(id));
    attempt.endMarker();

    cr_assert_eq(attempt.dropped().late_, 3);
    cr_assert(attempt.outcome() == Outcome::Unknown);
}

Test(attempt, error_status_of_the_endpoint_may_be_retried_only_if_idempotent)
{
    for (const bool isIdempotent : {true, false}) {
        auto attempt = makeAttempt(isIdempotent);
        cr_assert(attempt.startSending());
        cr_assert(attempt.takeHead(matchingHead(500)));
        attempt.endMarker();

        cr_assert(attempt.verdict().outcome_ == Outcome::Ran);
        cr_assert_eq(attempt.verdict().mayRetry_, isIdempotent);
    }
}

Test(attempt, request_of_a_caller_who_left_is_not_retried)
{
    auto attempt = makeAttempt(true);
    cr_assert(attempt.startSending());

    attempt.callerGone();

    cr_assert_not(attempt.verdict().mayRetry_);
    cr_assert(attempt.verdict().needsCancel_);
}

Test(attempt, remedy_of_an_unknown_outcome_never_says_to_send_again_what_may_not_be_repeated)
{
    const auto plain = describe(Outcome::Unknown, Cause::ClosedEarly, {false, false});
    const auto keyed = describe(Outcome::Unknown, Cause::TimedOut, {false, true});
    const auto notRun = describe(Outcome::NotRun, Cause::ConnectFailed, {false, false});

    cr_assert(plain.remedy_.starts_with("Ask the service"));
    cr_assert(keyed.remedy_.starts_with("Ask the service"));
    cr_assert_eq(keyed.status_, 504);
    cr_assert_eq(notRun.remedy_, "Send the request again.");
    cr_assert_eq(notRun.status_, 503);
}
