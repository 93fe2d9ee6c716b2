// What becomes of requests where endpoints limit the rate of requests.
#include "support/gateway_fixture.hpp"

#include <algorithm>
#include <set>

#include <criterion/criterion.h>

using namespace cardamombay;
using namespace cardamombay::serving;
using namespace cardamombay::support;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

constexpr auto path = "/stream/7";

/// The head of a group names a limit to a request that is answered whole.
void limit(GatewayFixture &bench, const std::string &perSecond)
{
    (void)bench.ask(path);
    bench.lastCall()->connect();
    bench.lastCall()->head(200, {{"seal", "s"}, {"limit", perSecond}});
    bench.lastCall()->end("id: 1\ndata: x\n\n");
}

std::size_t openCalls(const GatewayFixture &bench)
{
    return static_cast<std::size_t>(
        std::count_if(bench.upstream_.calls_.begin(), bench.upstream_.calls_.end(),
                      [](const auto &call) { return !call->isDropped(); }));
}

} // namespace

Test(limited_sessions, request_waits_for_its_turn_at_the_only_group)
{
    GatewayFixture bench;
    bench.addGroup("head-1");
    limit(bench, "1");
    (void)bench.ask(path);
    cr_assert_eq(openCalls(bench), 0);
    bench.pass(milliseconds(1040));
    cr_assert_eq(openCalls(bench), 1);
}

Test(limited_sessions, groups_without_a_limit_go_first)
{
    GatewayFixture bench;
    bench.addGroup("head-1");
    limit(bench, "100");
    bench.pass(seconds(2));
    bench.addGroup("head-2");
    for (int i = 0; i < 3; ++i) {
        (void)bench.ask(path);
        cr_assert_eq(bench.lastCall()->field("endpoint"), "head-2");
        bench.lastCall()->connect();
    }
}

Test(limited_sessions, group_with_a_limit_takes_what_the_others_have_no_room_for)
{
    GatewayFixture bench;
    bench.addGroup("head-1");
    limit(bench, "5");
    bench.addGroup("head-2");
    for (int i = 0; i < 10; ++i)
        (void)bench.ask(path);
    bench.pass(milliseconds(1040));
    std::set<std::string> endpoints;
    for (const auto &call : bench.upstream_.calls_) {
        if (!call->isDropped())
            endpoints.insert(call->field("endpoint"));
    }
    cr_assert_eq(endpoints.size(), 2);
}

Test(limited_sessions, request_that_no_limit_leaves_time_for_is_refused_at_once)
{
    GatewayFixture bench;
    bench.addGroup("head-1");
    limit(bench, "0.5");
    bench.pass(seconds(2));
    (void)bench.ask(path);
    bench.pass(milliseconds(1040));
    cr_assert_eq(openCalls(bench), 1);
    const auto second = bench.ask(path);
    cr_assert_eq(second->status(), 503);
    const auto third = bench.ask(path);
    cr_assert_eq(third->status(), 503);
    cr_assert_geq(std::stoi(second->answer_->field("come-back")), 900);
}

Test(limited_sessions, stream_that_has_begun_waits_for_another_group_at_the_limits)
{
    GatewayFixture bench;
    bench.addGroup("head-1");
    limit(bench, "0.2");
    (void)bench.ask(path);
    bench.pass(milliseconds(1040));
    bench.addGroup("head-2");
    const auto caller = bench.ask(path);
    const auto begun = bench.lastCall();
    cr_assert_eq(begun->field("endpoint"), "head-2");
    begun->connect();
    begun->sealedHead();
    begun->data("id: 1\ndata: x\n\n");
    begun->fail(true);
    bench.pass(milliseconds(300));
    cr_assert_not(caller->isAborted_);
    bench.addGroup("head-3");
    bench.pass(milliseconds(40));
    cr_assert_eq(bench.lastCall()->field("endpoint"), "head-3");
}

Test(limited_sessions, plain_endpoints_keep_to_their_limits_too)
{
    GatewayFixture bench;
    (void)bench.ask("/again/1");
    (void)bench.ask("/again/1");
    for (const auto &call : bench.upstream_.calls_) {
        call->connect();
        call->head(200, {{"seal", "s"}, {"limit", "1"}});
        call->end("x");
    }
    const auto before = bench.upstream_.calls_.size();
    bench.pass(seconds(3));
    int refused = 0;
    for (int i = 0; i < 10; ++i)
        refused += bench.ask("/again/1")->status() == 503 ? 1 : 0;
    bench.pass(milliseconds(1040));
    cr_assert_leq(bench.upstream_.calls_.size() - before, 4);
    cr_assert_geq(bench.upstream_.calls_.size() - before, 2);
    cr_assert_geq(refused, 4);
}

Test(limited_sessions, request_is_not_written_if_the_limit_was_named_while_its_connection_was_made)
{
    GatewayFixture bench;
    bench.addGroup("head-1");
    (void)bench.ask(path);
    const auto first = bench.lastCall();
    (void)bench.ask(path);
    const auto second = bench.lastCall();
    first->connect();
    first->head(200, {{"seal", "s"}, {"limit", "1"}});
    cr_assert_not(second->connect());
    bench.pass(milliseconds(1040));
    cr_assert_eq(bench.upstream_.calls_.size(), 3);
    cr_assert(bench.lastCall()->connect());
}

Test(limited_sessions, all_requests_go_again_once_an_answer_names_no_limit)
{
    GatewayFixture bench;
    bench.addGroup("head-1");
    limit(bench, "1");
    (void)bench.ask(path);
    bench.pass(milliseconds(1040));
    bench.lastCall()->connect();
    bench.lastCall()->sealedHead();
    bench.lastCall()->end("id: 1\ndata: x\n\n");
    for (int i = 0; i < 3; ++i)
        (void)bench.ask(path);
    cr_assert_eq(openCalls(bench), 3);
}

Test(limited_sessions, refusal_without_a_limit_does_not_end_it)
{
    GatewayFixture bench;
    bench.addGroup("head-1");
    limit(bench, "1");
    (void)bench.ask(path);
    bench.pass(milliseconds(1040));
    bench.lastCall()->connect();
    bench.lastCall()->refuse();
    bench.addGroup("head-2");
    (void)bench.ask(path);
    cr_assert_eq(bench.lastCall()->field("endpoint"), "head-2");
    const EndpointIncarnation endpoint{VmId("head-1"), 0};
    cr_assert(bench.gateway_.limits().find(endpoint));
}

Test(limited_sessions, turn_of_a_caller_that_leaves_goes_to_another)
{
    GatewayFixture bench;
    bench.addGroup("head-1");
    limit(bench, "0.5");
    bench.pass(milliseconds(500));
    const auto first = bench.ask(path);
    const auto second = bench.ask(path);
    cr_assert_eq(second->status(), 503);
    first->lost_();
    bench.pass(milliseconds(600));
    (void)bench.ask(path);
    bench.pass(milliseconds(600));
    cr_assert_eq(openCalls(bench), 1);
}

Test(limited_sessions, limits_that_are_no_usable_figures_stop_nobody)
{
    for (const auto *text : {"0", "1e300", "1e-300"}) {
        GatewayFixture bench;
        bench.addGroup("head-1");
        limit(bench, text);
        for (int i = 0; i < 20; ++i) {
            (void)bench.ask(path);
            bench.pass(milliseconds(600));
        }
        cr_assert_geq(bench.upstream_.calls_.size(), 2, "%s", text);
    }
}
