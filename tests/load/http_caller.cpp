// What the load tool takes for an answer: it counts the outcomes that callers are told.
#include "support/early_server.hpp"
#include "support/scripted_server.hpp"

#include <cardamombay/load/call_outcome.hpp>
#include <cardamombay/load/http_caller.hpp>

#include <boost/asio/io_context.hpp>

#include <optional>

#include <criterion/criterion.h>

using namespace cardamombay;
using namespace cardamombay::load;
using namespace cardamombay::support;

namespace {

constexpr std::size_t uploadBytes = std::size_t{16} * 1024 * 1024;

CallResult send(boost::asio::io_context &context, const Address &address, std::string body = {})
{
    HttpCaller caller(context);
    Call call;
    call.address_ = address;
    call.body_ = std::move(body);
    call.timeout_ = std::chrono::seconds(5);
    std::optional<CallResult> result;
    caller.send(std::move(call), [&result](CallResult answer) { result = std::move(answer); });
    while (!result)
        context.run_one();
    return *result;
}

CallResult answerTo(const std::string &bytes)
{
    boost::asio::io_context context;
    ScriptedServer server(context);
    server.add({.bytes_ = bytes, .closes_ = true});
    return send(context, server.address());
}

CallResult earlyAnswer(const EarlyAnswer &answer)
{
    boost::asio::io_context context;
    const EarlyServer server(context, answer);
    return send(context, server.address(), std::string(uploadBytes, 'x'));
}

} // namespace

Test(http_caller, head_that_breaks_http_is_no_answer)
{
    for (const auto *bytes : {"HTTP/1.1 000 X\r\nContent-Length: 4\r\n\r\nbody",
                              "HTTP/1.1 200 OK\r\nX-Field: 1\r\n X-Other: 2\r\n\r\nbody",
                              "HTTP/1.1 200 OK\r\nX Field: 1\r\nContent-Length: 4\r\n\r\nbody",
                              "HTTP/1.1 200 OK\r\nContent-Encoding: gzip\r\n\r\nbody"}) {
        const auto result = answerTo(bytes);
        cr_expect(classify(result, false) == CallOutcome::NoAnswer, "%s", bytes);
        cr_expect_not(result.isWhole_);
        cr_expect_not(result.failure_.empty());
    }
}

Test(http_caller, unframed_answer_that_is_reset_during_the_upload_is_broken)
{
    const auto result = earlyAnswer({.bytes_ = "HTTP/1.1 200 OK\r\n\r\npart"});
    cr_expect_not(result.isWhole_);
    cr_expect(classify(result, false) == CallOutcome::Broken);
}

Test(http_caller, early_answers_are_whole)
{
    const auto framed
        = earlyAnswer({.bytes_ = "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nwhole"});
    cr_expect(framed.isWhole_, "%s", framed.failure_.c_str());
    cr_expect_eq(framed.body_, "whole");
    const auto unframed
        = earlyAnswer({.bytes_ = "HTTP/1.1 200 OK\r\n\r\nwhole", .end_ = EarlyEnd::CloseAndReset});
    cr_expect(unframed.isWhole_, "%s", unframed.failure_.c_str());
    cr_expect_eq(unframed.body_, "whole");
}

Test(http_caller, answer_behind_an_interim_one_is_whole)
{
    const auto result = answerTo("HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\n\r\nwhole");
    cr_expect(result.isWhole_);
    cr_expect_eq(result.status_, 200);
    cr_expect_eq(result.body_, "whole");
}
