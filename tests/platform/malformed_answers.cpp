#include "support/scripted_server.hpp"

#include "platform_fixture.hpp"

#include <array>

#include <criterion/criterion.h>

using namespace cardamombay;
using namespace cardamombay::platform;
using support::await;
using support::jsonAnswer;
using support::ScriptedServer;

namespace {

struct Fixture
{
    /// Answers the next call with \p body and the id that call must see.
    void answer(const std::string &body, int status = 200)
    {
        ++calls_;
        server_.add({.bytes_ = jsonAnswer(
                         body, status, "X-Request-Id: table-" + std::to_string(calls_) + "\r\n")});
    }

    Result<CommitReceipt> commit()
    {
        return await<CommitReceipt>(context_, [&](auto done) {
            tables_.commit({WriterToken("w"), {}, {{{"t", "k"}, "v"}}}, done);
        });
    }

    Result<ScanPage> scan()
    {
        return await<ScanPage>(context_, [&](auto done) {
            tables_.scan({"t", "", "", {}, 9}, done);
        });
    }

    Result<std::vector<Row>> read()
    {
        return await<std::vector<Row>>(context_, [&](auto done) {
            tables_.read({{"t", "k"}}, done);
        });
    }

    boost::asio::io_context context_;
    ScriptedServer server_{context_};
    net::AsioHttpClient client_{context_};
    HttpTableStore tables_{client_, {server_.address()}};
    int calls_ = 0;
};

const std::array<std::string, 12> badReceipts{
    "",
    "null",
    "[]",
    "{}",
    "{\"version\":0}",
    "{\"version\":-1}",
    "{\"version\":\"7\"}",
    "{\"version\":1.5}",
    "{\"version\":1e400}",
    "{\"version\":7",
    "{\"version\":7}trailing",
    std::string(100000, '['),
};

const std::array<std::string, 7> badPages{
    R"({"rows":{},"last":true,"store_version":1})",
    R"({"rows":[1],"last":true,"store_version":1})",
    R"({"rows":[],"last":false,"store_version":1})",
    R"({"rows":[],"last":"true","store_version":1})",
    R"({"rows":[],"last":true})",
    R"({"rows":[{"table":"t","key":"k","value":"v","version":0,"writer":"w"}],"last":true,)"
    R"("store_version":1})",
    R"({"rows":[{"table":"t","key":"k","value":{},"version":1,"writer":"w"}],"last":true,)"
    R"("store_version":1})",
};

} // namespace

Test(malformed_answers, commit_with_an_unreadable_receipt_is_unknown)
{
    Fixture fixture;
    for (const auto &body : badReceipts) {
        fixture.answer(body);
        cr_expect(isError<StoreAnswerLost>(fixture.commit()), "%.40s", body.c_str());
    }
}

Test(malformed_answers, commit_with_an_unreadable_conflict_is_unknown)
{
    Fixture fixture;
    for (const char *body : {"", "{}", R"({"table":"t","key":"k","expected":1})"}) {
        fixture.answer(body, 409);
        cr_expect(isError<StoreAnswerLost>(fixture.commit()), "%s", body);
    }
}

Test(malformed_answers, commit_with_a_status_outside_the_protocol_is_unknown)
{
    Fixture fixture;
    for (const int status : {201, 204, 301, 404, 500, 502, 504, 599}) {
        fixture.answer(R"({"version":7})", status);
        cr_expect(isError<StoreAnswerLost>(fixture.commit()), "%d", status);
    }
}

Test(malformed_answers, refusal_with_another_4xx_means_that_nothing_was_written)
{
    Fixture fixture;
    for (const int status : {400, 401, 413}) {
        fixture.answer("", status);
        cr_expect(isError<StoreUnavailable>(fixture.commit()), "%d", status);
    }
}

Test(malformed_answers, unreadable_page_or_rows_are_unavailable)
{
    Fixture fixture;
    for (const auto &body : badPages) {
        fixture.answer(body);
        cr_expect(isError<StoreUnavailable>(fixture.scan()), "%s", body.c_str());
    }
    fixture.answer(R"({"rows":[{}]})");
    cr_expect(isError<StoreUnavailable>(fixture.read()));
}

Test(malformed_answers, receipt_without_the_request_id_is_unknown)
{
    Fixture fixture;
    fixture.server_.add({.bytes_ = jsonAnswer(R"({"version":7})")});

    cr_assert(isError<StoreAnswerLost>(fixture.commit()));
}

Test(malformed_answers, retry_after_out_of_range_is_bounded)
{
    Fixture fixture;
    const std::array<std::pair<std::string, int>, 4> cases{
        {{"7", 7}, {"99999999", 60}, {"-5", 0}, {"soon", 1}}};
    for (const auto &[text, seconds] : cases) {
        ++fixture.calls_;
        fixture.server_.add(
            {.bytes_ = jsonAnswer("", 429,
                                  "X-Request-Id: table-" + std::to_string(fixture.calls_)
                                      + "\r\nRetry-After: " + text + "\r\n")});
        const auto result = fixture.commit();
        cr_assert(isError<StoreThrottled>(result));
        cr_expect(std::get<StoreThrottled>(errorOf(result)).retryAfter_
                  == std::chrono::seconds(seconds));
    }
}

Test(malformed_answers, answer_that_is_no_http_is_unknown)
{
    Fixture fixture;
    for (const char *bytes : {"garbage\r\n\r\n", "HTTP/1.1 abc\r\n\r\n",
                              "HTTP/1.1 200 OK\r\nContent-Length: -5\r\n\r\n"}) {
        fixture.server_.add({.bytes_ = bytes, .closes_ = true});
        ++fixture.calls_;
        cr_expect(isError<StoreAnswerLost>(fixture.commit()), "%s", bytes);
    }
}
