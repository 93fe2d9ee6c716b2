// Whole answers of endpoints that then neither read the rest of the request nor close.
#include "net/upstream_fixture.hpp"
#include "support/early_server.hpp"

#include <criterion/criterion.h>

using namespace cardamombay;
using namespace cardamombay::support;

namespace {

constexpr std::size_t uploadBytes = std::size_t{16} * 1024 * 1024;

/// The endpoint ends its direction in order and holds the connection for longer than the call.
std::string bodyOf(const std::string &answer)
{
    UpstreamFixture fixture;
    const EarlyServer server(
        fixture.context_,
        {.bytes_ = answer, .delay_ = std::chrono::minutes(1), .end_ = EarlyEnd::CloseAndReset});
    const auto listener
        = fixture.call(fixture.kept_, server.address(), std::string(uploadBytes, 'x'));
    return listener->body_.value_or("none");
}

} // namespace

Test(stalled_uploads, answer_with_a_length_arrives_while_the_upload_stalls)
{
    cr_assert_eq(bodyOf("HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nwhole"), "whole");
}

Test(stalled_uploads, unframed_answer_arrives_while_the_upload_stalls)
{
    cr_assert_eq(bodyOf("HTTP/1.1 200 OK\r\n\r\nwhole"), "whole");
}
