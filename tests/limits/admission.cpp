#include "limits/site.hpp"

#include <cardamombay/limits/admission.hpp>

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
