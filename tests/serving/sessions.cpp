// Tests Session with plain endpoints: answers to callers, retries, time-outs and the retry budget.
#include "support/gateway_fixture.hpp"

#include <criterion/criterion.h>

using namespace cardamombay;
using namespace cardamombay::serving;
using namespace cardamombay::support;
using std::chrono::milliseconds;
using std::chrono::seconds;

Test(sessions, whole_answer_reaches_the_caller_as_the_endpoint_gave_it)
{
    GatewayFixture fixture;
    const auto caller = fixture.ask("/once/7");
    const auto call = fixture.lastCall();
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
    GatewayFixture fixture;
    const auto caller = fixture.ask("/once/7");
    fixture.lastCall()->connect();
    fixture.lastCall()->fail(true);
    cr_assert_eq(fixture.upstream_.calls_.size(), 1);
    cr_assert_eq(caller->status(), 502);
    cr_assert(caller->answer_->field("come-back").empty());
}

Test(sessions, non_idempotent_request_goes_on_after_the_endpoint_refused_it)
{
    GatewayFixture fixture;
    const auto caller = fixture.ask("/once/7");
    fixture.lastCall()->connect();
    fixture.lastCall()->refuse();
    cr_assert_eq(fixture.upstream_.calls_.size(), 2);
    cr_assert_neq(fixture.upstream_.calls_[0]->field("endpoint"),
                  fixture.upstream_.calls_[1]->field("endpoint"));
    cr_assert_not(caller->answer_);
}

Test(sessions, not_run_is_said_with_a_time_to_come_back_if_all_refused)
{
    GatewayFixture fixture;
    const auto caller = fixture.ask("/once/7");
    for (int i = 0; i < 2; ++i) {
        fixture.lastCall()->connect();
        fixture.lastCall()->refuse();
    }
    cr_assert_eq(caller->status(), 503);
    cr_assert_neq(caller->answer_->field("come-back"), "");
}

Test(sessions, not_run_is_not_said_if_an_earlier_attempt_may_have_run)
{
    GatewayFixture fixture;
    const auto caller = fixture.ask("/again/7");
    fixture.lastCall()->connect();
    fixture.lastCall()->fail(true);
    fixture.lastCall()->connect();
    fixture.lastCall()->refuse();
    cr_assert_eq(caller->status(), 502);
}

Test(sessions, idempotent_request_is_tried_elsewhere_after_a_failure)
{
    GatewayFixture fixture;
    const auto caller = fixture.ask("/again/7");
    fixture.lastCall()->connect();
    fixture.lastCall()->head(500, {{"seal", "s"}});
    cr_assert_eq(fixture.upstream_.calls_.size(), 2);
    fixture.lastCall()->connect();
    fixture.lastCall()->sealedHead();
    fixture.lastCall()->end("ok");
    cr_assert_eq(caller->status(), 200);
}

Test(sessions, failure_of_the_endpoints_own_is_passed_on_if_no_other_has_room)
{
    GatewayFixture fixture;
    const auto caller = fixture.ask("/again/7");
    for (const auto *other : {"p-0", "p-1"}) {
        if (fixture.lastCall()->field("endpoint") != other)
            fixture.endpointRegistry_.remove(VmId(other), fixture.clock_.now());
    }
    fixture.lastCall()->connect();
    fixture.lastCall()->head(500, {{"seal", "s"}});
    fixture.lastCall()->end("sorry");
    cr_assert_eq(fixture.upstream_.calls_.size(), 1);
    cr_assert_eq(caller->status(), 500);
    cr_assert_eq(caller->answer_->body_, "sorry");
}

Test(sessions, no_request_runs_at_more_endpoints_than_its_route_allows)
{
    GatewayFixture fixture;
    auto configuration = gatewayConfiguration();
    configuration.version_ = ConfigVersion(4);
    configuration.routes_[1].maxAttempts_ = 1;
    fixture.gateway_.setRoutes(std::make_shared<RouteTable>(configuration));
    fixture.ask("/again/7");
    fixture.lastCall()->connect();
    fixture.pass(seconds(6));
    cr_assert_eq(fixture.upstream_.calls_.size(), 1);
}

Test(sessions, success_without_the_endpoints_seal_is_not_passed_on)
{
    GatewayFixture fixture;
    const auto caller = fixture.ask("/once/7");
    fixture.lastCall()->connect();
    fixture.lastCall()->head(200, {});
    cr_assert_eq(caller->status(), 502);
}

Test(sessions, request_that_is_not_answered_in_time_gets_its_answer_then)
{
    GatewayFixture fixture;
    const auto caller = fixture.ask("/once/7");
    fixture.lastCall()->connect();
    fixture.pass(milliseconds(4900));
    cr_assert_not(caller->answer_);
    fixture.pass(milliseconds(200));
    cr_assert_eq(caller->status(), 504);
    cr_assert(fixture.upstream_.calls_[0]->isDropped());
}

Test(sessions, attempt_ends_at_once_when_the_caller_leaves)
{
    GatewayFixture fixture;
    const auto caller = fixture.ask("/once/7");
    fixture.lastCall()->connect();
    caller->lost_();
    cr_assert(fixture.lastCall()->isDropped());
    cr_assert_eq(fixture.gateway_.inFlight(), 0);
}

Test(sessions, keys_are_checked_and_not_trusted_for_longer_than_agreed)
{
    GatewayFixture fixture;
    cr_assert_eq(fixture.ask("/once/7", "m", "key-x")->status(), 401);
    fixture.clock_.advance(GatewayBounds().longestUnconfirmed_ + milliseconds(1));
    const auto caller = fixture.ask("/once/7");
    cr_assert_eq(caller->status(), 503);
    cr_assert_eq(fixture.upstream_.calls_.size(), 0);
}

Test(sessions, unknown_route_is_refused_only_once_there_is_a_configuration)
{
    GatewayFixture fixture;
    cr_assert_eq(fixture.ask("/nowhere/")->status(), 404);
    fixture.gateway_.setRoutes(nullptr);
    cr_assert_eq(fixture.ask("/nowhere/")->status(), 503);
}

Test(sessions, retries_stay_within_the_budget_of_the_fleet)
{
    GatewayFixture fixture;
    GatewayBounds bounds;
    bounds.retryShare_ = 0;
    bounds.retryReserve_ = 20;
    fixture.gateway_.setBounds(bounds);
    std::size_t retries = 0;
    for (int i = 0; i < 100; ++i) {
        const auto before = fixture.upstream_.calls_.size();
        const auto caller = fixture.ask("/again/7");
        if (fixture.upstream_.calls_.size() == before) {
            fixture.pass(milliseconds(100)); // Both endpoints are avoided.
            continue;
        }
        const auto call = fixture.lastCall();
        call->connect();
        call->head(500, {{"seal", "s"}});
        retries += fixture.upstream_.calls_.size() - before - 1;
        if (!caller->answer_) {
            fixture.lastCall()->connect();
            fixture.lastCall()->sealedHead();
            fixture.lastCall()->end("ok");
        }
        fixture.pass(milliseconds(100));
    }
    cr_assert_gt(retries, 0);
    cr_assert_leq(retries, 20);
}

namespace {

/// Retries of four requests that fail at their first endpoint.
std::size_t retriesOfFour(GatewayFixture &fixture)
{
    std::size_t retries = 0;
    for (int i = 0; i < 4; ++i) {
        fixture.ask("/again/7");
        const auto before = fixture.upstream_.calls_.size();
        fixture.lastCall()->connect();
        fixture.lastCall()->head(500, {{"seal", "s"}});
        retries += fixture.upstream_.calls_.size() - before;
    }
    return retries;
}

const ServiceName plainService("plain");

} // namespace

/// Whoever spends a retry, it counts once.
Test(sessions, quota_given_to_peers_is_not_spent_here_as_well)
{
    GatewayFixture fixture;
    GatewayBounds bounds;
    bounds.retryShare_ = 0;
    bounds.retryReserve_ = 100;
    fixture.gateway_.setBounds(bounds);
    double given = 0;
    for (int i = 0; i < 20; ++i)
        given += fixture.gateway_.retries().giveQuota(plainService, 1000);
    cr_assert_geq(given, 85);
    cr_assert_leq(retriesOfFour(fixture) + given, 100);
}

Test(sessions, retries_left_by_other_entry_vms_are_used)
{
    const auto retriesWith = [](double received, Duration age) {
        GatewayFixture fixture;
        GatewayBounds bounds;
        bounds.retryShare_ = 0;
        bounds.retryReserve_ = 0;
        fixture.gateway_.setBounds(bounds);
        auto &retries = fixture.gateway_.retries();
        retries.takeQuota(plainService, received, fixture.clock_.now() + retries.quotaLifetime());
        fixture.pass(age);
        return retriesOfFour(fixture);
    };
    cr_assert_eq(retriesWith(4, {}), 4);
    cr_assert_eq(retriesWith(2.5, {}), 2);
    cr_assert_eq(retriesWith(0, {}), 0);
    cr_assert_eq(retriesWith(4, seconds(2)), 0);
}

/// The process before it may have spent the whole quota.
Test(sessions, process_without_news_of_its_predecessor_spends_received_quota_only)
{
    const auto retriesIf = [](bool isBlocked) {
        GatewayFixture fixture;
        GatewayBounds bounds;
        bounds.retryReserve_ = 100;
        fixture.gateway_.setBounds(bounds);
        auto &retries = fixture.gateway_.retries();
        retries.setBlocked(isBlocked);
        retries.takeQuota(plainService, 1, fixture.clock_.now() + retries.quotaLifetime());
        return retriesOfFour(fixture);
    };
    cr_assert_eq(retriesIf(true), 1);
    cr_assert_eq(retriesIf(false), 4);
}

/// The peer answers within a few milliseconds.
Test(sessions, plain_request_waits_for_quota_that_a_peer_may_give)
{
    GatewayFixture fixture;
    GatewayBounds bounds;
    bounds.retryShare_ = 0;
    bounds.retryReserve_ = 0;
    fixture.gateway_.setBounds(bounds);
    auto &exchange = fixture.gateway_.retries().exchange();
    std::optional<QuotaRequest> asked;
    exchange.setSelf(EntryId("self"), {"10.0.0.1", 1});
    exchange.setPeers({{EntryId("peer"), {"10.0.0.2", 1}}});
    exchange.onSend([&asked](const Address & /*to*/, std::string_view text) {
        asked = decodeQuotaRequest(text);
    });
    const auto caller = fixture.ask("/again/7");
    fixture.lastCall()->connect();
    fixture.lastCall()->fail(true);
    cr_assert_eq(fixture.upstream_.calls_.size(), 1);
    cr_assert_not(caller->answer_);
    cr_assert(asked);
    exchange.take(encode(QuotaTransfer{EntryId("peer"), asked->number_, asked->amount_}));
    fixture.pass(Gateway::sweepPeriod);
    cr_assert_eq(fixture.upstream_.calls_.size(), 2);
}

Test(sessions, plain_request_ends_at_once_if_no_peer_can_give_quota)
{
    GatewayFixture fixture;
    GatewayBounds bounds;
    bounds.retryShare_ = 0;
    bounds.retryReserve_ = 0;
    fixture.gateway_.setBounds(bounds);
    const auto caller = fixture.ask("/again/7");
    fixture.lastCall()->connect();
    fixture.lastCall()->fail(true);
    cr_assert(caller->answer_);
}

Test(sessions, request_waits_for_what_a_process_learns_at_its_start)
{
    GatewayFixture fixture;
    fixture.gateway_.setRoutes(nullptr);
    fixture.gateway_.setLearning(true);
    const auto caller = fixture.ask("/once/7");
    fixture.pass(milliseconds(60));
    cr_assert_not(caller->answer_);
    fixture.gateway_.setRoutes(std::make_shared<RouteTable>(gatewayConfiguration()));
    fixture.gateway_.setLearning(false);
    cr_assert_eq(fixture.upstream_.calls_.size(), 1);
    fixture.lastCall()->connect();
    fixture.lastCall()->sealedHead();
    fixture.lastCall()->end("done");
    cr_assert_eq(caller->status(), 200);
}

Test(sessions, request_is_refused_once_a_process_has_failed_to_learn_where_it_may_go)
{
    GatewayFixture fixture;
    fixture.gateway_.setRoutes(nullptr);
    fixture.gateway_.setLearning(true);
    const auto caller = fixture.ask("/once/7");
    fixture.gateway_.setLearning(false);
    cr_assert_eq(caller->status(), 503);
    cr_assert_eq(fixture.ask("/once/7")->status(), 503);
}

Test(sessions, caller_that_leaves_while_it_waits_for_the_start_is_forgotten)
{
    GatewayFixture fixture;
    fixture.gateway_.setLearning(true);
    const auto caller = fixture.ask("/once/7");
    caller->lost_();
    fixture.gateway_.setLearning(false);
    cr_assert(fixture.upstream_.calls_.empty());
    fixture.pass(milliseconds(40));
    cr_assert_eq(fixture.gateway_.inFlight(), 0);
}

Test(sessions, plain_endpoints_that_fail_serve_if_there_is_no_other)
{
    GatewayFixture fixture;
    for (const auto *endpoint : {"p-0", "p-1"})
        fixture.loadTracker_.failed(VmId(endpoint), fixture.clock_.now());
    fixture.ask("/once/7");
    cr_assert_eq(fixture.upstream_.calls_.size(), 1);
}

Test(sessions, caller_without_room_is_asked_back_while_it_can_still_be_on_time)
{
    for (const auto goal : {milliseconds(100), milliseconds(2000)}) {
        GatewayFixture fixture;
        auto configuration = gatewayConfiguration();
        configuration.version_ = ConfigVersion(4);
        for (auto &route : configuration.routes_)
            route.latencyGoal_ = goal;
        fixture.gateway_.setRoutes(std::make_shared<RouteTable>(configuration));
        const auto caller = fixture.ask("/once/7");
        for (int i = 0; i < 2; ++i) {
            fixture.lastCall()->connect();
            fixture.lastCall()->refuse();
        }
        const auto back = std::stoll(std::string(caller->answer_->field("come-back")));
        cr_assert_gt(back, 0);
        cr_assert_lt(back, goal.count() / 2);
    }
}

Test(sessions, plain_endpoint_is_left_by_the_goal_of_the_route)
{
    GatewayFixture fixture;
    auto configuration = gatewayConfiguration();
    configuration.version_ = ConfigVersion(4);
    for (auto &route : configuration.routes_)
        route.latencyGoal_ = milliseconds(1000);
    fixture.gateway_.setRoutes(std::make_shared<RouteTable>(configuration));
    fixture.ask("/again/7");
    fixture.lastCall()->connect();
    fixture.pass(milliseconds(1900));
    cr_assert_eq(fixture.upstream_.calls_.size(), 1);
    fixture.pass(milliseconds(200));
    cr_assert_eq(fixture.upstream_.calls_.size(), 2);
}
