// Tests callers that read their streams slowly or not at all.
#include "support/paced_streams.hpp"

#include <algorithm>
#include <cstdio>

#include <criterion/criterion.h>

using namespace cardamombay;
using namespace cardamombay::serving;
using namespace cardamombay::support;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

constexpr std::size_t megabyte = std::size_t{1024} * 1024;

/// Events of one read; 16 KB.
constexpr std::size_t eventsPerRead = 16;
constexpr std::size_t readSize = eventsPerRead * pacedEventSize;

/// A bound that \p streams streams of 256 KB exceed: 87 need less than the default.
std::size_t boundFor(std::size_t streams)
{
    return std::min(BoundedCallerBuffers::defaultBound, streams * megabyte / 8);
}

/// Most bytes that BoundedCallerBuffers lets \p streams streams hold.
std::size_t mostHeld(std::size_t bound, std::size_t streams)
{
    return bound + bound / 8 + streams * readSize;
}

constexpr auto step = Gateway::sweepPeriod;

using Callers = std::vector<std::shared_ptr<PacedCaller>>;

Callers ask(PacedFixture &fixture, std::size_t count)
{
    Callers result;
    for (std::size_t i = 0; i < count; ++i)
        result.push_back(fixture.ask());
    return result;
}

/// Lets the endpoints send until all streams stand still, and returns the most bytes held.
std::size_t sendUntilPaused(PacedFixture &fixture)
{
    std::size_t most = 0;
    const auto isRead = [](const auto &call) { return call->listener_ && call->isReading_; };
    while (std::any_of(fixture.upstream_.calls_.begin(), fixture.upstream_.calls_.end(), isRead)) {
        fixture.sendAll(eventsPerRead);
        most
            = std::max(most, static_cast<std::size_t>(fixture.metrics_.callerBufferBytes_.value()));
    }
    return most;
}

/// Whether the caller has all events that its endpoint sent, once each and in order.
bool hasWhole(const PacedCaller &caller, const PacedCall &call)
{
    return caller.isFinished_ && caller.received_ == pacedEvents(1, call.nextEvent_ - 1);
}

/// Decides as the test says.
class ScriptedBuffers final : public CallerBuffers
{
public:
    [[nodiscard]] bool acceptsStreams() const override { return true; }
    [[nodiscard]] bool mayRead(std::size_t /*held*/) const override { return mayRead_; }
    void addStream() override { ++streams_; }
    void removeStream(std::size_t held) override
    {
        --streams_;
        held_ -= held;
    }
    void resize(std::size_t before, std::size_t after) override { held_ = held_ - before + after; }

    bool mayRead_ = true;
    std::size_t streams_ = 0;
    std::size_t held_ = 0;
};

} // namespace

// Guards against a stream that is never read on once its caller had 256 KB outstanding: it stood
// still until its time was over.
Test(slow_readers, stream_is_read_on_when_its_caller_reads_again)
{
    PacedFixture fixture(1, 1'000'000'000);
    const auto caller = fixture.ask();
    const auto call = fixture.upstream_.calls_.front();
    while (call->send(16))
        fixture.pass(milliseconds(20));
    const auto sent = call->nextEvent_ - 1;
    caller->readAll();
    fixture.pass(milliseconds(40));
    cr_assert(call->send(16), "after %zu events", sent);
    caller->readAll();
    cr_assert(call->end());
    caller->readAll();
    cr_assert(caller->isFinished_);
    cr_assert_eq(caller->received_, pacedEvents(1, sent + 16));
    cr_assert_eq(fixture.upstream_.calls_.size(), 1);
}

// Guards against a pause that is taken for a silent endpoint: the stream would move to another one
// and be generated anew while its caller does not read.
Test(slow_readers, pause_is_no_stall_of_the_endpoint)
{
    PacedFixture fixture(2, 1'000'000'000);
    const auto caller = fixture.ask();
    (void)sendUntilPaused(fixture);
    fixture.pass(seconds(4));
    cr_assert_eq(fixture.upstream_.calls_.size(), 1);
    cr_assert_eq(fixture.metrics_.stalls_.value(), 0);
    caller->readAll();
    const auto call = fixture.upstream_.calls_.front();
    cr_assert(call->send(eventsPerRead));
    cr_assert(call->end());
    caller->readAll();
    cr_assert(hasWhole(*caller, *call));
}

// Guards against memory that grows with the number of callers that do not read, and against bytes
// that are lost or doubled around pauses.
Test(slow_readers, bytes_held_for_many_callers_that_stop_reading_are_bounded)
{
    for (const std::size_t count : {87, 195, 400}) {
        const auto bound = boundFor(count);
        PacedFixture fixture(count, bound);
        const auto callers = ask(fixture, count);
        cr_assert_eq(fixture.upstream_.calls_.size(), count);
        const auto most = sendUntilPaused(fixture);
        std::printf("%zu callers that do not read: %zu bytes held at the most, bound %zu\n", count,
                    most, bound);
        cr_assert_geq(most, bound);
        cr_assert_leq(most, mostHeld(bound, count));
        const auto pauses = fixture.metrics_.readPauses_.value();
        cr_assert_geq(pauses, static_cast<double>(count));
        for (const auto &caller : callers)
            caller->readAll();
        fixture.pass(step);
        for (const auto &call : fixture.upstream_.calls_)
            cr_assert(call->send(eventsPerRead));
        fixture.endAll();
        for (std::size_t i = 0; i < count; ++i) {
            callers[i]->readAll();
            cr_assert(hasWhole(*callers[i], *fixture.upstream_.calls_[i]));
        }
        cr_assert_eq(fixture.metrics_.callerBufferBytes_.value(), 0);
    }
}

// Guards against callers that read a little, so that their buffers never empty, and thereby either
// exceed the bound or never get the end.
Test(slow_readers, callers_that_read_a_little_get_everything_within_the_bound)
{
    constexpr std::size_t count = 87;
    constexpr std::size_t bound = 4 * megabyte;
    PacedFixture fixture(count, bound);
    const auto callers = ask(fixture, count);
    std::size_t most = 0;
    for (int i = 0; i < 200; ++i) {
        fixture.sendAll(eventsPerRead);
        for (const auto &caller : callers)
            caller->read(3000);
        fixture.pass(step);
        most
            = std::max(most, static_cast<std::size_t>(fixture.metrics_.callerBufferBytes_.value()));
    }
    cr_assert_leq(most, mostHeld(bound, count));
    cr_assert_geq(most, bound);
    for (const auto &caller : callers)
        cr_assert_geq(caller->received_.size(), 200 * 3000 - readSize);
    for (const auto &caller : callers)
        caller->readAll();
    fixture.pass(step);
    fixture.endAll();
    cr_assert_eq(fixture.upstream_.calls_.size(), count);
    for (std::size_t i = 0; i < count; ++i) {
        callers[i]->readAll();
        cr_assert(hasWhole(*callers[i], *fixture.upstream_.calls_[i]));
    }
}

// Guards against new streams that add to a full buffer, and against refusals without a time to
// retry or after the buffers are free again.
Test(slow_readers, new_streams_are_refused_until_half_of_the_bound_is_free)
{
    constexpr std::size_t count = 87;
    PacedFixture fixture(count + 2, 4 * megabyte);
    const auto callers = ask(fixture, count);
    (void)sendUntilPaused(fixture);
    const auto refused = fixture.ask();
    cr_assert(refused->refusal_);
    cr_assert_eq(refused->refusal_->status_, 503);
    cr_assert_eq(refused->refusal_->field("come-back"), "60"); // 0.2 of the goal of 300 ms.
    cr_assert_eq(fixture.metrics_.callerBufferRefusals_.value(), 1);
    cr_assert_eq(fixture.upstream_.calls_.size(), count);
    std::size_t left = 0;
    while (fixture.metrics_.callerBufferBytes_.value() > 2 * megabyte) {
        cr_assert(fixture.ask()->refusal_);
        callers[left++]->leave();
    }
    cr_assert_not(fixture.ask()->refusal_);
    cr_assert_geq(left, count / 3);
}

// Guards against bytes that stay counted after their caller has left: the bound would be used up by
// nobody.
Test(slow_readers, caller_that_leaves_frees_its_part)
{
    constexpr std::size_t count = 87;
    PacedFixture fixture(count, 4 * megabyte);
    const auto callers = ask(fixture, count);
    (void)sendUntilPaused(fixture);
    auto held = fixture.metrics_.callerBufferBytes_.value();
    for (const auto &caller : callers) {
        caller->leave();
        const auto now = fixture.metrics_.callerBufferBytes_.value();
        cr_assert_lt(now, held);
        held = now;
    }
    cr_assert_eq(held, 0);
    cr_assert_eq(fixture.gateway_.inFlight(), 0);
}

// Guards against bytes that stay counted when the entry VM ends a stream, here at the deadline.
Test(slow_readers, stream_that_ends_at_its_deadline_frees_its_part)
{
    PacedFixture fixture(3, 4 * megabyte);
    const auto callers = ask(fixture, 3);
    (void)sendUntilPaused(fixture);
    cr_assert_gt(fixture.metrics_.callerBufferBytes_.value(), 0);
    fixture.pass(seconds(6));
    for (const auto &caller : callers)
        cr_assert(caller->isAborted_);
    cr_assert_eq(fixture.metrics_.callerBufferBytes_.value(), 0);
}

// Guards against callers that stop reading and thereby slow down those that read.
Test(slow_readers, callers_that_read_are_not_slowed_down)
{
    for (const std::size_t count : {87, 195}) {
        PacedFixture fixture(count + 1, boundFor(count));
        const auto reader = fixture.ask();
        const auto call = fixture.upstream_.calls_.front();
        const auto others = ask(fixture, count);
        (void)sendUntilPaused(fixture);
        reader->readAll();
        cr_assert_not(fixture.gateway_.callerBuffers().acceptsStreams());
        const auto before = reader->received_.size();
        constexpr std::size_t steps = 100;
        for (std::size_t i = 1; i <= steps; ++i) {
            fixture.sendAll(eventsPerRead);
            reader->readAll();
            cr_assert_eq(reader->received_.size(), before + i * readSize, "step %zu", i);
            fixture.pass(step);
        }
        cr_assert_not(fixture.gateway_.callerBuffers().acceptsStreams());
        cr_assert(call->end());
        reader->readAll();
        cr_assert(hasWhole(*reader, *call));
    }
}

// Guards against events that are lost or doubled when the endpoint of a paused stream fails and the
// stream goes on at another one.
Test(slow_readers, paused_stream_that_moves_to_another_endpoint_stays_whole)
{
    PacedFixture fixture(2, 4 * megabyte);
    const auto caller = fixture.ask();
    (void)sendUntilPaused(fixture);
    fixture.upstream_.calls_.front()->fail();
    cr_assert_eq(fixture.upstream_.calls_.size(), 2);
    const auto call = fixture.upstream_.calls_.back();
    cr_assert(call->accept());
    caller->readAll();
    cr_assert(call->send(eventsPerRead));
    cr_assert(call->end());
    caller->readAll();
    cr_assert(hasWhole(*caller, *call));
}

// Guards against streams that read against the decision of CallerBuffers, or never again after it.
Test(slow_readers, streams_follow_the_decisions_of_the_buffers)
{
    ScriptedBuffers buffers;
    PacedFixture fixture(1, 0, &buffers);
    const auto caller = fixture.ask();
    const auto call = fixture.upstream_.calls_.front();
    buffers.mayRead_ = false;
    cr_assert(call->send(1));
    cr_assert_eq(buffers.streams_, 1);
    cr_assert_eq(buffers.held_, pacedEventSize);
    caller->readAll();
    fixture.pass(10 * step);
    cr_assert_not(call->isReading_);
    cr_assert_eq(buffers.held_, 0);
    buffers.mayRead_ = true;
    fixture.pass(step);
    cr_assert(call->send(1));
    cr_assert(call->end());
    caller->readAll();
    cr_assert(hasWhole(*caller, *call));
    cr_assert_eq(buffers.streams_, 0);
    cr_assert_eq(buffers.held_, 0);
}

Test(caller_buffers, equal_parts_of_the_reserve_are_read_on_while_full)
{
    metrics::Registry registry;
    GatewayMetrics metrics(registry);
    BoundedCallerBuffers buffers(800, metrics);
    BufferShare small(buffers);
    BufferShare large(buffers);
    large.set(799);
    cr_assert(large.mayRead());
    large.set(800);
    cr_assert_not(buffers.acceptsStreams());
    cr_assert_not(large.mayRead());
    small.set(50); // Half of an eighth of the bound.
    cr_assert(small.mayRead());
    small.set(51);
    cr_assert_not(small.mayRead());
    large.set(350);
    cr_assert_not(buffers.acceptsStreams(), "401 of 400 bytes");
    large.set(349);
    cr_assert(buffers.acceptsStreams());
    cr_assert(small.mayRead());
    cr_assert_eq(metrics.callerBufferBytes_.value(), 400);
}

Test(caller_buffers, new_bound_applies_at_once)
{
    metrics::Registry registry;
    GatewayMetrics metrics(registry);
    BoundedCallerBuffers buffers(800, metrics);
    BufferShare share(buffers);
    share.set(500);
    buffers.setBound(500);
    cr_assert_not(buffers.acceptsStreams());
    buffers.setBound(1000);
    cr_assert(buffers.acceptsStreams());
}
