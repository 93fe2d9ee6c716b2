// Tests how requests are handled when endpoints limit their request rate.
#include "support/gateway_fixture.hpp"

#include <algorithm>
#include <map>
#include <set>

#include <criterion/criterion.h>

using namespace cardamombay;
using namespace cardamombay::serving;
using namespace cardamombay::support;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

constexpr auto path = "/stream/7";

/// The head of a group announces a limit in a complete response.
void limit(GatewayFixture &fixture, const std::string &perSecond)
{
    (void)fixture.ask(path);
    fixture.lastCall()->connect();
    fixture.lastCall()->head(200, {{"seal", "s"}, {"limit", perSecond}});
    fixture.lastCall()->end("id: 1\ndata: x\n\n");
}

std::size_t openCalls(const GatewayFixture &fixture)
{
    return static_cast<std::size_t>(
        std::count_if(fixture.upstream_.calls_.begin(), fixture.upstream_.calls_.end(),
                      [](const auto &call) { return !call->isDropped(); }));
}

} // namespace

Test(limited_sessions, request_waits_for_its_turn_at_the_only_group)
{
    GatewayFixture fixture;
    fixture.addGroup("head-1");
    limit(fixture, "1");
    (void)fixture.ask(path);
    cr_assert_eq(openCalls(fixture), 0);
    fixture.pass(milliseconds(1040));
    cr_assert_eq(openCalls(fixture), 1);
}

Test(limited_sessions, groups_without_a_limit_go_first)
{
    GatewayFixture fixture;
    fixture.addGroup("head-1");
    limit(fixture, "100");
    fixture.pass(seconds(2));
    fixture.addGroup("head-2");
    for (int i = 0; i < 3; ++i) {
        (void)fixture.ask(path);
        cr_assert_eq(fixture.lastCall()->field("endpoint"), "head-2");
        fixture.lastCall()->connect();
    }
}

Test(limited_sessions, group_with_a_limit_takes_what_the_others_have_no_room_for)
{
    GatewayFixture fixture;
    fixture.addGroup("head-1");
    limit(fixture, "5");
    fixture.addGroup("head-2");
    for (int i = 0; i < 10; ++i)
        (void)fixture.ask(path);
    fixture.pass(milliseconds(1040));
    std::set<std::string> endpoints;
    for (const auto &call : fixture.upstream_.calls_) {
        if (!call->isDropped())
            endpoints.insert(call->field("endpoint"));
    }
    cr_assert_eq(endpoints.size(), 2);
}

Test(limited_sessions, request_that_no_limit_leaves_time_for_is_refused_at_once)
{
    GatewayFixture fixture;
    fixture.addGroup("head-1");
    limit(fixture, "0.5");
    fixture.pass(seconds(2));
    (void)fixture.ask(path);
    fixture.pass(milliseconds(1040));
    cr_assert_eq(openCalls(fixture), 1);
    const auto second = fixture.ask(path);
    cr_assert_eq(second->status(), 503);
    const auto third = fixture.ask(path);
    cr_assert_eq(third->status(), 503);
    cr_assert_geq(std::stoi(second->answer_->field("come-back")), 900);
}

Test(limited_sessions, stream_that_has_begun_waits_for_another_group_at_the_limits)
{
    GatewayFixture fixture;
    fixture.addGroup("head-1");
    limit(fixture, "0.2");
    (void)fixture.ask(path);
    fixture.pass(milliseconds(1040));
    fixture.addGroup("head-2");
    const auto caller = fixture.ask(path);
    const auto begun = fixture.lastCall();
    cr_assert_eq(begun->field("endpoint"), "head-2");
    begun->connect();
    begun->sealedHead();
    begun->data("id: 1\ndata: x\n\n");
    begun->fail(true);
    fixture.pass(milliseconds(300));
    cr_assert_not(caller->isAborted_);
    fixture.addGroup("head-3");
    fixture.pass(milliseconds(40));
    cr_assert_eq(fixture.lastCall()->field("endpoint"), "head-3");
}

Test(limited_sessions, plain_endpoints_keep_to_their_limits_too)
{
    GatewayFixture fixture;
    (void)fixture.ask("/again/1");
    (void)fixture.ask("/again/1");
    for (const auto &call : fixture.upstream_.calls_) {
        call->connect();
        call->head(200, {{"seal", "s"}, {"limit", "1"}});
        call->end("x");
    }
    const auto before = fixture.upstream_.calls_.size();
    fixture.pass(seconds(3));
    int refused = 0;
    for (int i = 0; i < 10; ++i)
        refused += fixture.ask("/again/1")->status() == 503 ? 1 : 0;
    fixture.pass(milliseconds(1040));
    cr_assert_leq(fixture.upstream_.calls_.size() - before, 4);
    cr_assert_geq(fixture.upstream_.calls_.size() - before, 2);
    cr_assert_geq(refused, 4);
}

Test(limited_sessions, request_is_not_written_if_the_limit_was_named_while_its_connection_was_made)
{
    GatewayFixture fixture;
    fixture.addGroup("head-1");
    (void)fixture.ask(path);
    const auto first = fixture.lastCall();
    (void)fixture.ask(path);
    const auto second = fixture.lastCall();
    first->connect();
    first->head(200, {{"seal", "s"}, {"limit", "1"}});
    cr_assert_not(second->connect());
    fixture.pass(milliseconds(1040));
    cr_assert_eq(fixture.upstream_.calls_.size(), 3);
    cr_assert(fixture.lastCall()->connect());
}

Test(limited_sessions, all_requests_go_again_once_an_answer_names_no_limit)
{
    GatewayFixture fixture;
    fixture.addGroup("head-1");
    limit(fixture, "1");
    (void)fixture.ask(path);
    fixture.pass(milliseconds(1040));
    fixture.lastCall()->connect();
    fixture.lastCall()->sealedHead();
    fixture.lastCall()->end("id: 1\ndata: x\n\n");
    for (int i = 0; i < 3; ++i)
        (void)fixture.ask(path);
    cr_assert_eq(openCalls(fixture), 3);
}

Test(limited_sessions, refusal_without_a_limit_does_not_end_it)
{
    GatewayFixture fixture;
    fixture.addGroup("head-1");
    limit(fixture, "1");
    (void)fixture.ask(path);
    fixture.pass(milliseconds(1040));
    fixture.lastCall()->connect();
    fixture.lastCall()->refuse();
    fixture.addGroup("head-2");
    (void)fixture.ask(path);
    cr_assert_eq(fixture.lastCall()->field("endpoint"), "head-2");
    const EndpointIncarnation endpoint{VmId("head-1"), 0};
    cr_assert(fixture.gateway_.limits().find(endpoint));
}

Test(limited_sessions, turn_of_a_caller_that_leaves_goes_to_another)
{
    GatewayFixture fixture;
    fixture.addGroup("head-1");
    limit(fixture, "0.5");
    fixture.pass(milliseconds(500));
    const auto first = fixture.ask(path);
    const auto second = fixture.ask(path);
    cr_assert_eq(second->status(), 503);
    first->lost_();
    fixture.pass(milliseconds(600));
    (void)fixture.ask(path);
    fixture.pass(milliseconds(600));
    cr_assert_eq(openCalls(fixture), 1);
}

Test(limited_sessions, limits_that_are_no_usable_figures_stop_nobody)
{
    for (const auto *text : {"0", "1e300", "1e-300"}) {
        GatewayFixture fixture;
        fixture.addGroup("head-1");
        limit(fixture, text);
        for (int i = 0; i < 20; ++i) {
            (void)fixture.ask(path);
            fixture.pass(milliseconds(600));
        }
        cr_assert_geq(fixture.upstream_.calls_.size(), 2, "%s", text);
    }
}

/// Guards against callers who all wait for their turn at one endpoint while another one has room.
Test(limited_sessions, endpoint_without_open_connections_is_used_while_others_have_a_queue)
{
    GatewayFixture fixture;
    auto second = plainEndpoint("p-1");
    second.address_.port_ = 81;
    fixture.endpointRegistry_.put(second);
    fixture.upstream_.unused_.insert(plainEndpoint("p-0").address_);
    std::map<std::string, int> sends;
    std::vector<std::shared_ptr<CallerView>> callers(3);
    for (int step = 0; step < 200; ++step) {
        for (auto &caller : callers) {
            if (!caller || caller->answer_)
                caller = fixture.ask("/once/1");
        }
        const auto calls = fixture.upstream_.calls_;
        for (const auto &call : calls) {
            if (call->isDropped() || !call->connect())
                continue;
            ++sends[call->field("endpoint")];
            call->head(200, {{"seal", "s"}, {"limit", "3"}});
            call->end("answer");
        }
        fixture.pass(milliseconds(40));
    }
    cr_assert_geq(sends["p-0"], 16, "p-0 got %d, p-1 %d", sends["p-0"], sends["p-1"]);
    cr_assert_geq(sends["p-1"], 16, "p-0 got %d, p-1 %d", sends["p-0"], sends["p-1"]);
}
