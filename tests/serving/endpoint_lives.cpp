// Tests endpoints that restart under the same id, crash or stall.
#include "support/gateway_fixture.hpp"

#include <cardamombay/serving/endpoint_registry.hpp>

#include <criterion/criterion.h>

using namespace cardamombay;
using namespace cardamombay::serving;
using namespace cardamombay::support;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

const TimePoint start{seconds(100)};

Endpoint withStart(Endpoint endpoint, std::uint64_t startedAt)
{
    endpoint.startedAt_ = startedAt;
    return endpoint;
}

/// A group's engine that was started at \p startedAt.
Endpoint member(std::uint64_t startedAt, MemberState state = MemberState::Ready)
{
    return withStart(engineIn("i", "d", GroupName("m.1"), 1, 0, state), startedAt);
}

} // namespace

Test(endpoint_book, new_life_has_none_of_what_the_earlier_one_had)
{
    EndpointRegistry endpointRegistry;
    std::vector<std::uint64_t> earlier;
    endpointRegistry.onRestarted(
        [&](const Endpoint &before) { earlier.push_back(before.startedAt_); });
    endpointRegistry.put(member(5));
    cr_assert_eq(endpointRegistry.find(VmId("i"))->model_, ModelName("m"));
    endpointRegistry.put(withStart(spareEngine("i", "d"), 6));
    cr_assert(endpointRegistry.find(VmId("i"))->model_.isEmpty());
    cr_assert_not(endpointRegistry.find(VmId("i"))->membership_);
    cr_assert_eq(earlier.size(), 1);
    cr_assert_eq(earlier.front(), 5);
}

Test(endpoint_book, news_of_an_earlier_life_change_nothing)
{
    EndpointRegistry endpointRegistry;
    endpointRegistry.put(withStart(spareEngine("i", "d"), 6));
    const auto revision = endpointRegistry.revision();
    endpointRegistry.put(member(5));
    cr_assert_eq(endpointRegistry.revision(), revision);
    cr_assert_not(endpointRegistry.find(VmId("i"))->membership_);
    endpointRegistry.remove(VmId("i"), start);
    endpointRegistry.put(member(5));
    cr_assert_null(endpointRegistry.find(VmId("i")));
}

Test(endpoint_book, endpoint_that_was_gone_in_between_is_told_apart_too)
{
    EndpointRegistry endpointRegistry;
    int restarts = 0;
    endpointRegistry.onRestarted([&](const Endpoint & /*before*/) { ++restarts; });
    endpointRegistry.put(member(5));
    endpointRegistry.remove(VmId("i"), start);
    endpointRegistry.put(withStart(spareEngine("i", "d"), 6));
    cr_assert_eq(restarts, 1);
    cr_assert(endpointRegistry.find(VmId("i"))->model_.isEmpty());
    // The same incarnation, listed again after a store outage.
    endpointRegistry.remove(VmId("i"), start);
    endpointRegistry.put(withStart(spareEngine("i", "d"), 6));
    cr_assert_eq(restarts, 1);
    cr_assert_not_null(endpointRegistry.find(VmId("i")));
}

/// Guards against failures that are forgotten with each change of an entry, and against failures of
/// an earlier group that count against the engine's next one.
Test(endpoint_book, change_of_the_group_is_told_once)
{
    EndpointRegistry endpointRegistry;
    int changes = 0;
    endpointRegistry.onRegrouped([&](const VmId & /*endpoint*/) { ++changes; });
    const auto put = [&](const char *group, std::uint64_t epoch, MemberState state) {
        endpointRegistry.put(engineIn("i", "d", GroupName(group), epoch, 0, state));
    };
    put("m.1", 1, MemberState::Joining);
    cr_assert_eq(changes, 0);
    for (const auto state : {MemberState::Ready, MemberState::Open, MemberState::Closing})
        put("m.1", 1, state);
    endpointRegistry.put(spareEngine("i", "d"));
    cr_assert_eq(changes, 0);
    put("m.2", 2, MemberState::Joining);
    put("m.2", 2, MemberState::Open);
    cr_assert_eq(changes, 1);
    put("m.2", 3, MemberState::Open);
    cr_assert_eq(changes, 2);
}

/// Guards against an engine that breaks requests in each group that it joins and needs two broken
/// attempts in each.
Test(load_board, one_more_broken_attempt_in_the_next_group_leads_to_avoidance)
{
    LoadTracker loadTracker;
    const VmId engine("i");
    const auto breakOne = [&] {
        const auto send = loadTracker.started(engine, 0, start);
        loadTracker.broke(engine, send, start);
        loadTracker.ended(engine, send);
    };
    breakOne();
    breakOne();
    const auto older = loadTracker.started(engine, 0, start);
    cr_assert(loadTracker.isBreaking(engine, start));
    loadTracker.regrouped(engine);
    cr_assert_not(loadTracker.isBreaking(engine, start));
    cr_assert(loadTracker.locallyFailing(start).empty());
    // It was sent to the earlier group.
    loadTracker.broke(engine, older, start);
    cr_assert_not(loadTracker.isBreaking(engine, start));
    breakOne();
    cr_assert(loadTracker.isBreaking(engine, start));
    loadTracker.ended(engine, older);
}

Test(load_board, new_life_has_no_failures_and_nothing_to_read)
{
    LoadTracker loadTracker;
    const VmId engine("i");
    loadTracker.started(engine, 5000, start);
    loadTracker.stalled(engine, start);
    cr_assert_gt(loadTracker.pendingPromptTokens(engine, 1000, start), 0);
    loadTracker.restarted(engine, start);
    cr_assert(loadTracker.isUsable(engine, start));
    cr_assert(loadTracker.locallyStalled().empty());
    cr_assert_eq(loadTracker.pendingPromptTokens(engine, 1000, start), 0);
    // The request is still in progress.
    cr_assert_eq(loadTracker.ownRequests(engine), 1);
    loadTracker.ended(engine);
    cr_assert_eq(loadTracker.ownRequests(engine), 0);
}

Test(session, stream_at_an_engine_that_starts_again_goes_on_elsewhere_at_once)
{
    GatewayFixture fixture;
    fixture.addGroup("h1");
    fixture.addGroup("h2");
    const auto caller = fixture.ask("/stream/x");
    const auto first = fixture.lastCall();
    first->connect();
    first->sealedHead();
    first->data("id: 1\ndata: x\n\n");
    const VmId lost(first->request_.address_ == fixture.endpointRegistry_.find(VmId("h1"))->address_
                        ? "h1"
                        : "h2");
    fixture.gateway_.endpointRestarted({lost, 0}, first->request_.address_);
    cr_assert(first->isDropped());
    cr_assert_eq(fixture.upstream_.calls_.size(), 2);
    const auto second = fixture.lastCall();
    second->connect();
    second->sealedHead();
    second->data("id: 2\ndata: y\n\n");
    second->end("");
    cr_assert(caller->isFinished_);
}

Test(session, request_that_may_run_once_is_not_sent_again_when_its_endpoint_starts_again)
{
    GatewayFixture fixture;
    const auto caller = fixture.ask("/once/x");
    const auto call = fixture.lastCall();
    call->connect();
    for (const auto *id : {"p-0", "p-1"})
        fixture.gateway_.endpointRestarted({VmId(id), 0}, call->request_.address_);
    cr_assert_eq(fixture.upstream_.calls_.size(), 1);
    cr_assert_eq(caller->status(), 502);
}

Test(load_board, endpoint_that_others_hear_from_does_not_stand_still)
{
    LoadTracker loadTracker;
    const VmId engine("i");
    loadTracker.started(engine, 10, start);
    loadTracker.stalled(engine, start);
    cr_assert_eq(loadTracker.stalledEverywhere(start), std::vector<VmId>{engine});
    LoadTracker::PeerLoad peer;
    peer.at_ = start;
    peer.heard_ = {{engine, 3}};
    loadTracker.setPeerLoad("p", peer);
    cr_assert(loadTracker.stalledEverywhere(start + milliseconds(100)).empty());
    // It counts as stalled once the peers receive nothing either; outdated reports are ignored.
    peer.heard_.clear();
    peer.at_ = start + milliseconds(200);
    auto old = peer;
    loadTracker.setPeerLoad("p", peer);
    cr_assert_eq(loadTracker.stalledEverywhere(start + milliseconds(200)).size(), 1);
    old.at_ = start;
    old.heard_ = {{engine, 3}};
    loadTracker.setPeerLoad("q", old);
    cr_assert_eq(loadTracker.stalledEverywhere(start + milliseconds(600)).size(), 1);
}

Test(load_board, endpoint_is_heard_while_it_sends_to_requests_that_are_there)
{
    LoadTracker loadTracker;
    const VmId engine("i");
    loadTracker.started(engine, 10, start);
    cr_assert(loadTracker.locallyActive(start).empty());
    loadTracker.progressed(engine, start);
    cr_assert_eq(loadTracker.locallyActive(start + milliseconds(200)).at(engine), 1);
    cr_assert(loadTracker.locallyActive(start + milliseconds(300)).empty());
    loadTracker.progressed(engine, start + milliseconds(300));
    loadTracker.ended(engine);
    cr_assert(loadTracker.locallyActive(start + milliseconds(300)).empty());
}

/// Guards against sending requests to a crashed endpoint, which stays listed for 3.6 s, until each
/// entry VM has been refused a connection. Four such attempts fail a request.
Test(endpoint_lives, nothing_goes_to_an_endpoint_that_has_ended_also_if_a_peer_saw_it)
{
    GatewayFixture fixture;
    fixture.addGroup("head-1");
    PoisonUpdate update;
    update.crashes_[{VmId("head-1"), 0}] = {{RequestFingerprint(7), true}};
    fixture.gateway_.takePoisonUpdate(update);
    (void)fixture.ask("/stream/8");
    cr_assert(fixture.upstream_.calls_.empty());
    // The next incarnation is usable.
    auto again = engineIn("head-1", "d", GroupName("m.head-1"), 1, 0, MemberState::Open);
    again.startedAt_ = 5;
    fixture.endpointRegistry_.put(again);
    fixture.pass(milliseconds(100));
    cr_assert_eq(fixture.upstream_.calls_.size(), 1);
}
