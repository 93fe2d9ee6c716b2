// Tests event streams: forwarding, resumption after the last complete event, and that incomplete
// streams are never reported as finished.
#include "support/gateway_fixture.hpp"

#include <cardamombay/serving/event_scanner.hpp>

#include <set>

#include <criterion/criterion.h>

using namespace cardamombay;
using namespace cardamombay::serving;
using namespace cardamombay::support;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

constexpr std::string_view first = "id: 1\ndata: a\n\n";
constexpr std::string_view second = "id: 2\ndata: b\n\n";

/// Starts a stream and delivers its first event.
std::shared_ptr<CallerView> begin(GatewayFixture &fixture, const std::string &path)
{
    auto caller = fixture.ask(path);
    fixture.lastCall()->connect();
    fixture.lastCall()->sealedHead();
    fixture.lastCall()->data(first);
    return caller;
}

} // namespace

Test(event_scanner, finds_whole_events_and_their_ids)
{
    const auto whole = scanCompleteEvents("id: 3\ndata: x\n\nid: 4\nda");
    cr_assert_eq(whole.size_, 15);
    cr_assert_eq(whole.count_, 1);
    cr_assert_eq(*whole.lastId_, 3);
    cr_assert_eq(scanCompleteEvents("id:9\r\ndata: x\r\n\r\n").size_, 17);
    cr_assert_eq(*scanCompleteEvents("id:9\r\ndata: x\r\n\r\n").lastId_, 9);
    cr_assert_eq(scanCompleteEvents("data: x\n").size_, 0);
    cr_assert_not(scanCompleteEvents("data: x\n\n").lastId_);
}

Test(streams, whole_stream_is_passed_on_and_ended)
{
    GatewayFixture fixture;
    fixture.addGroup("g-0");
    const auto caller = begin(fixture, "/stream/1");
    cr_assert_eq(caller->streamed_, first);
    cr_assert(caller->streamHead_);
    fixture.lastCall()->end(second);
    cr_assert_eq(caller->streamed_, std::string(first) + std::string(second));
    cr_assert(caller->isFinished_);
}

Test(streams, stream_without_events_is_answered_with_its_head)
{
    GatewayFixture fixture;
    fixture.addGroup("g-0");
    const auto caller = fixture.ask("/stream/1");
    fixture.lastCall()->connect();
    fixture.lastCall()->sealedHead();
    fixture.lastCall()->end("");
    cr_assert(caller->streamHead_);
    cr_assert(caller->isFinished_);
}

Test(streams, broken_stream_goes_on_at_another_group_behind_the_last_whole_event)
{
    GatewayFixture fixture;
    fixture.addGroup("g-0");
    fixture.addGroup("g-1");
    const auto caller = begin(fixture, "/stream/1");
    fixture.lastCall()->data("id: 2\nda");
    fixture.lastCall()->fail(true);
    cr_assert_eq(fixture.upstream_.calls_.size(), 2);
    cr_assert_eq(fixture.lastCall()->field("last"), "1");
    cr_assert_neq(fixture.upstream_.calls_[0]->field("endpoint"),
                  fixture.lastCall()->field("endpoint"));
    fixture.lastCall()->connect();
    fixture.lastCall()->sealedHead();
    fixture.lastCall()->end(second);
    cr_assert_eq(caller->streamed_, std::string(first) + std::string(second));
    cr_assert(caller->isFinished_);
}

Test(streams, stream_that_broke_before_its_first_event_has_the_head_of_the_one_that_served)
{
    GatewayFixture fixture;
    fixture.addGroup("g-0");
    fixture.addGroup("g-1");
    const auto caller = fixture.ask("/stream/1");
    fixture.lastCall()->connect();
    fixture.lastCall()->head(200, {{"seal", "first"}});
    fixture.lastCall()->fail(true);
    fixture.lastCall()->connect();
    fixture.lastCall()->head(200, {{"seal", "second"}});
    fixture.lastCall()->end(first);
    cr_assert_eq(caller->streamHead_->field("seal"), "second");
}

Test(streams, resumed_stream_keeps_the_head_that_its_caller_has)
{
    GatewayFixture fixture;
    fixture.addGroup("g-0");
    fixture.addGroup("g-1");
    const auto caller = fixture.ask("/stream/1");
    fixture.lastCall()->connect();
    fixture.lastCall()->head(200, {{"seal", "first"}});
    fixture.lastCall()->data(first);
    fixture.lastCall()->fail(true);
    fixture.lastCall()->connect();
    fixture.lastCall()->head(200, {{"seal", "second"}});
    fixture.lastCall()->end(second);
    cr_assert_eq(caller->streamHead_->field("seal"), "first");
}

Test(streams, stream_that_may_not_be_resumed_is_cut_and_never_ended_as_whole)
{
    GatewayFixture fixture;
    fixture.addGroup("g-0");
    fixture.addGroup("g-1");
    const auto caller = begin(fixture, "/raw/1");
    fixture.lastCall()->fail(true);
    cr_assert_eq(fixture.upstream_.calls_.size(), 1);
    cr_assert(caller->isAborted_);
    cr_assert_not(caller->isFinished_);
}

Test(streams, stream_that_ends_with_its_connection_before_an_event_is_not_whole)
{
    GatewayFixture fixture;
    fixture.addGroup("head-1");
    fixture.addGroup("head-2");
    const auto caller = fixture.ask("/stream/1");
    fixture.lastCall()->connect();
    net::HttpResponse head{200, {{"seal", "s"}}, {}, true};
    fixture.lastCall()->listener_->onHead(head);
    fixture.lastCall()->end("");
    cr_assert_not(caller->isFinished_);
    cr_assert_eq(fixture.upstream_.calls_.size(), 2);
    fixture.lastCall()->connect();
    fixture.lastCall()->listener_->onHead(head);
    fixture.lastCall()->end("id: 1\ndata: x\n\n");
    cr_assert(caller->isFinished_);
}

Test(streams, stream_that_ends_inside_an_event_is_not_whole)
{
    GatewayFixture fixture;
    fixture.addGroup("g-0");
    const auto caller = begin(fixture, "/raw/1");
    fixture.lastCall()->end("id: 2\nda");
    cr_assert_eq(caller->streamed_, first);
    cr_assert(caller->isAborted_);
    cr_assert_not(caller->isFinished_);
}

Test(streams, group_that_answers_with_an_error_has_run_the_request)
{
    GatewayFixture fixture;
    for (const auto *head : {"g-0", "g-1", "g-2"})
        fixture.addGroup(head);
    const auto caller = fixture.ask("/stream/1");
    for (int i = 0; i < 2; ++i) {
        fixture.lastCall()->connect();
        fixture.lastCall()->head(500, {{"seal", "s"}});
    }
    fixture.lastCall()->end("");
    cr_assert_eq(fixture.upstream_.calls_.size(), 2);
    cr_assert_eq(caller->status(), 500);
}

Test(streams, group_that_answers_with_an_error_is_avoided_for_a_while)
{
    GatewayFixture fixture;
    fixture.addGroup("g-0");
    fixture.ask("/stream/1");
    fixture.lastCall()->connect();
    fixture.lastCall()->head(500, {{"seal", "s"}});
    cr_assert_not(fixture.loadTracker_.isUsable(VmId("g-0"), fixture.clock_.now()));
}

Test(streams, silent_group_is_left_and_reported_as_silent)
{
    GatewayFixture fixture;
    fixture.addGroup("g-0");
    fixture.addGroup("g-1");
    begin(fixture, "/stream/1");
    const auto stalled = fixture.lastCall()->field("endpoint");
    fixture.pass(seconds(1));
    cr_assert_eq(fixture.upstream_.calls_.size(), 2);
    cr_assert(fixture.upstream_.calls_[0]->isDropped());
    cr_assert_eq(fixture.loadTracker_.locallyStalled(), std::vector<VmId>{VmId(stalled)});
}

Test(streams, silence_before_the_first_event_counts_as_a_run)
{
    GatewayFixture fixture;
    for (const auto *head : {"g-0", "g-1", "g-2"})
        fixture.addGroup(head);
    fixture.ask("/stream/1");
    for (int i = 0; i < 2; ++i) {
        fixture.lastCall()->connect();
        fixture.pass(milliseconds(1100));
    }
    cr_assert_eq(fixture.upstream_.calls_.size(), 2);
}

Test(streams, silent_group_is_kept_while_no_other_has_room)
{
    GatewayFixture fixture;
    fixture.addGroup("g-0");
    const auto caller = begin(fixture, "/stream/1");
    fixture.pass(seconds(1));
    cr_assert_eq(fixture.upstream_.calls_.size(), 1);
    cr_assert_not(fixture.lastCall()->isDropped());
    fixture.lastCall()->end(second);
    cr_assert_eq(caller->streamed_, std::string(first) + std::string(second));
    cr_assert(caller->isFinished_);
}

Test(streams, silent_group_is_kept_while_the_fleet_has_no_repeats_left)
{
    GatewayFixture fixture;
    fixture.addGroup("g-0");
    fixture.addGroup("g-1");
    serving::GatewayBounds bounds;
    bounds.retryShare_ = 0;
    bounds.retryReserve_ = 0;
    fixture.gateway_.setBounds(bounds);
    const auto caller = begin(fixture, "/stream/1");
    fixture.pass(seconds(1));
    cr_assert_eq(fixture.upstream_.calls_.size(), 1);
    cr_assert_not(caller->isAborted_);
    fixture.lastCall()->end(second);
    cr_assert(caller->isFinished_);
}

Test(streams, broken_stream_without_repeats_does_not_hold_back_those_behind_it)
{
    GatewayFixture fixture;
    fixture.addGroup("g-0");
    serving::GatewayBounds bounds;
    bounds.retryShare_ = 0;
    bounds.retryReserve_ = 0;
    fixture.gateway_.setBounds(bounds);
    const auto broken = begin(fixture, "/stream/1");
    fixture.lastCall()->fail(true);
    fixture.endpointRegistry_.remove(VmId("g-0-member"), fixture.clock_.now());
    fixture.ask("/stream/2");
    fixture.addGroup("g-1");
    fixture.pass(milliseconds(40));
    cr_assert_eq(fixture.upstream_.calls_.size(), 2);
    cr_assert_not(broken->isAborted_);
}

Test(streams, endpoint_is_not_blamed_for_a_pause_of_the_entry_vm)
{
    GatewayFixture fixture;
    fixture.addGroup("g-0");
    fixture.addGroup("g-1");
    begin(fixture, "/stream/1");
    fixture.pass(milliseconds(40));
    fixture.clock_.jump(seconds(2));
    fixture.pass(milliseconds(40));
    cr_assert_eq(fixture.upstream_.calls_.size(), 1);
    cr_assert(fixture.loadTracker_.locallyStalled().empty());
}

/// A loaded machine pauses the process again and again, each time before the stall is detected.
Test(streams, silent_endpoint_is_detected_although_the_entry_vm_is_paused_again_and_again)
{
    GatewayFixture fixture;
    fixture.addGroup("g-0");
    fixture.addGroup("g-1");
    begin(fixture, "/stream/1");
    for (int i = 0; i < 20; ++i) {
        fixture.pass(milliseconds(100));
        fixture.clock_.jump(milliseconds(130));
    }
    fixture.pass(milliseconds(40));
    cr_assert_eq(fixture.upstream_.calls_.size(), 2);
    cr_assert_not(fixture.loadTracker_.locallyStalled().empty());
}

Test(streams, silent_endpoint_is_detected_although_each_sweep_comes_late)
{
    GatewayFixture fixture;
    fixture.addGroup("g-0");
    fixture.addGroup("g-1");
    begin(fixture, "/stream/1");
    for (int i = 0; i < 30; ++i) {
        fixture.clock_.jump(milliseconds(130));
        fixture.pass(milliseconds(20));
    }
    cr_assert_eq(fixture.upstream_.calls_.size(), 2);
}

Test(streams, group_whose_other_streams_get_on_is_not_silent)
{
    GatewayFixture fixture;
    fixture.addGroup("g-0");
    begin(fixture, "/stream/1");
    begin(fixture, "/stream/2");
    for (int i = 0; i < 10; ++i) {
        fixture.pass(milliseconds(100));
        fixture.upstream_.calls_[1]->data(second);
    }
    cr_assert_eq(fixture.upstream_.calls_.size(), 2);
    cr_assert(fixture.loadTracker_.locallyStalled().empty());
}

Test(streams, request_without_room_is_held_and_goes_when_there_is_room)
{
    GatewayFixture fixture;
    const auto caller = fixture.ask("/stream/1");
    cr_assert_eq(fixture.upstream_.calls_.size(), 0);
    cr_assert_not(caller->answer_);
    fixture.pass(milliseconds(200));
    fixture.addGroup("g-0");
    fixture.pass(milliseconds(40));
    cr_assert_eq(fixture.upstream_.calls_.size(), 1);
}

Test(streams, stream_that_broke_late_waits_for_room_before_it_is_given_up)
{
    GatewayFixture fixture;
    fixture.addGroup("g-0");
    const auto caller = begin(fixture, "/stream/1");
    for (int i = 2; i < 20; ++i) {
        fixture.pass(milliseconds(100));
        const auto event = "id: " + std::to_string(i) + "\ndata: x\n\n";
        fixture.lastCall()->data(event);
    }
    fixture.lastCall()->fail(true);
    fixture.pass(milliseconds(300));
    cr_assert_not(caller->isAborted_);
    fixture.addGroup("g-1");
    fixture.pass(milliseconds(40));
    cr_assert_eq(fixture.upstream_.calls_.size(), 2);
    cr_assert_eq(fixture.lastCall()->field("last"), "19");
}

Test(streams, request_held_in_vain_is_refused_before_its_caller_leaves)
{
    GatewayFixture fixture;
    const auto caller = fixture.ask("/stream/1");
    fixture.pass(milliseconds(1900));
    cr_assert_eq(caller->status(), 503);
    cr_assert_neq(caller->answer_->field("come-back"), "");
}

Test(streams, group_with_a_missing_member_gets_nothing)
{
    GatewayFixture fixture;
    fixture.addGroup("g-0");
    fixture.endpointRegistry_.remove(VmId("g-0-member"), fixture.clock_.now());
    fixture.ask("/stream/1");
    cr_assert_eq(fixture.upstream_.calls_.size(), 0);
}

Test(streams, group_that_a_connection_leads_to_is_preferred_while_it_is_as_free)
{
    GatewayFixture fixture;
    fixture.clock_.advance(seconds(1));
    std::uint16_t port = 100;
    for (const auto *head : {"g-0", "g-1", "g-2", "g-3"}) {
        fixture.addGroup(head);
        auto endpoint = *fixture.endpointRegistry_.find(VmId(head));
        endpoint.address_.port_ = port++;
        fixture.endpointRegistry_.put(endpoint);
    }
    const auto kept = fixture.endpointRegistry_.find(VmId("g-2"))->address_;
    fixture.upstream_.unused_ = {kept};
    fixture.ask("/stream/1");
    cr_assert(fixture.lastCall()->request_.address_ == kept);
    // Once its load outweighs the cost of a new connection, other groups are used.
    std::set<std::string> used;
    for (int i = 0; i < 12; ++i) {
        fixture.ask("/stream/1");
        used.insert(fixture.lastCall()->field("endpoint"));
    }
    cr_assert_gt(used.size(), 1);
}
