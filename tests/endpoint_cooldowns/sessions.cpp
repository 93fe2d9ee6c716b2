// What becomes of requests where endpoints ask for a pause or say that they leave.
#include "support/gateway_fixture.hpp"

#include <algorithm>
#include <set>
#include <string>

#include <criterion/criterion.h>

using namespace cardamombay;
using namespace cardamombay::serving;
using namespace cardamombay::support;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

constexpr auto path = "/stream/7";
constexpr auto plainPath = "/again/1";

/// The endpoint of the last call turns its request away.
void refuse(GatewayFixture &bench, const std::string &cooldown)
{
    const auto call = bench.lastCall();
    call->connect();
    call->head(503, {{"refused", "1"}, {"cooldown", cooldown}});
}

std::size_t sendsTo(const GatewayFixture &bench, const std::string &endpoint)
{
    return static_cast<std::size_t>(
        std::count_if(bench.upstream_.calls_.begin(), bench.upstream_.calls_.end(),
                      [&](const auto &call) { return call->field("endpoint") == endpoint; }));
}

/// Endpoints answer what they got and get.
void serveAll(GatewayFixture &bench)
{
    for (std::size_t i = 0; i < bench.upstream_.calls_.size(); ++i) {
        const auto call = bench.upstream_.calls_[i];
        if (call->isDropped())
            continue;
        call->connect();
        call->sealedHead();
        call->end("id: 1\ndata: x\n\n");
        bench.pass(milliseconds(20));
    }
}

/// A stream that has begun at the only group and goes on.
std::shared_ptr<FakeCall> begin(GatewayFixture &bench)
{
    (void)bench.ask(path);
    const auto call = bench.lastCall();
    call->connect();
    call->sealedHead();
    call->data("id: 1\ndata: x\n\n");
    return call;
}

} // namespace

Test(cooling_sessions, events_of_a_running_stream_do_not_end_a_cooldown)
{
    GatewayFixture bench;
    bench.addGroup("head-1");
    const auto running = begin(bench);
    (void)bench.ask(path);
    refuse(bench, "3");
    bench.addGroup("head-2");
    const auto before = sendsTo(bench, "head-1");
    for (int i = 0; i < 28; ++i) {
        bench.pass(milliseconds(100));
        running->data("id: 2\ndata: x\n\n");
        (void)bench.ask(path);
    }
    cr_assert_eq(sendsTo(bench, "head-1"), before);
}

Test(cooling_sessions, cooldown_outlasts_the_pause_after_a_failure)
{
    GatewayFixture bench;
    bench.addGroup("head-1");
    (void)bench.ask(path);
    refuse(bench, "3");
    bench.pass(milliseconds(2900));
    const auto caller = bench.ask(path);
    cr_assert_eq(sendsTo(bench, "head-1"), 1);
    bench.pass(milliseconds(200));
    cr_assert_eq(sendsTo(bench, "head-1"), 2);
    cr_assert_eq(caller->status(), 0);
}

Test(cooling_sessions, connection_made_in_a_cooldown_carries_no_request)
{
    GatewayFixture bench;
    bench.addGroup("head-1");
    (void)bench.ask(path);
    const auto first = bench.lastCall();
    (void)bench.ask(path);
    const auto second = bench.lastCall();
    first->connect();
    first->head(503, {{"refused", "1"}, {"cooldown", "3"}});
    cr_assert_not(second->connect());
}

Test(cooling_sessions, plain_endpoint_in_cooldown_is_not_taken_for_want_of_others)
{
    GatewayFixture bench;
    bench.endpointRegistry_.remove(VmId("p-1"), bench.clock_.now());
    (void)bench.ask(plainPath);
    refuse(bench, "3");
    for (int i = 0; i < 5; ++i) {
        bench.pass(milliseconds(500));
        (void)bench.ask(plainPath);
    }
    cr_assert_eq(sendsTo(bench, "p-0"), 1);
}

Test(cooling_sessions, request_is_refused_at_once_if_all_endpoints_cool_down_for_long)
{
    GatewayFixture bench;
    bench.addGroup("head-1");
    (void)bench.ask(path);
    refuse(bench, "30");
    std::set<int> comeBacks;
    for (int i = 0; i < 10; ++i) {
        const auto caller = bench.ask(path);
        cr_assert_eq(caller->status(), 503);
        comeBacks.insert(std::stoi(caller->answer_->field("come-back")));
    }
    cr_assert_geq(*comeBacks.begin(), 30000);
    cr_assert_geq(comeBacks.size(), 5);
}

Test(cooling_sessions, request_waits_for_the_end_of_a_short_cooldown)
{
    for (const auto *one : {path, plainPath}) {
        GatewayFixture bench;
        bench.addGroup("head-1");
        bench.endpointRegistry_.remove(VmId("p-1"), bench.clock_.now());
        (void)bench.ask(one);
        refuse(bench, "0.6");
        const auto caller = bench.ask(one);
        bench.pass(milliseconds(580));
        cr_assert_eq(caller->status(), 0);
        cr_assert_eq(bench.upstream_.calls_.size(), 1);
        bench.pass(milliseconds(60));
        serveAll(bench);
        cr_assert(caller->isFinished_ || caller->status() == 200);
    }
}

Test(cooling_sessions, shorter_cooldown_does_not_end_a_longer_one)
{
    GatewayFixture bench;
    bench.addGroup("head-1");
    (void)bench.ask(path);
    const auto first = bench.lastCall();
    (void)bench.ask(path);
    const auto second = bench.lastCall();
    first->connect();
    second->connect();
    first->head(503, {{"refused", "1"}, {"cooldown", "30"}});
    second->head(503, {{"refused", "1"}, {"cooldown", "1"}});
    bench.pass(seconds(4));
    (void)bench.ask(path);
    cr_assert_eq(sendsTo(bench, "head-1"), 2);
}

Test(cooling_sessions, endpoint_that_started_again_owes_nothing_to_the_earlier_cooldown)
{
    GatewayFixture bench;
    bench.addGroup("head-1");
    (void)bench.ask(path);
    refuse(bench, "30");
    const auto before = *bench.endpointRegistry_.find(VmId("head-1"));
    auto restarted = before;
    restarted.startedAt_ += 1;
    bench.endpointRegistry_.put(restarted);
    bench.gateway_.endpointRestarted(before.incarnation(), before.address_);
    (void)bench.ask(path);
    cr_assert_eq(sendsTo(bench, "head-1"), 2);
}

Test(cooling_sessions, endpoint_that_names_an_absurd_cooldown_is_used_again_some_day)
{
    GatewayFixture bench;
    bench.addGroup("head-1");
    (void)bench.ask(path);
    refuse(bench, "1e9");
    bench.clock_.advance(std::chrono::hours(1) + seconds(1));
    bench.pass(milliseconds(40));
    (void)bench.ask(path);
    cr_assert_eq(sendsTo(bench, "head-1"), 2);
}

Test(cooling_sessions, refused_request_goes_to_another_group_at_once)
{
    GatewayFixture bench;
    bench.addGroup("head-1");
    (void)bench.ask(path);
    bench.addGroup("head-2");
    refuse(bench, "3");
    cr_assert_eq(bench.lastCall()->field("endpoint"), "head-2");
}

Test(leaving_sessions, endpoint_that_says_it_leaves_gets_nothing_more)
{
    for (const std::uint32_t status : {200U, 500U}) {
        GatewayFixture bench;
        bench.addGroup("head-1");
        (void)bench.ask(path);
        const auto call = bench.lastCall();
        (void)bench.ask(path);
        const auto connecting = bench.lastCall();
        call->connect();
        call->head(status, {{"seal", "s"}, {"leaving", "1"}});
        cr_assert_not(connecting->connect());
        bench.pass(seconds(1));
        (void)bench.ask(path);
        cr_assert_eq(sendsTo(bench, "head-1"), 2);
    }
}

Test(leaving_sessions, stream_of_an_endpoint_that_leaves_goes_on)
{
    GatewayFixture bench;
    bench.addGroup("head-1");
    const auto caller = bench.ask(path);
    const auto call = bench.lastCall();
    call->connect();
    call->head(200, {{"seal", "s"}, {"leaving", "1"}});
    call->data("id: 1\ndata: x\n\n");
    bench.pass(milliseconds(200));
    cr_assert_not(call->isDropped());
    call->end("");
    cr_assert(caller->isFinished_);
}

Test(leaving_sessions, plain_endpoint_that_leaves_is_not_taken_for_want_of_others)
{
    GatewayFixture bench;
    bench.endpointRegistry_.remove(VmId("p-1"), bench.clock_.now());
    (void)bench.ask(plainPath);
    bench.lastCall()->connect();
    bench.lastCall()->head(200, {{"seal", "s"}, {"leaving", "1"}});
    bench.lastCall()->end("x");
    cr_assert_eq(bench.ask(plainPath)->status(), 503);
    cr_assert_eq(sendsTo(bench, "p-0"), 1);
}

Test(leaving_sessions, endpoint_that_says_it_leaves_stays_so_when_its_entry_is_listed_again)
{
    GatewayFixture bench;
    bench.addGroup("head-1");
    auto &notices = bench.gateway_.notices();
    bench.endpointRegistry_.setLeavingCheck(
        [&notices](const EndpointIncarnation &endpoint) { return notices.isLeaving(endpoint); });
    notices.onLeaving(
        [&bench](const EndpointIncarnation &one) { bench.endpointRegistry_.markLeaving(one); });
    (void)bench.ask(path);
    bench.lastCall()->connect();
    bench.lastCall()->head(200, {{"seal", "s"}, {"leaving", "1"}});
    cr_assert(bench.endpointRegistry_.find(VmId("head-1"))->isDraining_);
    bench.addGroup("head-1");
    cr_assert(bench.endpointRegistry_.find(VmId("head-1"))->isDraining_);
    auto restarted = *bench.endpointRegistry_.find(VmId("head-1"));
    restarted.startedAt_ += 1;
    restarted.isDraining_ = false;
    bench.endpointRegistry_.put(restarted);
    cr_assert_not(bench.endpointRegistry_.find(VmId("head-1"))->isDraining_);
}

Test(advised_sessions, group_that_turned_peers_away_is_tried_last)
{
    GatewayFixture bench;
    bench.addGroup("head-1");
    bench.addGroup("head-2");
    const EndpointIncarnation advised{VmId("head-1"), 0};
    bench.gateway_.notices().take({{advised, seconds(3)}}, bench.clock_.now());
    for (int i = 0; i < 3; ++i)
        (void)bench.ask(path);
    cr_assert_eq(sendsTo(bench, "head-1"), 0);
    bench.endpointRegistry_.remove(VmId("head-2"), bench.clock_.now());
    (void)bench.ask(path);
    cr_assert_eq(sendsTo(bench, "head-1"), 1);
}

Test(advised_sessions, group_that_turned_peers_away_takes_what_the_others_have_no_room_for)
{
    GatewayFixture bench;
    bench.addGroup("head-1");
    bench.addGroup("head-2");
    const EndpointIncarnation advised{VmId("head-1"), 0};
    bench.gateway_.notices().take({{advised, seconds(3)}}, bench.clock_.now());
    for (int i = 0; i < 6; ++i)
        (void)bench.ask(path);
    bench.pass(milliseconds(300));
    cr_assert_geq(sendsTo(bench, "head-1"), 1);
}

Test(cooling_sessions, held_plain_request_is_tried_though_no_group_has_room)
{
    GatewayFixture bench;
    bench.endpointRegistry_.remove(VmId("p-1"), bench.clock_.now());
    (void)bench.ask(plainPath);
    refuse(bench, "0.6");
    (void)bench.ask(path);
    bench.pass(milliseconds(640));
    cr_assert_eq(sendsTo(bench, "p-0"), 2);
}
