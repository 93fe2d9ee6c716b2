// Endpoints that start again under their id, and entries that somebody else has spoiled.
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

Endpoint bornAt(Endpoint endpoint, std::uint64_t born)
{
    endpoint.startedAt_ = born;
    return endpoint;
}

/// An engine of a group that has begun at \p born.
Endpoint member(std::uint64_t born, MemberState state = MemberState::Ready)
{
    return bornAt(engineIn("i", "d", GroupName("m.1"), 1, 0, state), born);
}

} // namespace

Test(endpoint_book, new_life_has_none_of_what_the_earlier_one_had)
{
    EndpointRegistry book;
    std::vector<std::uint64_t> earlier;
    book.onRestarted([&](const Endpoint &before) { earlier.push_back(before.startedAt_); });
    book.put(member(5));
    cr_assert_eq(book.find(VmId("i"))->model_, ModelName("m"));
    book.put(bornAt(spareEngine("i", "d"), 6));
    cr_assert(book.find(VmId("i"))->model_.isEmpty());
    cr_assert_not(book.find(VmId("i"))->membership_);
    cr_assert_eq(earlier.size(), 1);
    cr_assert_eq(earlier.front(), 5);
}

Test(endpoint_book, news_of_an_earlier_life_change_nothing)
{
    EndpointRegistry book;
    book.put(bornAt(spareEngine("i", "d"), 6));
    const auto revision = book.revision();
    book.put(member(5));
    cr_assert_eq(book.revision(), revision);
    cr_assert_not(book.find(VmId("i"))->membership_);
    book.remove(VmId("i"), start);
    book.put(member(5));
    cr_assert_null(book.find(VmId("i")));
}

Test(endpoint_book, endpoint_that_was_gone_in_between_is_told_apart_too)
{
    EndpointRegistry book;
    int restarts = 0;
    book.onRestarted([&](const Endpoint & /*before*/) { ++restarts; });
    book.put(member(5));
    book.remove(VmId("i"), start);
    book.put(bornAt(spareEngine("i", "d"), 6));
    cr_assert_eq(restarts, 1);
    cr_assert(book.find(VmId("i"))->model_.isEmpty());
    // The same life, listed again after the store was away.
    book.remove(VmId("i"), start);
    book.put(bornAt(spareEngine("i", "d"), 6));
    cr_assert_eq(restarts, 1);
    cr_assert_not_null(book.find(VmId("i")));
}

Test(load_board, new_life_has_no_failures_and_nothing_to_read)
{
    LoadTracker board;
    const VmId engine("i");
    board.started(engine, 5000, start);
    board.stalled(engine, start);
    cr_assert_gt(board.pendingPromptTokens(engine, 1000, start), 0);
    board.restarted(engine);
    cr_assert(board.isUsable(engine, start));
    cr_assert(board.locallyStalled().empty());
    cr_assert_eq(board.pendingPromptTokens(engine, 1000, start), 0);
    // Its request has not ended yet.
    cr_assert_eq(board.ownRequests(engine), 1);
    board.ended(engine);
    cr_assert_eq(board.ownRequests(engine), 0);
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
    LoadTracker board;
    const VmId engine("i");
    board.started(engine, 10, start);
    board.stalled(engine, start);
    cr_assert_eq(board.stalledEverywhere(start), std::vector<VmId>{engine});
    LoadTracker::PeerLoad peer;
    peer.at_ = start;
    peer.heard_ = {{engine, 3}};
    board.setPeerLoad("p", peer);
    cr_assert(board.stalledEverywhere(start + milliseconds(100)).empty());
    // Once the peers hear nothing either, it does; and news that are old show nothing.
    peer.heard_.clear();
    peer.at_ = start + milliseconds(200);
    auto old = peer;
    board.setPeerLoad("p", peer);
    cr_assert_eq(board.stalledEverywhere(start + milliseconds(200)).size(), 1);
    old.at_ = start;
    old.heard_ = {{engine, 3}};
    board.setPeerLoad("q", old);
    cr_assert_eq(board.stalledEverywhere(start + milliseconds(600)).size(), 1);
}

Test(load_board, endpoint_is_heard_while_it_sends_to_requests_that_are_there)
{
    LoadTracker board;
    const VmId engine("i");
    board.started(engine, 10, start);
    cr_assert(board.locallyActive(start).empty());
    board.progressed(engine, start);
    cr_assert_eq(board.locallyActive(start + milliseconds(200)).at(engine), 1);
    cr_assert(board.locallyActive(start + milliseconds(300)).empty());
    board.progressed(engine, start + milliseconds(300));
    board.ended(engine);
    cr_assert(board.locallyActive(start + milliseconds(300)).empty());
}

/// An endpoint that had ended stayed listed for 3.6 s, and requests went there until each entry VM
/// had been refused a connection; four such sends ended a request.
Test(endpoint_lives, nothing_goes_to_an_endpoint_that_has_ended_also_if_a_peer_saw_it)
{
    GatewayFixture fixture;
    fixture.addGroup("head-1");
    PoisonNews news;
    news.crashes_[{VmId("head-1"), 0}] = {{RequestFingerprint(7), true}};
    fixture.gateway_.takePoisonNews(news);
    (void)fixture.ask("/stream/8");
    cr_assert(fixture.upstream_.calls_.empty());
    // Its next life is another matter.
    auto again = engineIn("head-1", "d", GroupName("m.head-1"), 1, 0, MemberState::Open);
    again.startedAt_ = 5;
    fixture.endpointRegistry_.put(again);
    fixture.pass(milliseconds(100));
    cr_assert_eq(fixture.upstream_.calls_.size(), 1);
}
