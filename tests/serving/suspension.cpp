// Suspension of the VM for some seconds between any two steps of a request.
#include "support/gateway_fixture.hpp"

#include <criterion/criterion.h>

using namespace cardamombay;
using namespace cardamombay::serving;
using namespace cardamombay::support;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

/// Exceeds any request's time limit (5 s) and the maximum age of a confirmed configuration (4 s).
constexpr Duration suspensionTime = seconds(7);

constexpr auto event = "id: 1\ndata: x\n\n";

/// A streaming request suspended after \p steps of: connected, head received, event received.
struct Suspended
{
    explicit Suspended(int steps)
    {
        bench_.addGroup("head-1");
        bench_.addGroup("head-2");
        caller_ = bench_.ask("/stream/7");
        call_ = bench_.lastCall();
        if (steps > 0)
            call_->connect();
        if (steps > 1)
            call_->sealedHead();
        if (steps > 2)
            call_->data(event);
        bench_.clock_.advance(suspensionTime);
    }

    GatewayFixture bench_;
    std::shared_ptr<CallerView> caller_;
    std::shared_ptr<FakeCall> call_;
};

bool isAnswered(const CallerView &caller)
{
    return caller.answer_ || caller.isAborted_ || caller.isFinished_;
}

} // namespace

Test(suspension, request_whose_time_has_passed_meanwhile_ends_at_once_at_every_step)
{
    for (int steps = 0; steps <= 3; ++steps) {
        Suspended one(steps);
        one.bench_.gateway_.sweep();
        cr_assert(isAnswered(*one.caller_), "after %d steps", steps);
        cr_assert_eq(one.bench_.upstream_.calls_.size(), 1, "after %d steps", steps);
        cr_assert(one.call_->isDropped(), "after %d steps", steps);
    }
}

Test(suspension,
     request_whose_time_has_passed_meanwhile_is_not_sent_elsewhere_when_its_attempt_fails)
{
    for (int steps = 0; steps <= 3; ++steps) {
        Suspended one(steps);
        // The lost connection is handled before anything else.
        one.call_->fail(steps > 0);
        cr_assert_eq(one.bench_.upstream_.calls_.size(), 1, "after %d steps", steps);
        cr_assert(isAnswered(*one.caller_), "after %d steps", steps);
    }
}

Test(suspension, answer_that_was_ready_meanwhile_is_delivered)
{
    Suspended one(2);
    one.call_->data(event);
    one.call_->end("");
    cr_assert_eq(one.caller_->streamed_, event);
    cr_assert(one.caller_->isFinished_);
}

Test(suspension, held_request_ends_at_once_and_goes_nowhere)
{
    GatewayFixture bench;
    const auto caller = bench.ask("/stream/7");
    bench.clock_.advance(suspensionTime);
    bench.addGroup("head-1");
    bench.gateway_.sweep();
    cr_assert(isAnswered(*caller));
    cr_assert(bench.upstream_.calls_.empty());
}

Test(suspension, no_key_is_honoured_before_the_configuration_is_confirmed_again)
{
    GatewayFixture bench;
    bench.addGroup("head-1");
    bench.clock_.advance(suspensionTime);
    const auto caller = bench.ask("/stream/7");
    cr_assert_eq(caller->status(), 503);
    bench.gateway_.confirm(bench.clock_.now());
    (void)bench.ask("/stream/8");
    cr_assert_eq(bench.upstream_.calls_.size(), 1);
}

Test(suspension, quarantine_ends_by_the_time_that_has_passed)
{
    GatewayFixture bench;
    bench.addGroup("head-1");
    const RequestFingerprint pill(7);
    bench.gateway_.poisonPills().restore(pill, bench.clock_.now());
    bench.clock_.advance(PoisonPills::firstQuarantine);
    cr_assert_not(bench.gateway_.poisonPills().quarantinedFor(pill, bench.clock_.now()));
}
