// Requests whose connection breaks, and what they tell about their endpoint.
#include "support/gateway_fixture.hpp"

#include <algorithm>

#include <criterion/criterion.h>

using namespace cardamombay;
using namespace cardamombay::serving;
using namespace cardamombay::support;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

constexpr std::string_view oneEvent = "id: 1\ndata: a\n\n";
const std::string broken = "g-0";

/// Sends requests to groups of which "g-0" resets the new ones while it is faulty.
class BreakingGroup
{
public:
    explicit BreakingGroup(std::size_t groups = 2)
    {
        for (std::size_t i = 0; i < groups; ++i)
            fixture_.addGroup("g-" + std::to_string(i));
    }

    /// \brief Starts a stream at the faulty group and leaves it open.
    std::shared_ptr<FakeCall> openStream()
    {
        for (;;) {
            start();
            auto call = fixture_.lastCall();
            if (call->field("endpoint") == broken) {
                call->connect();
                call->sealedHead();
                call->data(oneEvent);
                return call;
            }
            finish(*call);
        }
    }

    /// \brief Sends a request and plays its endpoints until it is answered.
    /// \returns the number of attempts that the faulty group reset.
    std::size_t ask()
    {
        std::size_t resets = 0;
        const auto before = fixture_.upstream_.calls_.size();
        start();
        for (auto i = before; i < fixture_.upstream_.calls_.size(); ++i) {
            const auto call = fixture_.upstream_.calls_[i];
            if (call->field("endpoint") != broken || !isFaulty_) {
                finish(*call);
                continue;
            }
            ++resets;
            call->connect();
            call->fail(true);
        }
        return resets;
    }

    /// \brief Sends a request in each sweep for \p time.
    /// \returns the number of attempts that the faulty group reset.
    std::size_t askFor(Duration time)
    {
        std::size_t resets = 0;
        for (Duration passed{}; passed < time; passed += Gateway::sweepPeriod) {
            resets += ask();
            if (older_)
                older_->data(oneEvent);
            fixture_.loadTracker_.expire(fixture_.clock_.now());
            fixture_.pass(Gateway::sweepPeriod);
        }
        return resets;
    }

    /// \brief Number of calls to the faulty group so far.
    [[nodiscard]] std::size_t callsToBroken() const
    {
        const auto &calls = fixture_.upstream_.calls_;
        return static_cast<std::size_t>(
            std::count_if(calls.begin(), calls.end(),
                          [](const auto &call) { return call->field("endpoint") == broken; }));
    }

    void start() { fixture_.ask("/stream/" + std::to_string(++asked_)); }
    static void finish(const FakeCall &call)
    {
        call.connect();
        call.sealedHead();
        call.end(oneEvent);
    }

    GatewayFixture fixture_;
    bool isFaulty_ = true;
    std::shared_ptr<FakeCall> older_; ///< A stream that goes on at the faulty group.

private:
    std::size_t asked_ = 0;
};

} // namespace

/// Guards against a broken connection that does not count as a failure of its endpoint: the group
/// without requests in progress looked like the least loaded one and got most new requests.
Test(broken_attempts, group_that_resets_two_requests_in_a_row_is_avoided)
{
    BreakingGroup bench;
    cr_assert_eq(bench.askFor(milliseconds(480)), 2);
}

/// Guards against data of an older stream that clears the failures of newer requests.
Test(broken_attempts, group_that_resets_new_requests_is_avoided_while_an_older_stream_goes_on)
{
    BreakingGroup bench;
    bench.older_ = bench.openStream();
    cr_assert_eq(bench.askFor(milliseconds(480)), 2);
}

/// Guards against a record that is removed with its failures as soon as the endpoint is idle: the
/// avoidance would start at 0.5 s again and again. It takes 0.5, 1, 2, 4 and 4 s.
Test(broken_attempts, group_that_goes_on_resetting_gets_one_request_after_each_longer_pause)
{
    BreakingGroup bench;
    cr_assert_eq(bench.askFor(seconds(7)), 5);
    cr_assert_eq(bench.askFor(seconds(8)), 2);
}

Test(broken_attempts, group_that_has_recovered_is_used_again_after_one_answer)
{
    BreakingGroup bench;
    bench.askFor(seconds(3));
    bench.isFaulty_ = false;
    const auto before = bench.callsToBroken();
    bench.askFor(milliseconds(1500));
    cr_assert_gt(bench.callsToBroken() - before, 20);
}

/// Guards against several requests that are sent to an endpoint before the outcome of the retry.
Test(broken_attempts, group_gets_a_single_request_until_its_retry_is_answered)
{
    BreakingGroup bench;
    bench.askFor(milliseconds(450));
    bench.fixture_.pass(milliseconds(100));
    const auto before = bench.callsToBroken();
    for (int i = 0; i < 4; ++i)
        bench.start();
    cr_assert_eq(bench.callsToBroken() - before, 1);
}

/// Guards against a retry that ends without an outcome and keeps its endpoint out of use.
Test(broken_attempts, group_is_retried_again_if_the_caller_of_the_retry_leaves)
{
    BreakingGroup bench;
    bench.askFor(milliseconds(100));
    bench.fixture_.pass(milliseconds(600));
    const auto before = bench.callsToBroken();
    std::shared_ptr<CallerView> caller;
    for (int i = 0; i < 4 && bench.callsToBroken() == before; ++i)
        caller = bench.fixture_.ask("/stream/leaves-" + std::to_string(i));
    cr_assert_eq(bench.callsToBroken(), before + 1);
    caller->lost_();
    for (int i = 0; i < 4; ++i)
        bench.start();
    cr_assert_eq(bench.callsToBroken(), before + 2);
}

/// Guards against avoiding an endpoint on weak evidence.
Test(broken_attempts, one_lost_answer_in_twenty_does_not_take_a_group_out)
{
    BreakingGroup bench(1);
    for (int i = 0; i < 400; ++i) {
        bench.start();
        const auto call = bench.fixture_.lastCall();
        cr_assert_eq(bench.callsToBroken(), i + 1, "request %d", i);
        if (i % 20 == 0) {
            call->connect();
            call->fail(true);
        } else {
            BreakingGroup::finish(*call);
        }
        bench.fixture_.pass(milliseconds(20));
    }
}

/// Guards against counting requests that were in progress at the same time one by one.
Test(broken_attempts, requests_that_break_together_count_once)
{
    BreakingGroup bench(1);
    for (int i = 0; i < 3; ++i)
        bench.start();
    const auto calls = bench.fixture_.upstream_.calls_;
    for (const auto &call : calls)
        call->connect();
    for (const auto &call : calls)
        call->fail(true);
    bench.start();
    cr_assert_eq(bench.callsToBroken(), 4);
}

/// Guards against a request that breaks its connection at every endpoint and takes them all out.
Test(broken_attempts, request_that_breaks_at_several_groups_does_not_count_against_the_later_ones)
{
    BreakingGroup bench;
    for (int i = 0; i < 6; ++i) {
        const auto before = bench.fixture_.upstream_.calls_.size();
        bench.fixture_.ask("/stream/bad");
        for (auto next = before; next < bench.fixture_.upstream_.calls_.size(); ++next) {
            const auto call = bench.fixture_.upstream_.calls_[next];
            call->connect();
            call->fail(true);
        }
        cr_assert_gt(bench.fixture_.upstream_.calls_.size(), before, "request %d", i);
        bench.fixture_.pass(seconds(1));
    }
}

/// Guards against a new process that is blamed for requests its predecessor lost.
Test(broken_attempts, restart_clears_what_broke_before)
{
    BreakingGroup bench(1);
    bench.askFor(milliseconds(50));
    const auto before = bench.callsToBroken();
    bench.start();
    cr_assert_eq(bench.callsToBroken(), before);
    bench.fixture_.loadTracker_.restarted(VmId(broken), bench.fixture_.clock_.now());
    bench.start();
    cr_assert_eq(bench.callsToBroken(), before + 1);
}

/// A plain endpoint that breaks requests is still better than none.
Test(broken_attempts, plain_endpoints_are_avoided_only_if_another_one_serves)
{
    GatewayFixture fixture;
    std::size_t resets = 0;
    for (int i = 0; i < 20; ++i) {
        const auto before = fixture.upstream_.calls_.size();
        fixture.ask("/again/" + std::to_string(i));
        for (auto next = before; next < fixture.upstream_.calls_.size(); ++next) {
            const auto call = fixture.upstream_.calls_[next];
            call->connect();
            if (call->field("endpoint") == "p-0") {
                ++resets;
                call->fail(true);
            } else {
                call->sealedHead();
                call->end("x");
            }
        }
        fixture.pass(Gateway::sweepPeriod);
    }
    cr_assert_eq(resets, 2);
    fixture.endpointRegistry_.remove(VmId("p-1"), fixture.clock_.now());
    const auto before = fixture.upstream_.calls_.size();
    fixture.ask("/again/last");
    cr_assert_gt(fixture.upstream_.calls_.size(), before);
}

/// Guards against an endpoint whose errors no longer count because the same request, sent by many
/// callers, broke at another endpoint before.
Test(broken_attempts, errors_count_although_the_request_broke_at_another_endpoint)
{
    GatewayFixture fixture;
    const VmId failing("p-1");
    std::size_t errors = 0;
    const auto isAvoided
        = [&] { return !fixture.loadTracker_.isUsable(failing, fixture.clock_.now()); };
    for (int i = 0; i < 20 && !isAvoided(); ++i) {
        const auto before = fixture.upstream_.calls_.size();
        fixture.ask("/again/same");
        for (auto next = before; next < fixture.upstream_.calls_.size(); ++next) {
            const auto call = fixture.upstream_.calls_[next];
            call->connect();
            if (call->field("endpoint") == "p-0") {
                call->fail(true);
                continue;
            }
            ++errors;
            call->head(500, {{"seal", "s"}});
            if (!call->isDropped())
                call->end("x");
        }
        fixture.pass(Gateway::sweepPeriod);
    }
    cr_assert(isAvoided());
    cr_assert_leq(errors, 5);
}

/// Guards against a report that outlives its sender, and against one entry VM whose forged count
/// takes an endpoint out of use for all others.
Test(broken_attempts, reports_of_two_other_entry_vms_count_while_they_are_recent)
{
    LoadTracker loadTracker;
    const VmId endpoint(broken);
    const TimePoint now{seconds(100)};
    const auto report = [&](const std::string &peer, std::size_t count, std::size_t entries) {
        LoadTracker::PeerLoad load;
        load.at_ = now;
        load.entries_ = entries;
        load.failing_ = {{endpoint, count}};
        loadTracker.setPeerLoad(peer, std::move(load));
    };
    report("a", 7, 1);
    cr_assert_not(loadTracker.isBreaking(endpoint, now));
    report("b", 1, 1);
    cr_assert(loadTracker.isBreaking(endpoint, now));
    cr_assert_not(loadTracker.isBreaking(endpoint, now + milliseconds(400)));
    loadTracker.forgetPeers();
    cr_assert_not(loadTracker.isBreaking(endpoint, now));
    report("sum", 2, 40);
    cr_assert(loadTracker.isBreaking(endpoint, now));
}

/// Guards against reporting an endpoint for ever that is no longer used here.
Test(broken_attempts, group_is_reported_for_4500_ms_if_it_is_not_retried)
{
    BreakingGroup bench;
    bench.askFor(milliseconds(40));
    auto &fixture = bench.fixture_;
    const auto isReported = [&fixture] {
        return fixture.loadTracker_.locallyFailing(fixture.clock_.now()).contains(VmId(broken));
    };
    cr_assert(isReported());
    fixture.pass(milliseconds(4400));
    cr_assert(isReported());
    fixture.pass(milliseconds(120));
    cr_assert_not(isReported());
}

/// Guards against a record of failures that is kept for ever.
Test(broken_attempts, idle_endpoint_is_forgotten_in_the_end)
{
    BreakingGroup bench;
    bench.askFor(milliseconds(40));
    auto &tracker = bench.fixture_.loadTracker_;
    const auto now = bench.fixture_.clock_.now();
    tracker.expire(now + seconds(20));
    cr_assert(tracker.isBreaking(VmId(broken), now));
    tracker.expire(now + seconds(31));
    cr_assert_not(tracker.isBreaking(VmId(broken), now));
}

/// Guards against avoiding most groups when all lose a part of their answers: what remains cannot
/// do the work of the others.
Test(broken_attempts, groups_stay_in_use_if_more_than_a_quarter_break_requests)
{
    constexpr std::size_t groups = 8;
    BreakingGroup bench(groups);
    auto &fixture = bench.fixture_;
    auto &tracker = fixture.loadTracker_;
    const auto breakTwice = [&](std::size_t group) {
        const VmId endpoint("g-" + std::to_string(group));
        for (int i = 0; i < 2; ++i) {
            const auto send = tracker.started(endpoint, 0, fixture.clock_.now());
            tracker.broke(endpoint, send, fixture.clock_.now());
            tracker.ended(endpoint, send);
        }
    };
    const auto isUsed = [&](const std::string &group) {
        bool result = false;
        for (int i = 0; i < 20; ++i) {
            bench.start();
            const auto call = fixture.lastCall();
            result = result || call->field("endpoint") == group;
            bench.finish(*call);
            fixture.pass(milliseconds(10));
        }
        return result;
    };

    breakTwice(0);
    breakTwice(1);
    cr_expect_not(isUsed("g-0"));
    breakTwice(2);
    cr_expect(isUsed("g-0"));
}
