// Answers to requests that are still being written when the connection ends.
#include "client_fixture.hpp"
#include "support/early_server.hpp"
#include "upstream_fixture.hpp"

#include <criterion/criterion.h>

using namespace cardamombay;
using namespace cardamombay::net;
using namespace cardamombay::support;
using std::chrono::microseconds;
using std::chrono::milliseconds;

namespace {

constexpr std::size_t kilobyte = 1024;
constexpr std::size_t megabyte = 1024 * kilobyte;
/// More than the buffers of a connection hold.
constexpr std::size_t largeUpload = 16 * megabyte;

const std::string unframedAnswer = "HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\n\r\npart";
const std::string framedAnswer = "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nwhole";
const std::string chunkedAnswer
    = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nwhole\r\n0\r\n\r\n";

/// An upload, and the end of its connection at some moment.
struct Interruption
{
    std::size_t uploadBytes_ = 0;
    EarlyAnswer answer_;

    [[nodiscard]] std::string text() const
    {
        return std::to_string(uploadBytes_) + " bytes, " + std::to_string(answer_.bytesRead_)
               + " of them read, end " + std::to_string(static_cast<int>(answer_.end_)) + " after "
               + std::to_string(answer_.delay_ / microseconds(1)) + " us";
    }
};

std::vector<Interruption> interruptions(const std::string &bytes, const std::vector<EarlyEnd> &ends,
                                        const std::vector<std::size_t> &uploads)
{
    std::vector<Interruption> result;
    for (const auto end : ends) {
        for (const auto upload : uploads) {
            for (const auto bytesRead : {std::size_t{0}, upload / 16, upload / 2}) {
                for (const Duration delay : {Duration(0), Duration(microseconds(200)),
                                             Duration(milliseconds(2)), Duration(milliseconds(20))})
                    result.push_back({upload, {bytes, bytesRead, delay, end}});
            }
        }
    }
    return result;
}

/// Resets while the request is being written, and after it was written whole.
std::vector<Interruption> resets(const std::string &bytes)
{
    return interruptions(bytes, {EarlyEnd::Reset, EarlyEnd::CloseUnread},
                         {64 * kilobyte, megabyte, largeUpload});
}

/// Guards against a part of an answer that counts as whole.
void expectBroken(const std::string &bytes)
{
    for (const auto &reset : resets(bytes)) {
        UpstreamFixture fixture;
        const EarlyServer server(fixture.context_, reset.answer_);
        for (auto *client : fixture.clients()) {
            const auto listener
                = fixture.call(*client, server.address(), std::string(reset.uploadBytes_, 'x'));
            cr_expect_not(listener->body_, "%s", reset.text().c_str());
            cr_expect(listener->failure_ && listener->failure_->mayHaveLeft_);
        }
        cr_expect_not(fixture.kept_.hasUnused(server.address()));
    }
}

/// \param ends those after which \p bytes are a whole answer.
void expectWhole(const std::string &bytes, const std::vector<EarlyEnd> &ends,
                 const std::string &body)
{
    for (const auto &early : interruptions(bytes, ends, {megabyte, largeUpload})) {
        UpstreamFixture fixture;
        const EarlyServer server(fixture.context_, early.answer_);
        const auto listener
            = fixture.call(fixture.kept_, server.address(), std::string(early.uploadBytes_, 'x'));
        cr_expect_eq(listener->body_.value_or("none"), body, "%s", early.text().c_str());
    }
}

} // namespace

Test(interrupted_uploads, part_of_an_unframed_answer_is_broken)
{
    expectBroken(unframedAnswer);
}

Test(interrupted_uploads, head_of_an_unframed_answer_is_broken)
{
    expectBroken("HTTP/1.1 200 OK\r\n\r\n");
}

Test(interrupted_uploads, part_of_a_head_is_broken)
{
    expectBroken("HTTP/1.1 200 OK\r\nContent-Ty");
}

Test(interrupted_uploads, connection_without_an_answer_is_broken)
{
    expectBroken("");
}

Test(interrupted_uploads, part_of_a_chunked_answer_is_broken)
{
    expectBroken(chunkedAnswer.substr(0, chunkedAnswer.size() - 2));
}

Test(interrupted_uploads, part_of_an_answer_with_a_length_is_broken)
{
    expectBroken(framedAnswer.substr(0, framedAnswer.size() - 1));
}

Test(interrupted_uploads, http_client_gives_no_part_of_an_answer)
{
    for (const auto &reset : resets(unframedAnswer)) {
        ClientFixture fixture;
        const EarlyServer server(fixture.context_, reset.answer_);
        auto request = post(std::string(reset.uploadBytes_, 'x'));
        request.address_ = server.address();
        cr_expect(fixture.failure(std::move(request)).mayHaveLeft_, "%s", reset.text().c_str());
    }
}

Test(interrupted_uploads, early_answer_with_a_length_is_whole_before_any_end)
{
    expectWhole(
        framedAnswer,
        {EarlyEnd::Reset, EarlyEnd::CloseUnread, EarlyEnd::CloseAndReset, EarlyEnd::CloseAndRead},
        "whole");
}

Test(interrupted_uploads, early_chunked_answer_is_whole_before_any_end)
{
    expectWhole(
        chunkedAnswer,
        {EarlyEnd::Reset, EarlyEnd::CloseUnread, EarlyEnd::CloseAndReset, EarlyEnd::CloseAndRead},
        "whole");
}

Test(interrupted_uploads, early_unframed_answer_that_ends_in_order_is_whole)
{
    expectWhole(unframedAnswer, {EarlyEnd::CloseAndReset, EarlyEnd::CloseAndRead}, "part");
}

Test(interrupted_uploads, events_of_a_stream_that_is_reset_arrive_before_the_failure)
{
    const std::string event = "id: 1\ndata: 1\n\n";
    const auto bytes = "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\n" + event;
    for (const auto &reset : interruptions(bytes, {EarlyEnd::Reset}, {largeUpload})) {
        UpstreamFixture fixture;
        const EarlyServer server(fixture.context_, reset.answer_);
        const auto listener
            = fixture.call(fixture.kept_, server.address(), std::string(reset.uploadBytes_, 'x'));
        cr_expect_not(listener->body_, "%s", reset.text().c_str());
        cr_expect(listener->failure_ && listener->failure_->defect_ == AnswerDefect::Reset);
        cr_expect_eq(listener->begun_, event, "%s", reset.text().c_str());
    }
}
