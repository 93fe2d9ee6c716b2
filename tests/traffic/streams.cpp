#include "test_engine.hpp"
#include "test_entry.hpp"

#include "support/process_harness.hpp"

#include <string>

#include <criterion/criterion.h>

using namespace cardamombay;
using namespace cardamombay::test;

namespace {

/// True if each of \p count tokens is there once, in order, and the stream is marked as whole.
bool isWholeStream(const std::string &answer, std::uint64_t count)
{
    std::size_t at = 0;
    for (std::uint64_t index = 0; index < count; ++index) {
        const auto token = "\"t" + std::to_string(index) + " \"";
        if (countOf(answer, token) != 1 || answer.find(token) < at)
            return false;
        at = answer.find(token);
    }
    return countOf(answer, "\"index\":0,\"text\"") - count == 0 && contains(answer, "[DONE]")
           && contains(answer, "X-Outcome: ran");
}

/// Exchange of a caller that is of no interest.
class IgnoredExchange final : public net::ServerExchange
{
public:
    void respond(net::HttpResponse) override {}
    void startStream(net::HttpResponse) override {}
    void write(std::span<const std::string_view>, std::function<void()>) override {}
    void finish(std::span<const net::HttpField>) override {}
    void abort() override {}
    void onLost(std::function<void()>) override {}
};

net::ServerRequest parsedCompletion()
{
    net::ServerRequest request;
    request.method_ = "POST";
    request.target_ = "/v1/completions";
    request.fields_ = {{"X-Team", "studio"}};
    request.body_ = R"({"model":"lm","prompt":"x","stream":true})";
    return request;
}

std::string streamFrom(const TestEntry &entry, std::string_view fields = {})
{
    RawCaller caller(entry.address());
    caller.send(completionRequest(true, fields));
    return caller.readUntil("X-Outcome: ");
}

} // namespace

Test(streams, whole_stream_arrives_whole)
{
    TestEngine engine(streamsWhole(20));
    TestEntry entry;
    entry.addGroup("lm/a/0", engine.address());
    entry.publish();

    const auto answer = streamFrom(entry);

    cr_assert(isWholeStream(answer, 20), "%s", answer.c_str());
}

Test(streams, caller_sees_one_id_in_all_events)
{
    TestEngine engine(streamsWhole(3));
    TestEntry entry;
    entry.addGroup("lm/a/0", engine.address());
    entry.publish();

    const auto answer = streamFrom(entry);

    cr_assert_eq(countOf(answer, "\"id\":\"entry-1-5-0-1\""), 3u, "%s", answer.c_str());
}

Test(streams, broken_stream_goes_on_at_another_group_without_a_gap_or_a_double)
{
    TestEngine broken(streamsAndBreaks(7));
    TestEngine sound(streamsWhole(20));
    TestEntry entry;
    entry.addGroup("lm/a/0", broken.address());
    entry.publish();
    entry.addGroup("lm/a/1", sound.address()).isVetoed_ = true;
    RawCaller caller(entry.address());

    entry.snapshot_.services_[0].groups_[1].isVetoed_ = false;
    caller.send(completionRequest(true));
    caller.readUntil("\"t6 \"");
    entry.publish();
    const auto &answer = caller.readUntil("X-Outcome: ");

    cr_assert(isWholeStream(answer, 20), "%s", answer.c_str());
    cr_assert_eq(resumeFrom(sound.request(0)), 7u);
}

Test(streams, stream_leaves_a_group_whose_members_are_not_known_to_be_there)
{
    TestEngine silent(streamsAndHangs(5));
    TestEngine sound(streamsWhole(12));
    TestEntry entry;
    entry.addGroup("lm/a/0", silent.address());
    entry.publish();
    RawCaller caller(entry.address());
    caller.send(completionRequest(true));
    caller.readUntil("\"t4 \"");

    entry.snapshot_.services_[0].groups_[0].freshUntil_ = entry.now();
    entry.addGroup("lm/a/1", sound.address());
    entry.publish();
    const auto &answer = caller.readUntil("X-Outcome: ");

    cr_assert(isWholeStream(answer, 12), "%s", answer.c_str());
    cr_assert(support::waitUntil([&] { return silent.cancels() == 1; }));
}

Test(streams, stream_leaves_a_group_that_was_formed_anew)
{
    TestEngine silent(streamsAndHangs(5));
    TestEngine sound(streamsWhole(12));
    TestEntry entry;
    entry.addGroup("lm/a/0", silent.address());
    entry.publish();
    RawCaller caller(entry.address());
    caller.send(completionRequest(true));
    caller.readUntil("\"t4 \"");

    entry.snapshot_.services_[0].groups_[0].generation_ = Generation(2);
    entry.snapshot_.services_[0].groups_[0].address_ = sound.address();
    entry.publish();
    const auto &answer = caller.readUntil("X-Outcome: ");

    cr_assert(isWholeStream(answer, 12), "%s", answer.c_str());
}

Test(streams, vetoed_group_finishes_what_it_has)
{
    TestEngine engine(streamsAndHangs(5));
    TestEntry entry;
    entry.addGroup("lm/a/0", engine.address());
    entry.publish();
    RawCaller caller(entry.address());
    caller.send(completionRequest(true));
    caller.readUntil("\"t4 \"");

    entry.snapshot_.services_[0].groups_[0].isVetoed_ = true;
    entry.publish();
    std::this_thread::sleep_for(std::chrono::milliseconds(200));

    cr_assert_eq(engine.cancels(), 0u);
    cr_assert_eq(entry.state_.inFlight_.load(), 1u);
}

Test(streams, stream_without_end_marker_is_never_presented_as_whole)
{
    TestEngine engine([](const net::ServerRequest &request, const Exchange &exchange) {
        exchange->startStream(streamHead(request));
        send(exchange, tokenEvent(attemptOf(request), resumeFrom(request)),
             [exchange] { exchange->finish({}); });
    });
    TestEntry entry;
    entry.addGroup("lm/a/0", engine.address());
    entry.publish();

    const auto answer = streamFrom(entry, "X-Deadline-Ms: 3000\r\n");

    cr_assert_not(contains(answer, "[DONE]"));
    cr_assert(contains(answer, "event: error"), "%s", answer.c_str());
    cr_assert(contains(answer, "X-Outcome: unknown"), "%s", answer.c_str());
}

Test(streams, event_of_another_attempt_never_reaches_the_caller)
{
    TestEngine engine([](const net::ServerRequest &request, const Exchange &exchange) {
        exchange->startStream(streamHead(request));
        send(exchange, tokenEvent("somebody-else.1.1", 0), [exchange] { exchange->finish({}); });
    });
    TestEntry entry;
    entry.addGroup("lm/a/0", engine.address());
    entry.publish();

    const auto answer = streamFrom(entry, "X-Deadline-Ms: 700\r\n");

    cr_assert_not(contains(answer, "t0"));
    cr_assert(contains(answer, "\"outcome\":\"unknown\""), "%s", answer.c_str());
    cr_assert(contains(entry.registry_.text(), "answers_dropped_total{kind=\"crossed\"}"));
}

Test(streams, caller_that_leaves_is_cancelled_at_the_engine)
{
    TestEngine engine([](const net::ServerRequest &request, const Exchange &exchange) {
        streamsWhole(1000000)(request, exchange);
    });
    TestEntry entry;
    entry.addGroup("lm/a/0", engine.address());
    entry.publish();
    RawCaller caller(entry.address());
    caller.send(completionRequest(true));
    caller.readUntil("\"t3 \"");

    caller.close();

    cr_assert(support::waitUntil([&] { return engine.cancels() == 1; }));
    cr_assert(support::waitUntil([&] { return entry.state_.inFlight_ == 0; }));
}

Test(streams, group_vetoed_while_the_connection_is_made_gets_no_work)
{
    TestEngine leaving(streamsWhole(5));
    TestEngine sound(streamsWhole(5));
    TestEntry entry;
    entry.addGroup("lm/a/0", leaving.address());
    entry.publish();
    // Runs between the choice of the group and the moment its connection stands.
    entry.runOnThread([&] {
        entry.worker_->handle(parsedCompletion(), std::make_shared<IgnoredExchange>());
        entry.snapshot_.services_[0].groups_[0].isVetoed_ = true;
        entry.addGroup("lm/a/1", sound.address());
        entry.publish();
    });

    cr_assert(support::waitUntil([&] { return sound.requests() == 1; }));
    cr_assert_eq(leaving.requests(), 0u);
}
