// Interim answers (1xx): no client takes one for the answer that follows it.
#include "client_fixture.hpp"
#include "support/early_server.hpp"
#include "upstream_fixture.hpp"

#include <criterion/criterion.h>

using namespace cardamombay;
using namespace cardamombay::net;
using namespace cardamombay::support;
using namespace std::string_literals;
using std::chrono::seconds;

namespace {

const auto proceed = "HTTP/1.1 100 Continue\r\n\r\n"s;
const auto hints = "HTTP/1.1 103 Early Hints\r\nLink: </x>\r\n\r\n"s;

void expectWhole(const ScriptedAnswer &answer, const std::string &body)
{
    UpstreamFixture fixture;
    ScriptedServer server(fixture.context_);
    for (auto *client : fixture.clients()) {
        server.add(answer);
        const auto listener = fixture.call(*client, server.address());
        cr_expect_eq(listener->status_, 200);
        cr_expect_eq(listener->body_.value_or("none"), body);
    }
    ClientFixture client;
    client.server_.add(answer);
    const auto response = client.response(postWithId("own"));
    cr_expect_eq(response.status_, 200);
    cr_expect_eq(response.body_, body);
}

/// Expects that all clients give up without a head, before their time-out.
void expectBroken(const ScriptedAnswer &answer)
{
    UpstreamFixture fixture;
    ScriptedServer server(fixture.context_);
    for (auto *client : fixture.clients()) {
        server.add(answer);
        const auto listener = fixture.call(*client, server.address());
        cr_expect_eq(listener->status_, 0);
        cr_expect(listener->failure_ && listener->failure_->mayHaveLeft_);
    }
    ClientFixture client;
    client.server_.add(answer);
    auto request = postWithId("own");
    request.timeout_ = seconds(10);
    const auto failure = client.failure(std::move(request));
    cr_expect(failure.mayHaveLeft_ && !failure.isTimeout_);
}

} // namespace

Test(interim_answers, answer_behind_interim_ones_is_whole)
{
    const auto answer = jsonAnswer("own");
    expectWhole({.bytes_ = proceed + answer}, "own");
    expectWhole({.bytes_ = proceed + hints + proceed + answer}, "own");
    expectWhole({.bytes_ = proceed, .laterBytes_ = answer}, "own");
    expectWhole({.bytes_ = hints + answer.substr(0, 10), .laterBytes_ = answer.substr(10)}, "own");
    expectWhole({.bytes_ = proceed + "HTTP/1.1 200 OK\r\n\r\nown", .closes_ = true}, "own");
}

Test(interim_answers, early_answer_behind_an_interim_one_is_whole)
{
    UpstreamFixture fixture;
    const EarlyServer server(
        fixture.context_, {.bytes_ = proceed + jsonAnswer("own"), .end_ = EarlyEnd::CloseAndReset});
    const auto listener = fixture.call(fixture.kept_, server.address(),
                                       std::string(std::size_t{8} * 1024 * 1024, 'x'));
    cr_expect_eq(listener->body_.value_or("none"), "own");
}

Test(interim_answers, interim_answer_with_nothing_behind_it_is_broken)
{
    expectBroken({.bytes_ = proceed, .closes_ = true});
    expectBroken({.bytes_ = hints, .resetsLater_ = true});
}

Test(interim_answers, switch_of_protocols_that_nothing_asked_for_is_broken)
{
    expectBroken({.bytes_ = "HTTP/1.1 101 X\r\nUpgrade: x\r\nConnection: upgrade\r\n\r\n"
                            + jsonAnswer("own")});
}

Test(interim_answers, interim_answers_without_end_are_given_up)
{
    std::string endless;
    while (endless.size() < std::size_t{10} * 1024 * 1024)
        endless += proceed;
    expectBroken({.bytes_ = endless});
}
