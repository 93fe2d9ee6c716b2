// What a caller is told, and where its request goes, whatever its endpoint does.
#include "support/gateway_fixture.hpp"

#include <criterion/criterion.h>

using namespace cardamombay;
using namespace cardamombay::serving;
using namespace cardamombay::support;
using std::chrono::milliseconds;
using std::chrono::seconds;

Test(sessions, whole_answer_reaches_the_caller_as_the_endpoint_gave_it)
{
    GatewayFixture bench;
    const auto caller = bench.ask("/once/7");
    const auto call = bench.lastCall();
    call->connect();
    call->head(201, {{"seal", "s"}, {"x", "y"}});
    call->data("one ");
    call->end("two");
    cr_assert_eq(caller->status(), 201);
    cr_assert_eq(caller->answer_->body_, "one two");
    cr_assert_eq(caller->answer_->field("x"), "y");
    cr_assert_eq(call->request_.target_, "/once/7");
    cr_assert_eq(call->field("team"), "team-a");
}

Test(sessions, non_idempotent_request_is_never_sent_again_after_it_may_have_run)
{
    GatewayFixture bench;
    const auto caller = bench.ask("/once/7");
    bench.lastCall()->connect();
    bench.lastCall()->fail(true);
    cr_assert_eq(bench.upstream_.calls_.size(), 1);
    cr_assert_eq(caller->status(), 502);
    cr_assert(caller->answer_->field("come-back").empty());
}

Test(sessions, non_idempotent_request_goes_on_after_the_endpoint_refused_it)
{
    GatewayFixture bench;
    const auto caller = bench.ask("/once/7");
    bench.lastCall()->connect();
    bench.lastCall()->refuse();
    cr_assert_eq(bench.upstream_.calls_.size(), 2);
    cr_assert_neq(bench.upstream_.calls_[0]->field("endpoint"),
                  bench.upstream_.calls_[1]->field("endpoint"));
    cr_assert_not(caller->answer_);
}

Test(sessions, not_run_is_said_with_a_time_to_come_back_if_all_refused)
{
    GatewayFixture bench;
    const auto caller = bench.ask("/once/7");
    for (int i = 0; i < 2; ++i) {
        bench.lastCall()->connect();
        bench.lastCall()->refuse();
    }
    cr_assert_eq(caller->status(), 503);
    cr_assert_neq(caller->answer_->field("come-back"), "");
}

Test(sessions, not_run_is_not_said_if_an_earlier_attempt_may_have_run)
{
    GatewayFixture bench;
    const auto caller = bench.ask("/again/7");
    bench.lastCall()->connect();
    bench.lastCall()->fail(true);
    bench.lastCall()->connect();
    bench.lastCall()->refuse();
    cr_assert_eq(caller->status(), 502);
}

Test(sessions, idempotent_request_is_tried_elsewhere_after_a_failure)
{
    GatewayFixture bench;
    const auto caller = bench.ask("/again/7");
    bench.lastCall()->connect();
    bench.lastCall()->head(500, {{"seal", "s"}});
    cr_assert_eq(bench.upstream_.calls_.size(), 2);
    bench.lastCall()->connect();
    bench.lastCall()->sealedHead();
    bench.lastCall()->end("ok");
    cr_assert_eq(caller->status(), 200);
}

Test(sessions, failure_of_the_endpoints_own_is_passed_on_if_no_other_has_room)
{
    GatewayFixture bench;
    const auto caller = bench.ask("/again/7");
    for (const auto *other : {"p-0", "p-1"}) {
        if (bench.lastCall()->field("endpoint") != other)
            bench.endpointRegistry_.remove(VmId(other), bench.clock_.now());
    }
    bench.lastCall()->connect();
    bench.lastCall()->head(500, {{"seal", "s"}});
    bench.lastCall()->end("sorry");
    cr_assert_eq(bench.upstream_.calls_.size(), 1);
    cr_assert_eq(caller->status(), 500);
    cr_assert_eq(caller->answer_->body_, "sorry");
}

Test(sessions, no_request_runs_at_more_endpoints_than_its_route_allows)
{
    GatewayFixture bench;
    auto configuration = gatewayConfiguration();
    configuration.version_ = ConfigVersion(4);
    configuration.routes_[1].mostTries_ = 1;
    bench.gateway_.setRoutes(std::make_shared<RouteTable>(configuration));
    bench.ask("/again/7");
    bench.lastCall()->connect();
    bench.pass(seconds(6));
    cr_assert_eq(bench.upstream_.calls_.size(), 1);
}

Test(sessions, success_without_the_endpoints_seal_is_not_passed_on)
{
    GatewayFixture bench;
    const auto caller = bench.ask("/once/7");
    bench.lastCall()->connect();
    bench.lastCall()->head(200, {});
    cr_assert_eq(caller->status(), 502);
}

Test(sessions, request_that_is_not_answered_in_time_gets_its_answer_then)
{
    GatewayFixture bench;
    const auto caller = bench.ask("/once/7");
    bench.lastCall()->connect();
    bench.pass(milliseconds(4900));
    cr_assert_not(caller->answer_);
    bench.pass(milliseconds(200));
    cr_assert_eq(caller->status(), 504);
    cr_assert(bench.upstream_.calls_[0]->isDropped());
}

Test(sessions, attempt_ends_at_once_when_the_caller_leaves)
{
    GatewayFixture bench;
    const auto caller = bench.ask("/once/7");
    bench.lastCall()->connect();
    caller->lost_();
    cr_assert(bench.lastCall()->isDropped());
    cr_assert_eq(bench.gateway_.inFlight(), 0);
}

Test(sessions, keys_are_checked_and_not_trusted_for_longer_than_agreed)
{
    GatewayFixture bench;
    cr_assert_eq(bench.ask("/once/7", "m", "key-x")->status(), 401);
    bench.clock_.advance(GatewayBounds().longestUnconfirmed_ + milliseconds(1));
    const auto caller = bench.ask("/once/7");
    cr_assert_eq(caller->status(), 503);
    cr_assert_eq(bench.upstream_.calls_.size(), 0);
}

Test(sessions, unknown_route_is_refused_only_once_there_is_a_configuration)
{
    GatewayFixture bench;
    cr_assert_eq(bench.ask("/nowhere/")->status(), 404);
    bench.gateway_.setRoutes(nullptr);
    cr_assert_eq(bench.ask("/nowhere/")->status(), 503);
}

Test(sessions, repeats_stay_within_the_budget_of_the_fleet)
{
    GatewayFixture bench;
    GatewayBounds bounds;
    bounds.retryShare_ = 0;
    bounds.retryReserve_ = 20;
    bench.gateway_.setBounds(bounds);
    std::size_t repeats = 0;
    for (int i = 0; i < 100; ++i) {
        const auto before = bench.upstream_.calls_.size();
        const auto caller = bench.ask("/again/7");
        if (bench.upstream_.calls_.size() == before) {
            bench.pass(milliseconds(100)); // Both endpoints are avoided.
            continue;
        }
        const auto call = bench.lastCall();
        call->connect();
        call->head(500, {{"seal", "s"}});
        repeats += bench.upstream_.calls_.size() - before - 1;
        if (!caller->answer_) {
            bench.lastCall()->connect();
            bench.lastCall()->sealedHead();
            bench.lastCall()->end("ok");
        }
        bench.pass(milliseconds(100));
    }
    cr_assert_gt(repeats, 0);
    cr_assert_leq(repeats, 20);
}

/// Some entry VMs take what others leave; when those need theirs, the fleet has none left.
Test(sessions, own_part_of_the_repeats_is_left_once_the_fleet_has_used_its_budget)
{
    const auto repeatsOf = [](double othersRepeats) {
        GatewayFixture bench;
        GatewayBounds bounds;
        bounds.retryShare_ = 0;
        bounds.retryReserve_ = 100;
        bench.gateway_.setBounds(bounds);
        bench.gateway_.setEntryCount(5);
        bench.gateway_.setOthersRepeats({{ServiceName("plain"), {0, othersRepeats}}});
        bench.ask("/again/7");
        const auto before = bench.upstream_.calls_.size();
        bench.lastCall()->connect();
        bench.lastCall()->head(500, {{"seal", "s"}});
        return bench.upstream_.calls_.size() - before;
    };
    cr_assert_eq(repeatsOf(75), 1);
    cr_assert_eq(repeatsOf(85), 0);
}

Test(sessions, repeats_that_the_other_entry_vms_leave_are_taken)
{
    const auto repeatsOf = [](double othersRepeats) {
        GatewayFixture bench;
        GatewayBounds bounds;
        bounds.retryShare_ = 0.2;
        bounds.retryReserve_ = 0;
        bench.gateway_.setBounds(bounds);
        bench.gateway_.setEntryCount(5);
        bench.gateway_.setOthersRepeats({{ServiceName("plain"), {1000, othersRepeats}}});
        std::size_t repeats = 0;
        for (int i = 0; i < 4; ++i) {
            bench.ask("/again/7");
            const auto before = bench.upstream_.calls_.size();
            bench.lastCall()->connect();
            bench.lastCall()->head(500, {{"seal", "s"}});
            repeats += bench.upstream_.calls_.size() - before;
        }
        return repeats;
    };
    cr_assert_eq(repeatsOf(0), 4);
    cr_assert_eq(repeatsOf(140), 0); // 0.7 of 0.2 x 1,000 are used up.
}

Test(sessions, request_waits_for_what_a_process_learns_at_its_start)
{
    GatewayFixture bench;
    bench.gateway_.setRoutes(nullptr);
    bench.gateway_.setLearning(true);
    const auto caller = bench.ask("/once/7");
    bench.pass(milliseconds(60));
    cr_assert_not(caller->answer_);
    bench.gateway_.setRoutes(std::make_shared<RouteTable>(gatewayConfiguration()));
    bench.gateway_.setLearning(false);
    cr_assert_eq(bench.upstream_.calls_.size(), 1);
    bench.lastCall()->connect();
    bench.lastCall()->sealedHead();
    bench.lastCall()->end("done");
    cr_assert_eq(caller->status(), 200);
}

Test(sessions, request_is_refused_once_a_process_has_failed_to_learn_where_it_may_go)
{
    GatewayFixture bench;
    bench.gateway_.setRoutes(nullptr);
    bench.gateway_.setLearning(true);
    const auto caller = bench.ask("/once/7");
    bench.gateway_.setLearning(false);
    cr_assert_eq(caller->status(), 503);
    cr_assert_eq(bench.ask("/once/7")->status(), 503);
}

Test(sessions, caller_that_leaves_while_it_waits_for_the_start_is_forgotten)
{
    GatewayFixture bench;
    bench.gateway_.setLearning(true);
    const auto caller = bench.ask("/once/7");
    caller->lost_();
    bench.gateway_.setLearning(false);
    cr_assert(bench.upstream_.calls_.empty());
    bench.pass(milliseconds(40));
    cr_assert_eq(bench.gateway_.inFlight(), 0);
}

Test(sessions, plain_endpoints_that_fail_serve_if_there_is_no_other)
{
    GatewayFixture bench;
    for (const auto *endpoint : {"p-0", "p-1"})
        bench.loadTracker_.failed(VmId(endpoint), bench.clock_.now());
    bench.ask("/once/7");
    cr_assert_eq(bench.upstream_.calls_.size(), 1);
}

Test(sessions, caller_without_room_is_asked_back_while_it_can_still_be_on_time)
{
    for (const auto goal : {milliseconds(100), milliseconds(2000)}) {
        GatewayFixture bench;
        auto configuration = gatewayConfiguration();
        configuration.version_ = ConfigVersion(4);
        for (auto &route : configuration.routes_)
            route.goal_ = goal;
        bench.gateway_.setRoutes(std::make_shared<RouteTable>(configuration));
        const auto caller = bench.ask("/once/7");
        for (int i = 0; i < 2; ++i) {
            bench.lastCall()->connect();
            bench.lastCall()->refuse();
        }
        const auto back = std::stoll(std::string(caller->answer_->field("come-back")));
        cr_assert_gt(back, 0);
        cr_assert_lt(back, goal.count() / 2);
    }
}

Test(sessions, plain_endpoint_is_left_by_the_goal_of_the_route)
{
    GatewayFixture bench;
    auto configuration = gatewayConfiguration();
    configuration.version_ = ConfigVersion(4);
    for (auto &route : configuration.routes_)
        route.goal_ = milliseconds(1000);
    bench.gateway_.setRoutes(std::make_shared<RouteTable>(configuration));
    bench.ask("/again/7");
    bench.lastCall()->connect();
    bench.pass(milliseconds(1900));
    cr_assert_eq(bench.upstream_.calls_.size(), 1);
    bench.pass(milliseconds(200));
    cr_assert_eq(bench.upstream_.calls_.size(), 2);
}
