// Tests how requests are handled when endpoints request a cooldown or announce their shutdown.
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

/// The endpoint of the last call refuses its request.
void refuse(GatewayFixture &fixture, const std::string &cooldown)
{
    const auto call = fixture.lastCall();
    call->connect();
    call->head(503, {{"refused", "1"}, {"cooldown", cooldown}});
}

std::size_t sendsTo(const GatewayFixture &fixture, const std::string &endpoint)
{
    return static_cast<std::size_t>(
        std::count_if(fixture.upstream_.calls_.begin(), fixture.upstream_.calls_.end(),
                      [&](const auto &call) { return call->field("endpoint") == endpoint; }));
}

/// Answers all current and subsequent calls.
void serveAll(GatewayFixture &fixture)
{
    for (std::size_t i = 0; i < fixture.upstream_.calls_.size(); ++i) {
        const auto call = fixture.upstream_.calls_[i];
        if (call->isDropped())
            continue;
        call->connect();
        call->sealedHead();
        call->end("id: 1\ndata: x\n\n");
        fixture.pass(milliseconds(20));
    }
}

/// Starts a stream at the only group and keeps it open.
std::shared_ptr<FakeCall> begin(GatewayFixture &fixture)
{
    (void)fixture.ask(path);
    const auto call = fixture.lastCall();
    call->connect();
    call->sealedHead();
    call->data("id: 1\ndata: x\n\n");
    return call;
}

} // namespace

Test(cooling_sessions, events_of_a_running_stream_do_not_end_a_cooldown)
{
    GatewayFixture fixture;
    fixture.addGroup("head-1");
    const auto running = begin(fixture);
    (void)fixture.ask(path);
    refuse(fixture, "3");
    fixture.addGroup("head-2");
    const auto before = sendsTo(fixture, "head-1");
    for (int i = 0; i < 28; ++i) {
        fixture.pass(milliseconds(100));
        running->data("id: 2\ndata: x\n\n");
        (void)fixture.ask(path);
    }
    cr_assert_eq(sendsTo(fixture, "head-1"), before);
}

Test(cooling_sessions, cooldown_outlasts_the_pause_after_a_failure)
{
    GatewayFixture fixture;
    fixture.addGroup("head-1");
    (void)fixture.ask(path);
    refuse(fixture, "3");
    fixture.pass(milliseconds(2900));
    const auto caller = fixture.ask(path);
    cr_assert_eq(sendsTo(fixture, "head-1"), 1);
    fixture.pass(milliseconds(200));
    cr_assert_eq(sendsTo(fixture, "head-1"), 2);
    cr_assert_eq(caller->status(), 0);
}

Test(cooling_sessions, connection_made_in_a_cooldown_carries_no_request)
{
    GatewayFixture fixture;
    fixture.addGroup("head-1");
    (void)fixture.ask(path);
    const auto first = fixture.lastCall();
    (void)fixture.ask(path);
    const auto second = fixture.lastCall();
    first->connect();
    first->head(503, {{"refused", "1"}, {"cooldown", "3"}});
    cr_assert_not(second->connect());
}

Test(cooling_sessions, plain_endpoint_in_cooldown_is_not_taken_for_want_of_others)
{
    GatewayFixture fixture;
    fixture.endpointRegistry_.remove(VmId("p-1"), fixture.clock_.now());
    (void)fixture.ask(plainPath);
    refuse(fixture, "3");
    for (int i = 0; i < 5; ++i) {
        fixture.pass(milliseconds(500));
        (void)fixture.ask(plainPath);
    }
    cr_assert_eq(sendsTo(fixture, "p-0"), 1);
}

Test(cooling_sessions, request_is_refused_at_once_if_all_endpoints_cool_down_for_long)
{
    GatewayFixture fixture;
    fixture.addGroup("head-1");
    (void)fixture.ask(path);
    refuse(fixture, "30");
    std::set<int> retryTimes;
    for (int i = 0; i < 10; ++i) {
        const auto caller = fixture.ask(path);
        cr_assert_eq(caller->status(), 503);
        retryTimes.insert(std::stoi(caller->answer_->field("come-back")));
    }
    cr_assert_geq(*retryTimes.begin(), 30000);
    cr_assert_geq(retryTimes.size(), 5);
}

Test(cooling_sessions, request_waits_for_the_end_of_a_short_cooldown)
{
    for (const auto *one : {path, plainPath}) {
        GatewayFixture fixture;
        fixture.addGroup("head-1");
        fixture.endpointRegistry_.remove(VmId("p-1"), fixture.clock_.now());
        (void)fixture.ask(one);
        refuse(fixture, "0.6");
        const auto caller = fixture.ask(one);
        fixture.pass(milliseconds(580));
        cr_assert_eq(caller->status(), 0);
        cr_assert_eq(fixture.upstream_.calls_.size(), 1);
        fixture.pass(milliseconds(60));
        serveAll(fixture);
        cr_assert(caller->isFinished_ || caller->status() == 200);
    }
}

Test(cooling_sessions, shorter_cooldown_does_not_end_a_longer_one)
{
    GatewayFixture fixture;
    fixture.addGroup("head-1");
    (void)fixture.ask(path);
    const auto first = fixture.lastCall();
    (void)fixture.ask(path);
    const auto second = fixture.lastCall();
    first->connect();
    second->connect();
    first->head(503, {{"refused", "1"}, {"cooldown", "30"}});
    second->head(503, {{"refused", "1"}, {"cooldown", "1"}});
    fixture.pass(seconds(4));
    (void)fixture.ask(path);
    cr_assert_eq(sendsTo(fixture, "head-1"), 2);
}

Test(cooling_sessions, endpoint_that_started_again_owes_nothing_to_the_earlier_cooldown)
{
    GatewayFixture fixture;
    fixture.addGroup("head-1");
    (void)fixture.ask(path);
    refuse(fixture, "30");
    const auto before = *fixture.endpointRegistry_.find(VmId("head-1"));
    auto restarted = before;
    restarted.startedAt_ += 1;
    fixture.endpointRegistry_.put(restarted);
    fixture.gateway_.endpointRestarted(before.incarnation(), before.address_);
    (void)fixture.ask(path);
    cr_assert_eq(sendsTo(fixture, "head-1"), 2);
}

Test(cooling_sessions, endpoint_that_names_an_absurd_cooldown_is_used_again_some_day)
{
    GatewayFixture fixture;
    fixture.addGroup("head-1");
    (void)fixture.ask(path);
    refuse(fixture, "1e9");
    fixture.clock_.advance(std::chrono::hours(1) + seconds(1));
    fixture.pass(milliseconds(40));
    (void)fixture.ask(path);
    cr_assert_eq(sendsTo(fixture, "head-1"), 2);
}

Test(cooling_sessions, refused_request_goes_to_another_group_at_once)
{
    GatewayFixture fixture;
    fixture.addGroup("head-1");
    (void)fixture.ask(path);
    fixture.addGroup("head-2");
    refuse(fixture, "3");
    cr_assert_eq(fixture.lastCall()->field("endpoint"), "head-2");
}

Test(leaving_sessions, endpoint_that_says_it_leaves_gets_nothing_more)
{
    for (const std::uint32_t status : {200U, 500U}) {
        GatewayFixture fixture;
        fixture.addGroup("head-1");
        (void)fixture.ask(path);
        const auto call = fixture.lastCall();
        (void)fixture.ask(path);
        const auto connecting = fixture.lastCall();
        call->connect();
        call->head(status, {{"seal", "s"}, {"leaving", "1"}});
        cr_assert_not(connecting->connect());
        fixture.pass(seconds(1));
        (void)fixture.ask(path);
        cr_assert_eq(sendsTo(fixture, "head-1"), 2);
    }
}

Test(leaving_sessions, stream_of_an_endpoint_that_leaves_goes_on)
{
    GatewayFixture fixture;
    fixture.addGroup("head-1");
    const auto caller = fixture.ask(path);
    const auto call = fixture.lastCall();
    call->connect();
    call->head(200, {{"seal", "s"}, {"leaving", "1"}});
    call->data("id: 1\ndata: x\n\n");
    fixture.pass(milliseconds(200));
    cr_assert_not(call->isDropped());
    call->end("");
    cr_assert(caller->isFinished_);
}

Test(leaving_sessions, plain_endpoint_that_leaves_is_not_taken_for_want_of_others)
{
    GatewayFixture fixture;
    fixture.endpointRegistry_.remove(VmId("p-1"), fixture.clock_.now());
    (void)fixture.ask(plainPath);
    fixture.lastCall()->connect();
    fixture.lastCall()->head(200, {{"seal", "s"}, {"leaving", "1"}});
    fixture.lastCall()->end("x");
    cr_assert_eq(fixture.ask(plainPath)->status(), 503);
    cr_assert_eq(sendsTo(fixture, "p-0"), 1);
}

Test(leaving_sessions, endpoint_that_says_it_leaves_stays_so_when_its_entry_is_listed_again)
{
    GatewayFixture fixture;
    fixture.addGroup("head-1");
    auto &notices = fixture.gateway_.notices();
    fixture.endpointRegistry_.setLeavingCheck(
        [&notices](const EndpointIncarnation &endpoint) { return notices.isLeaving(endpoint); });
    notices.onLeaving(
        [&fixture](const EndpointIncarnation &one) { fixture.endpointRegistry_.markLeaving(one); });
    (void)fixture.ask(path);
    fixture.lastCall()->connect();
    fixture.lastCall()->head(200, {{"seal", "s"}, {"leaving", "1"}});
    cr_assert(fixture.endpointRegistry_.find(VmId("head-1"))->isDraining_);
    fixture.addGroup("head-1");
    cr_assert(fixture.endpointRegistry_.find(VmId("head-1"))->isDraining_);
    auto restarted = *fixture.endpointRegistry_.find(VmId("head-1"));
    restarted.startedAt_ += 1;
    restarted.isDraining_ = false;
    fixture.endpointRegistry_.put(restarted);
    cr_assert_not(fixture.endpointRegistry_.find(VmId("head-1"))->isDraining_);
}

Test(advised_sessions, group_that_turned_peers_away_is_tried_last)
{
    GatewayFixture fixture;
    fixture.addGroup("head-1");
    fixture.addGroup("head-2");
    const EndpointIncarnation deprioritized{VmId("head-1"), 0};
    fixture.gateway_.notices().take({{deprioritized, seconds(3)}}, fixture.clock_.now());
    for (int i = 0; i < 3; ++i)
        (void)fixture.ask(path);
    cr_assert_eq(sendsTo(fixture, "head-1"), 0);
    fixture.endpointRegistry_.remove(VmId("head-2"), fixture.clock_.now());
    (void)fixture.ask(path);
    cr_assert_eq(sendsTo(fixture, "head-1"), 1);
}

Test(advised_sessions, group_that_turned_peers_away_takes_what_the_others_have_no_room_for)
{
    GatewayFixture fixture;
    fixture.addGroup("head-1");
    fixture.addGroup("head-2");
    const EndpointIncarnation deprioritized{VmId("head-1"), 0};
    fixture.gateway_.notices().take({{deprioritized, seconds(3)}}, fixture.clock_.now());
    for (int i = 0; i < 6; ++i)
        (void)fixture.ask(path);
    fixture.pass(milliseconds(300));
    cr_assert_geq(sendsTo(fixture, "head-1"), 1);
}

Test(cooling_sessions, held_plain_request_is_tried_though_no_group_has_room)
{
    GatewayFixture fixture;
    fixture.endpointRegistry_.remove(VmId("p-1"), fixture.clock_.now());
    (void)fixture.ask(plainPath);
    refuse(fixture, "0.6");
    (void)fixture.ask(path);
    fixture.pass(milliseconds(640));
    cr_assert_eq(sendsTo(fixture, "p-0"), 2);
}
