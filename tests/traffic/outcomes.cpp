// What callers are told, and what must not be run twice.
#include "test_engine.hpp"
#include "test_entry.hpp"

#include "support/process_harness.hpp"

#include <algorithm>
#include <string>

#include <criterion/criterion.h>

using namespace cardamombay;
using namespace cardamombay::test;
using traffic::ClaimVerdict;

namespace {

constexpr std::string_view key = "Idempotency-Key: k-1\r\n";

std::string ask(const TestEntry &entry, const std::string &text)
{
    RawCaller caller(entry.address());
    caller.send(text);
    return caller.readUntil("}");
}

std::string book(const TestEntry &entry, std::string_view fields = {})
{
    return ask(entry, plainRequest("POST", "/app/bookings", fields, "{\"slot\":1}"));
}

/// Takes the request and breaks the connection without an answer.
Script breaks()
{
    return [](const net::ServerRequest &, const Exchange &exchange) { exchange->abort(); };
}

Script refuses()
{
    return [](const net::ServerRequest &request, const Exchange &exchange) {
        exchange->respond({503,
                           {{"X-Attempt-Id", attemptOf(request)}, {"X-Not-Run", "true"}},
                           R"({"reason":"busy"})"});
    };
}

/// An address that nobody listens on.
Address closedAddress()
{
    return {"127.0.0.1", support::freePort()};
}

/// How the only claim of the test was completed; the answer may be out a moment earlier.
traffic::ClaimCompletion completionAt(TestEntry &entry)
{
    const auto isThere = [&] {
        const std::lock_guard lock(entry.control_.mutex_);
        return entry.control_.completions_.size() == 1;
    };
    cr_assert(support::waitUntil(isThere));
    const std::lock_guard lock(entry.control_.mutex_);
    return entry.control_.completions_.at(0);
}

struct Setup
{
    explicit Setup(Script script)
        : engine_(std::move(script))
    {
        entry_.addGroup("lm/a/0", engine_.address());
        entry_.addPlain("app-1", engine_.address());
        entry_.publish();
    }

    TestEngine engine_;
    TestEntry entry_;
};

} // namespace

Test(outcomes, plain_call_passes_through_and_says_that_it_ran)
{
    Setup setup(answers(201, R"({"booked":"yes"})"));

    const auto answer = book(setup.entry_);

    cr_assert(contains(answer, "HTTP/1.1 201"));
    cr_assert(contains(answer, "X-Outcome: ran"));
    cr_assert(contains(answer, R"({"booked":"yes"})"));
    cr_assert_eq(setup.engine_.request(0).target_, "/app/bookings");
}

Test(outcomes, non_idempotent_request_is_not_repeated_after_a_byte_may_have_left)
{
    Setup setup(breaks());
    TestEngine other(answers(201, "{}"));
    setup.entry_.addPlain("app-2", other.address());

    const auto answer = book(setup.entry_);

    cr_assert(contains(answer, "X-Outcome: unknown"), "%s", answer.c_str());
    cr_assert_eq(setup.engine_.requests() + other.requests(), 1u);
}

Test(outcomes, non_idempotent_request_goes_elsewhere_if_no_byte_left)
{
    TestEngine engine(answers(201, R"({"booked":"yes"})"));
    TestEntry entry;
    entry.addPlain("app-1", closedAddress()).freshUntil_ = entry.now() + std::chrono::minutes(1);
    entry.addPlain("app-2", engine.address());
    entry.publish();

    for (int request = 0; request < 6; ++request)
        cr_assert(contains(book(entry), "X-Outcome: ran"));

    cr_assert_eq(engine.requests(), 6u);
}

Test(outcomes, unreachable_endpoint_is_told_as_not_run)
{
    TestEntry entry;
    entry.addPlain("app-1", closedAddress());
    entry.publish();

    const auto answer = book(entry);

    cr_assert(contains(answer, "X-Outcome: not-run"), "%s", answer.c_str());
    cr_assert(contains(answer, "Retry-After"));
}

Test(outcomes, refusal_by_the_endpoint_is_told_as_not_run)
{
    Setup setup(refuses());

    const auto answer = book(setup.entry_);

    cr_assert(contains(answer, "X-Outcome: not-run"), "%s", answer.c_str());
}

Test(outcomes, refusal_that_names_another_attempt_is_not_believed)
{
    Setup setup([](const net::ServerRequest &, const Exchange &exchange) {
        exchange->respond({503, {{"X-Attempt-Id", "other"}, {"X-Not-Run", "true"}}, "{}"});
    });

    const auto answer = book(setup.entry_);

    cr_assert(contains(answer, "X-Outcome: unknown"), "%s", answer.c_str());
}

Test(outcomes, answer_to_another_attempt_never_reaches_the_caller)
{
    Setup setup([](const net::ServerRequest &, const Exchange &exchange) {
        exchange->respond({200, {{"X-Attempt-Id", "other"}}, R"({"secret":"of somebody"})"});
    });

    const auto answer = book(setup.entry_);

    cr_assert_not(contains(answer, "secret"));
    cr_assert(contains(answer, "X-Outcome: unknown"));
}

Test(outcomes, earlier_attempt_that_may_have_run_is_never_told_as_not_run)
{
    // Idempotent, so it is repeated; the second group refuses. The first may have run it.
    TestEngine broken(breaks());
    TestEngine refusing(refuses());
    TestEntry entry;
    entry.addGroup("lm/a/0", broken.address());
    entry.addGroup("lm/a/1", refusing.address());
    entry.publish();

    for (int request = 0; request < 8; ++request) {
        const auto before = broken.requests();
        const auto answer = ask(entry, completionRequest(false));
        const bool mayHaveRun = broken.requests() != before;
        const auto expected = mayHaveRun ? "X-Outcome: unknown" : "X-Outcome: not-run";
        cr_assert(contains(answer, expected), "%s", answer.c_str());
    }
    cr_assert_gt(broken.requests(), 0u);
}

Test(outcomes, deadline_after_the_hand_over_is_unknown_and_cancelled)
{
    Setup setup(streamsAndHangs(0));

    const auto answer = ask(setup.entry_, completionRequest(false, "X-Deadline-Ms: 200\r\n"));

    cr_assert(contains(answer, "HTTP/1.1 504"), "%s", answer.c_str());
    cr_assert(contains(answer, "X-Outcome: unknown"));
    cr_assert(support::waitUntil([&] { return setup.engine_.cancels() == 1; }));
}

Test(outcomes, keyed_request_is_claimed_before_and_completed_after_its_run)
{
    Setup setup(answers(201, R"({"booked":"yes"})"));
    setup.entry_.control_.claimAnswer_.verdict_ = ClaimVerdict::Granted;

    (void)book(setup.entry_, key);

    const auto completion = completionAt(setup.entry_);
    cr_assert_eq(setup.entry_.control_.claims_.size(), 1u);
    cr_assert(completion.outcome_ == outcomes::Outcome::Ran);
    cr_assert_eq(completion.answer_.status_, 201u);
    cr_assert_eq(completion.answer_.body_, R"({"booked":"yes"})");
}

Test(outcomes, second_caller_with_the_key_gets_the_stored_answer)
{
    Setup setup(answers(201, "{}"));
    setup.entry_.control_.claimAnswer_
        = {ClaimVerdict::Finished, {201, "application/json", R"({"booked":"before"})"}, {}};

    const auto answer = book(setup.entry_, key);

    cr_assert(contains(answer, R"({"booked":"before"})"));
    cr_assert(contains(answer, "X-Outcome: ran"));
    cr_assert_eq(setup.engine_.requests(), 0u);
}

Test(outcomes, keyed_request_without_a_claim_is_never_handed_over)
{
    struct Case
    {
        ClaimVerdict verdict_;
        const char *outcome_;
    };
    for (const auto &[verdict, outcome] : {Case{ClaimVerdict::Unavailable, "X-Outcome: not-run"},
                                           Case{ClaimVerdict::Pending, "X-Outcome: unknown"},
                                           Case{ClaimVerdict::Mismatch, "X-Outcome: not-run"}}) {
        Setup setup(answers(201, "{}"));
        setup.entry_.control_.claimAnswer_.verdict_ = verdict;

        const auto answer = book(setup.entry_, key);

        cr_assert(contains(answer, outcome), "%s", answer.c_str());
        cr_assert_eq(setup.engine_.requests(), 0u);
        cr_assert(setup.entry_.control_.completions_.empty());
    }
}

Test(outcomes, claim_is_freed_if_the_request_was_not_run_and_kept_if_it_may_have_run)
{
    Setup refusing(refuses());
    Setup breaking(breaks());
    refusing.entry_.control_.claimAnswer_.verdict_ = ClaimVerdict::Granted;
    breaking.entry_.control_.claimAnswer_.verdict_ = ClaimVerdict::Granted;

    (void)book(refusing.entry_, key);
    (void)book(breaking.entry_, key);

    cr_assert(completionAt(refusing.entry_).outcome_ == outcomes::Outcome::NotRun);
    cr_assert(completionAt(breaking.entry_).outcome_ == outcomes::Outcome::Unknown);
}

Test(outcomes, keyed_request_runs_on_and_is_stored_when_its_caller_leaves)
{
    Exchange kept;
    std::string attempt;
    TestEngine engine([&](const net::ServerRequest &request, const Exchange &exchange) {
        attempt = attemptOf(request);
        kept = exchange;
    });
    TestEntry entry;
    entry.control_.claimAnswer_.verdict_ = ClaimVerdict::Granted;
    entry.addPlain("app-1", engine.address());
    entry.publish();
    {
        RawCaller caller(entry.address());
        caller.send(plainRequest("POST", "/app/bookings", key, "{}"));
        cr_assert(support::waitUntil([&] { return engine.requests() == 1; }));
        caller.reset();
    }
    std::this_thread::sleep_for(std::chrono::milliseconds(50));

    kept->respond({201, {{"X-Attempt-Id", attempt}}, R"({"booked":"yes"})"});

    const auto completion = completionAt(entry);
    cr_assert(completion.outcome_ == outcomes::Outcome::Ran);
    cr_assert_eq(completion.answer_.body_, R"({"booked":"yes"})");
}

Test(outcomes, refusing_daemon_tells_not_run_and_ends_the_connection)
{
    Setup setup(answers(200, "{}"));
    setup.entry_.state_.isRefusing_ = true;
    setup.entry_.server_->closeConnectionsAfterResponse();
    RawCaller caller(setup.entry_.address());

    caller.send(completionRequest(false));
    const auto &answer = caller.readAll();

    cr_assert(contains(answer, "HTTP/1.1 503"));
    cr_assert(contains(answer, "X-Outcome: not-run"));
    cr_assert(contains(answer, "Connection: close"));
    cr_assert_eq(setup.engine_.requests(), 0u);
}

Test(outcomes, large_answer_of_a_plain_service_arrives_whole)
{
    const std::string body(5'000'000, 'x');
    Setup setup(answers(200, body + "}"));
    RawCaller caller(setup.entry_.address());

    caller.send(plainRequest("GET", "/app/cues/1"));
    const auto &answer = caller.readUntil("X-Outcome: ran");

    cr_assert_eq(static_cast<std::size_t>(std::count(answer.begin(), answer.end(), 'x')),
                 countOf(answer.substr(0, answer.find("\r\n\r\n")), "x") + body.size());
    cr_assert(contains(answer, "X-Outcome: ran"));
}

Test(outcomes, large_answer_that_breaks_is_never_ended_as_whole)
{
    Setup setup([](const net::ServerRequest &request, const Exchange &exchange) {
        exchange->startStream({200, {{"X-Attempt-Id", attemptOf(request)}}, {}});
        send(exchange, std::string(1'000'000, 'x'), [exchange] { exchange->abort(); });
    });
    RawCaller caller(setup.entry_.address());

    caller.send(plainRequest("GET", "/app/cues/1"));
    const auto &answer = caller.readAll();

    cr_assert(contains(answer, "HTTP/1.1 200"));
    cr_assert_not(contains(answer, "\r\n0\r\n"));
}
