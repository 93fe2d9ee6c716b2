#include "limits/site.hpp"

#include <cardamombay/limits/admission.hpp>

#include <algorithm>
#include <string>

#include <criterion/criterion.h>

using namespace cardamombay;
using namespace cardamombay::limits;
using fixture::LimitsSite;
using std::chrono::milliseconds;
using std::chrono::seconds;

Test(admission, requests_beyond_capacity_wait_and_go_when_a_slot_is_free)
{
    LimitsSite site(1, 2);
    Admission admission;
    cr_assert(std::holds_alternative<Admitted>(site.offer(admission, "r1")));
    cr_assert(std::holds_alternative<Admitted>(site.offer(admission, "r2")));
    cr_assert(std::holds_alternative<Queued>(site.offer(admission, "r3")));

    admission.finished(RequestId("r1"), site.now_);
    const auto released = admission.release(site.snapshot_, site.now_);

    cr_assert_eq(released.size(), 1);
    cr_assert_eq(released[0].request_, RequestId("r3"));
    cr_assert(std::holds_alternative<Admitted>(released[0].answer_));
}

Test(admission, waiting_request_is_refused_at_the_queue_timeout)
{
    LimitsSite site(1, 1);
    Admission admission;
    (void)site.offer(admission, "r1");
    (void)site.offer(admission, "r2");

    site.now_ += seconds(2);
    const auto released = admission.release(site.snapshot_, site.now_);

    cr_assert_eq(released.size(), 1);
    cr_assert(std::get<Shed>(released[0].answer_).reason_ == ShedReason::QueueTimeout);
    cr_assert(std::get<Shed>(released[0].answer_).retryAfter_ >= seconds(1));
}

Test(admission, request_that_would_wait_too_long_is_refused_at_once)
{
    LimitsSite site(1, 1);
    Admission admission;
    (void)site.offer(admission, "r1");
    site.now_ += seconds(10);
    admission.finished(RequestId("r1"), site.now_);
    (void)site.offer(admission, "r2");

    const auto decision = site.offer(admission, "r3");

    cr_assert(std::get<Shed>(decision).reason_ == ShedReason::TooLate);
}

Test(admission, higher_priority_goes_first_within_a_team)
{
    LimitsSite site(1, 1);
    Admission admission;
    (void)site.offer(admission, "r1");
    (void)site.offer(admission, "low", "a", 1);
    (void)site.offer(admission, "high", "a", 200);

    admission.finished(RequestId("r1"), site.now_);
    const auto released = admission.release(site.snapshot_, site.now_);

    cr_assert_eq(released[0].request_, RequestId("high"));
}

Test(admission, full_queue_takes_a_higher_priority_in_place_of_the_lowest)
{
    LimitsSite site(1, 1);
    LimitsPolicy policy;
    policy.queueLimit_ = 1;
    Admission admission(policy);
    (void)site.offer(admission, "r1");
    (void)site.offer(admission, "low", "a", 1);

    const auto same = site.offer(admission, "same", "a", 1);
    const auto high = site.offer(admission, "high", "a", 2);
    const auto released = admission.release(site.snapshot_, site.now_);

    cr_assert(std::get<Shed>(same).reason_ == ShedReason::QueueFull);
    cr_assert(std::holds_alternative<Queued>(high));
    cr_assert_eq(released.size(), 1);
    cr_assert_eq(released[0].request_, RequestId("low"));
    cr_assert(std::get<Shed>(released[0].answer_).reason_ == ShedReason::Displaced);
}

Test(admission, blink_of_capacity_is_waited_for_and_an_outage_is_told_at_once)
{
    LimitsSite site(1, 4);
    Admission admission;
    (void)site.offer(admission, "r1");
    site.group(0).isVetoed_ = true;
    site.publish();

    const auto early = site.offer(admission, "early");
    site.now_ += milliseconds(500);
    const auto released = admission.release(site.snapshot_, site.now_);
    const auto late = site.offer(admission, "late");

    cr_assert(std::holds_alternative<Queued>(early));
    cr_assert_eq(released.size(), 1);
    cr_assert(std::get<Shed>(released[0].answer_).reason_ == ShedReason::NoCapacity);
    cr_assert(std::get<Shed>(late).reason_ == ShedReason::NoCapacity);
}

Test(admission, waiting_requests_that_lost_their_slots_are_told_before_their_timeout)
{
    LimitsSite site(4, 4);
    Admission admission;
    site.learnServiceTime(admission, seconds(1));
    for (int i = 0; i < 16 + 20; ++i)
        (void)site.offer(admission, "r" + std::to_string(i));
    cr_assert_eq(admission.load(ServiceName("lm")).waiting_, 20);

    for (std::size_t i = 1; i < 4; ++i)
        site.group(i).isVetoed_ = true;
    site.publish();
    const auto released = admission.release(site.snapshot_, site.now_);

    cr_assert_gt(released.size(), 0);
    for (const auto &answer : released)
        cr_assert(std::get<Shed>(answer.answer_).reason_ == ShedReason::TooLate);
}

Test(admission, non_idempotent_request_needs_time_to_finish)
{
    LimitsSite site(1, 4);
    Admission admission;
    site.learnServiceTime(admission, seconds(4));
    AdmissionRequest request{.request_ = RequestId("r"),
                             .service_ = ServiceName("lm"),
                             .team_ = TeamName("a"),
                             .deadline_ = site.now_ + seconds(3)};

    request.isNonIdempotent_ = true;
    const auto booking = admission.offer(request, site.snapshot_, site.now_);
    request.isNonIdempotent_ = false;
    const auto script = admission.offer(request, site.snapshot_, site.now_);

    cr_assert(std::get<Shed>(booking).reason_ == ShedReason::TooLate);
    cr_assert(std::holds_alternative<Admitted>(script));
}

Test(admission, caller_that_leaves_the_queue_is_not_released)
{
    LimitsSite site(1, 1);
    Admission admission;
    (void)site.offer(admission, "r1");
    (void)site.offer(admission, "gone");
    (void)site.offer(admission, "next");

    admission.finished(RequestId("gone"), site.now_);
    admission.finished(RequestId("r1"), site.now_);
    const auto released = admission.release(site.snapshot_, site.now_);

    cr_assert_eq(released.size(), 1);
    cr_assert_eq(released[0].request_, RequestId("next"));
}

Test(admission, wakes_for_the_first_timeout_and_sleeps_with_an_empty_queue)
{
    LimitsSite site(1, 1);
    Admission admission;
    (void)site.offer(admission, "r1");
    cr_assert(admission.nextWake() == TimePoint::max());

    (void)site.offer(admission, "r2");

    cr_assert(admission.nextWake() <= site.now_ + seconds(2));
}

Test(admission, refusal_is_explained_by_the_slots_at_that_time)
{
    LimitsSite site(1, 4);
    Admission admission;
    (void)site.offer(admission, "r1");
    const AdmissionRequest request{.request_ = RequestId("r2"), .service_ = ServiceName("lm")};

    const auto record = admission.record(request, Shed{ShedReason::TooLate, seconds(3)}, site.now_);

    cr_assert_eq(record.choice_, "too-late");
    const auto &inputs = record.inputs_;
    const auto holds = [&](const Detail &detail) {
        return std::find(inputs.begin(), inputs.end(), detail) != inputs.end();
    };
    cr_assert(holds({"capacity", "4"}));
    cr_assert(holds({"running", "1"}));
    cr_assert(holds({"retry_after_ms", "3000"}));
}
