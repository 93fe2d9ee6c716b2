#include "test_engine.hpp"
#include "test_entry.hpp"

#include <string>

#include <criterion/criterion.h>

using namespace cardamombay;
using namespace cardamombay::test;

namespace {

bool isNotRun(const std::string &answer)
{
    return contains(answer, "X-Outcome: not-run") && contains(answer, "\"outcome\":\"not-run\"")
           && contains(answer, "application/problem+json");
}

/// The daemon is unharmed if it still answers a whole request.
bool stillServes(const TestEntry &entry)
{
    RawCaller caller(entry.address());
    caller.send(completionRequest(false));
    return contains(caller.readUntil("whole"), "HTTP/1.1 200");
}

struct Setup
{
    Setup()
    {
        entry_.addGroup("lm/a/0", engine_.address());
        entry_.publish();
    }

    std::string exchange(const std::string &text)
    {
        RawCaller caller(entry_.address());
        caller.send(text);
        return caller.readUntil("request_id");
    }

    TestEngine engine_{answers(200, R"({"id":"ID","text":"whole"})")};
    TestEntry entry_;
};

std::string jsonRequest(const std::string &body)
{
    return plainRequest("POST", "/v1/completions", {}, body);
}

} // namespace

Test(bad_input, malformed_json_is_refused_and_the_connection_serves_on)
{
    Setup setup;
    RawCaller caller(setup.entry_.address());

    caller.send(jsonRequest("{\"model\": oops"));
    const std::string refusal = caller.readUntil("request_id");
    caller.send(completionRequest(false));
    const std::string all = caller.readUntil("whole");

    cr_assert(contains(refusal, "HTTP/1.1 400"));
    cr_assert(isNotRun(refusal));
    cr_assert(contains(all, "HTTP/1.1 200"));
}

Test(bad_input, unknown_service_is_refused)
{
    Setup setup;

    const auto answer = setup.exchange(jsonRequest(R"({"model":"nobody","prompt":"x"})"));

    cr_assert(contains(answer, "HTTP/1.1 404"));
    cr_assert(isNotRun(answer));
    cr_assert_eq(setup.engine_.requests(), 0u);
}

Test(bad_input, unknown_team_is_refused)
{
    Setup setup;

    const auto answer
        = setup.exchange("GET /app/x HTTP/1.1\r\nHost: e\r\nX-Team: strangers\r\n\r\n");

    cr_assert(contains(answer, "HTTP/1.1 401"));
    cr_assert(isNotRun(answer));
}

Test(bad_input, oversized_body_is_refused_before_it_was_sent)
{
    Setup setup;

    const auto answer = setup.exchange("POST /v1/completions HTTP/1.1\r\nHost: e\r\n"
                                       "X-Team: studio\r\nContent-Length: 99999999\r\n\r\n{");

    cr_assert(contains(answer, "HTTP/1.1 413"));
    cr_assert(isNotRun(answer));
    cr_assert(stillServes(setup.entry_));
}

Test(bad_input, oversized_chunked_body_is_refused)
{
    Setup setup;
    const std::string chunk = "2000\r\n" + std::string(0x2000, 'x') + "\r\n";

    const auto answer = setup.exchange("POST /v1/completions HTTP/1.1\r\nHost: e\r\n"
                                       "X-Team: studio\r\nTransfer-Encoding: chunked\r\n\r\n"
                                       + chunk + chunk + chunk);

    cr_assert(contains(answer, "HTTP/1.1 413"));
    cr_assert(stillServes(setup.entry_));
}

Test(bad_input, oversized_header_is_refused)
{
    Setup setup;

    const auto answer = setup.exchange(
        "GET /app/x HTTP/1.1\r\nHost: e\r\nX-Long: " + std::string(6000, 'x') + "\r\n\r\n");

    cr_assert(contains(answer, "HTTP/1.1 431"));
    cr_assert(isNotRun(answer));
    cr_assert(stillServes(setup.entry_));
}

Test(bad_input, slow_request_is_told_and_closed)
{
    Setup setup;
    RawCaller caller(setup.entry_.address());

    caller.send("POST /v1/completions HTTP/1.1\r\nHost: e\r\nX-Team: studio\r\n"
                "Content-Length: 50\r\n\r\n{\"model\"");
    const auto &answer = caller.readAll();

    cr_assert(contains(answer, "HTTP/1.1 408"));
    cr_assert(isNotRun(answer));
    cr_assert(stillServes(setup.entry_));
}

Test(bad_input, text_that_is_no_http_is_refused)
{
    Setup setup;

    const auto answer = setup.exchange("SSH-2.0-OpenSSH\r\n\r\n");

    cr_assert(contains(answer, "HTTP/1.1 400"));
    cr_assert(isNotRun(answer));
    cr_assert(stillServes(setup.entry_));
}

Test(bad_input, conflicting_lengths_are_refused)
{
    Setup setup;

    const auto answer = setup.exchange("POST /v1/completions HTTP/1.1\r\nHost: e\r\n"
                                       "Content-Length: 4\r\nContent-Length: 9\r\n\r\nabcdefghi");

    cr_assert(contains(answer, "HTTP/1.1 400"));
}

Test(bad_input, half_closed_caller_still_gets_its_whole_answer)
{
    Setup setup;
    RawCaller caller(setup.entry_.address());

    caller.send(completionRequest(false));
    caller.finishSending();

    cr_assert(contains(caller.readAll(), "whole"));
}

Test(bad_input, half_a_request_is_refused_when_its_caller_stops_sending)
{
    Setup setup;
    RawCaller caller(setup.entry_.address());

    caller.send("POST /v1/completions HTTP/1.1\r\nHost: e\r\nContent-Length: 50\r\n\r\n{");
    caller.finishSending();

    cr_assert(contains(caller.readAll(), "HTTP/1.1 400"));
    cr_assert(stillServes(setup.entry_));
}

Test(bad_input, pipelined_requests_are_answered_in_order)
{
    Setup setup;
    RawCaller caller(setup.entry_.address());

    caller.send(completionRequest(false) + jsonRequest("{}") + completionRequest(false));
    const auto &answer = caller.readUntil("whole", 2);

    const auto refusal = answer.find("HTTP/1.1 400");
    cr_assert_neq(refusal, std::string::npos);
    cr_assert_lt(answer.find("whole"), refusal);
    cr_assert_gt(answer.rfind("whole"), refusal);
}

Test(bad_input, reserved_and_wrong_values_are_refused)
{
    Setup setup;

    for (const auto *body : {R"({"model":"lm","resume_from":4})",
                             R"({"model":"lm","stream":"yes"})", R"({"model":7})", "[]"}) {
        const auto answer = setup.exchange(jsonRequest(body));
        cr_assert(contains(answer, "HTTP/1.1 400"), "%s", body);
        cr_assert(isNotRun(answer), "%s", body);
    }
    for (const auto *field : {"X-Deadline-Ms: soon\r\n", "X-Non-Idempotent: maybe\r\n"}) {
        const auto answer = setup.exchange(completionRequest(false, field));
        cr_assert(contains(answer, "HTTP/1.1 400"), "%s", field);
    }
    cr_assert_eq(setup.engine_.requests(), 0u);
}
