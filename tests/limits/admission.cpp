#include "limits/admission_harness.hpp"

#include <cardamombay/limits/admission.hpp>

#include <algorithm>
#include <string>

#include <criterion/criterion.h>

using namespace cardamombay;
using namespace cardamombay::limits;
using fixture::AdmissionHarness;
using std::chrono::milliseconds;
using std::chrono::seconds;

Test(admission, requests_beyond_capacity_wait_and_go_when_a_slot_is_free)
{
    AdmissionHarness harness(1, 2);
    Admission admission;
    cr_assert(std::holds_alternative<Admitted>(harness.offer(admission, "r1")));
    cr_assert(std::holds_alternative<Admitted>(harness.offer(admission, "r2")));
    cr_assert(std::holds_alternative<Queued>(harness.offer(admission, "r3")));

    admission.finished(RequestId("r1"), harness.now_);
    const auto released = admission.release(harness.snapshot_, harness.now_);

    cr_assert_eq(released.size(), 1);
    cr_assert_eq(released[0].request_, RequestId("r3"));
    cr_assert(std::holds_alternative<Admitted>(released[0].answer_));
}

Test(admission, waiting_request_is_refused_at_the_queue_timeout)
{
    AdmissionHarness harness(1, 1);
    Admission admission;
    (void)harness.offer(admission, "r1");
    (void)harness.offer(admission, "r2");

    harness.now_ += seconds(2);
    const auto released = admission.release(harness.snapshot_, harness.now_);

    cr_assert_eq(released.size(), 1);
    cr_assert(std::get<Shed>(released[0].answer_).reason_ == ShedReason::QueueTimeout);
    cr_assert(std::get<Shed>(released[0].answer_).retryAfter_ >= seconds(1));
}

Test(admission, request_that_would_wait_too_long_is_refused_at_once)
{
    AdmissionHarness harness(1, 1);
    Admission admission;
    (void)harness.offer(admission, "r1");
    harness.now_ += seconds(10);
    admission.finished(RequestId("r1"), harness.now_);
    (void)harness.offer(admission, "r2");

    const auto decision = harness.offer(admission, "r3");

    cr_assert(std::get<Shed>(decision).reason_ == ShedReason::TooLate);
}

Test(admission, higher_priority_goes_first_within_a_team)
{
    AdmissionHarness harness(1, 1);
    Admission admission;
    (void)harness.offer(admission, "r1");
    (void)harness.offer(admission, "low", "a", 1);
    (void)harness.offer(admission, "high", "a", 200);

    admission.finished(RequestId("r1"), harness.now_);
    const auto released = admission.release(harness.snapshot_, harness.now_);

    cr_assert_eq(released[0].request_, RequestId("high"));
}

Test(admission, full_queue_displaces_the_lowest_priority)
{
    AdmissionHarness harness(1, 1);
    LimitsPolicy policy;
    policy.queueLimit_ = 1;
    Admission admission(policy);
    (void)harness.offer(admission, "r1");
    (void)harness.offer(admission, "low", "a", 1);

    const auto same = harness.offer(admission, "same", "a", 1);
    const auto high = harness.offer(admission, "high", "a", 2);
    const auto released = admission.release(harness.snapshot_, harness.now_);

    cr_assert(std::get<Shed>(same).reason_ == ShedReason::QueueFull);
    cr_assert(std::holds_alternative<Queued>(high));
    cr_assert_eq(released.size(), 1);
    cr_assert_eq(released[0].request_, RequestId("low"));
    cr_assert(std::get<Shed>(released[0].answer_).reason_ == ShedReason::Displaced);
}

Test(admission, brief_capacity_loss_is_waited_out_and_an_outage_is_refused_at_once)
{
    AdmissionHarness harness(1, 4);
    Admission admission;
    (void)harness.offer(admission, "r1");
    harness.group(0).isVetoed_ = true;
    harness.publish();

    const auto early = harness.offer(admission, "early");
    harness.now_ += milliseconds(500);
    const auto released = admission.release(harness.snapshot_, harness.now_);
    const auto late = harness.offer(admission, "late");

    cr_assert(std::holds_alternative<Queued>(early));
    cr_assert_eq(released.size(), 1);
    cr_assert(std::get<Shed>(released[0].answer_).reason_ == ShedReason::NoCapacity);
    cr_assert(std::get<Shed>(late).reason_ == ShedReason::NoCapacity);
}

Test(admission, queued_requests_are_refused_early_when_capacity_drops)
{
    AdmissionHarness harness(4, 4);
    Admission admission;
    harness.learnServiceTime(admission, seconds(1));
    for (int i = 0; i < 16 + 16; ++i)
        (void)harness.offer(admission, "r" + std::to_string(i));
    cr_assert_eq(admission.load(ServiceName("lm")).waiting_, 16);

    for (std::size_t i = 1; i < 4; ++i)
        harness.group(i).isVetoed_ = true;
    harness.publish();
    const auto released = admission.release(harness.snapshot_, harness.now_);

    cr_assert_gt(released.size(), 0);
    for (const auto &answer : released)
        cr_assert(std::get<Shed>(answer.answer_).reason_ == ShedReason::TooLate);
}

Test(admission, non_idempotent_request_needs_time_to_finish)
{
    AdmissionHarness harness(1, 4);
    Admission admission;
    harness.learnServiceTime(admission, seconds(4));
    AdmissionRequest request{.request_ = RequestId("r"),
                             .service_ = ServiceName("lm"),
                             .team_ = TeamName("a"),
                             .deadline_ = harness.now_ + seconds(3)};

    request.isNonIdempotent_ = true;
    const auto nonIdempotent = admission.offer(request, harness.snapshot_, harness.now_);
    request.isNonIdempotent_ = false;
    const auto idempotent = admission.offer(request, harness.snapshot_, harness.now_);

    cr_assert(std::get<Shed>(nonIdempotent).reason_ == ShedReason::TooLate);
    cr_assert(std::holds_alternative<Admitted>(idempotent));
}

Test(admission, cancelled_request_leaves_the_queue)
{
    AdmissionHarness harness(1, 1);
    Admission admission;
    (void)harness.offer(admission, "r1");
    (void)harness.offer(admission, "gone");
    (void)harness.offer(admission, "next");

    admission.finished(RequestId("gone"), harness.now_);
    admission.finished(RequestId("r1"), harness.now_);
    const auto released = admission.release(harness.snapshot_, harness.now_);

    cr_assert_eq(released.size(), 1);
    cr_assert_eq(released[0].request_, RequestId("next"));
}

Test(admission, next_wake_is_the_first_timeout_or_never_with_an_empty_queue)
{
    AdmissionHarness harness(1, 1);
    Admission admission;
    (void)harness.offer(admission, "r1");
    cr_assert(admission.nextWake() == TimePoint::max());

    (void)harness.offer(admission, "r2");

    cr_assert(admission.nextWake() <= harness.now_ + seconds(2));
}

Test(admission, refusal_record_holds_the_slot_counts)
{
    AdmissionHarness harness(1, 4);
    Admission admission;
    (void)harness.offer(admission, "r1");
    const AdmissionRequest request{.request_ = RequestId("r2"), .service_ = ServiceName("lm")};

    const auto record
        = admission.record(request, Shed{ShedReason::TooLate, seconds(3)}, harness.now_);

    cr_assert_eq(record.choice_, "too-late");
    const auto &inputs = record.inputs_;
    const auto holds = [&](const Detail &detail) {
        return std::find(inputs.begin(), inputs.end(), detail) != inputs.end();
    };
    cr_assert(holds({"capacity", "4"}));
    cr_assert(holds({"running", "1"}));
    cr_assert(holds({"retry_after_ms", "3000"}));
}
