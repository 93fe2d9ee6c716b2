#include "client_fixture.hpp"

#include <cardamombay/net/asio_http_client.hpp>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>

#include <vector>

#include <criterion/criterion.h>

using namespace cardamombay;
using net::AsioHttpClient;
using net::HttpFailure;
using net::HttpRequest;
using net::HttpResult;
using std::chrono::milliseconds;
using support::ClientFixture;
using support::jsonAnswer;
using support::post;
using support::postWithId;
using support::ScriptedServer;

namespace {

Address closedPort(boost::asio::io_context &context)
{
    using boost::asio::ip::tcp;
    const tcp::acceptor acceptor(context, {boost::asio::ip::make_address("127.0.0.1"), 0});
    return {"127.0.0.1", acceptor.local_endpoint().port()};
}

} // namespace

Test(asio_http_client, kept_connection_serves_the_next_request)
{
    ClientFixture fixture;
    fixture.server_.add({.bytes_ = jsonAnswer("one", 200, "X-Kind: first\r\n")});
    fixture.server_.add({.bytes_ = jsonAnswer("two", 503)});

    const auto first = fixture.response(post("a"));
    const auto second = fixture.response(post("b"));

    cr_assert_eq(first.body_, "one");
    cr_assert_eq(first.field("x-kind"), "first");
    cr_assert_eq(second.status_, 503U);
    cr_assert_eq(fixture.server_.connections(), 1U);
    cr_assert(fixture.server_.bodies() == (std::vector<std::string>{"a", "b"}));
}

Test(asio_http_client, refused_connection_says_that_no_byte_left)
{
    ClientFixture fixture;
    HttpRequest request = post("a");
    request.address_ = closedPort(fixture.context_);

    const auto failure = fixture.failure(request);

    cr_assert_not(failure.mayHaveLeft_);
    cr_assert_not(failure.isTimeout_);
}

Test(asio_http_client, address_that_is_no_ip_number_says_that_no_byte_left)
{
    ClientFixture fixture;
    HttpRequest request = post("a");
    request.address_ = {"store.example", 80};

    cr_assert_not(fixture.failure(request).mayHaveLeft_);
}

Test(asio_http_client, silent_server_gives_a_timeout_that_may_have_left)
{
    ClientFixture fixture;
    HttpRequest request = post("a");
    request.timeout_ = milliseconds(50);

    const auto failure = fixture.failure(request);

    cr_assert(failure.isTimeout_);
    cr_assert(failure.mayHaveLeft_);
    cr_assert_eq(fixture.client_.openConnections(), 0U);
}

Test(asio_http_client, kept_connection_that_dies_under_a_request_is_not_repeated)
{
    ClientFixture fixture;
    fixture.server_.add({.bytes_ = jsonAnswer("one")});
    fixture.server_.add({.resets_ = true});
    fixture.server_.add({.bytes_ = jsonAnswer("never asked for")});
    (void)fixture.response(post("a"));

    const auto failure = fixture.failure(post("b"));

    cr_assert(failure.mayHaveLeft_);
    cr_assert_eq(fixture.server_.bodies().size(), 2U);
}

Test(asio_http_client, connection_closed_while_idle_is_replaced)
{
    ClientFixture fixture;
    fixture.server_.add({.bytes_ = jsonAnswer("one")});
    fixture.server_.add({.bytes_ = jsonAnswer("two")});
    (void)fixture.response(post("a"));
    fixture.server_.closeConnections();

    const auto second = fixture.response(post("b"));

    cr_assert_eq(second.body_, "two");
    cr_assert_eq(fixture.server_.connections(), 2U);
}

Test(asio_http_client, answer_cut_short_is_no_answer)
{
    ClientFixture fixture;
    const auto whole = jsonAnswer("0123456789");
    fixture.server_.add({.bytes_ = whole.substr(0, whole.size() - 3), .closes_ = true});

    cr_assert(fixture.failure(post("a")).mayHaveLeft_);
}

Test(asio_http_client, answer_past_the_size_limit_is_refused)
{
    ClientFixture fixture({.responseBytes_ = 1000});
    fixture.server_.add({.bytes_ = jsonAnswer(std::string(1001, 'x'))});
    fixture.server_.add({.bytes_ = jsonAnswer(std::string(1000, 'x'))});

    cr_assert(fixture.failure(post("a")).mayHaveLeft_);
    cr_assert_eq(fixture.response(post("b")).body_.size(), 1000U);
}

Test(asio_http_client, duplicated_answer_is_not_taken_for_the_next_request)
{
    ClientFixture fixture;
    fixture.server_.add({.bytes_ = jsonAnswer("one"), .laterBytes_ = jsonAnswer("one")});
    fixture.server_.add({.bytes_ = jsonAnswer("two")});
    (void)fixture.response(post("a"));
    fixture.settle(milliseconds(60));

    cr_assert_eq(fixture.response(post("b")).body_, "two");
}

Test(asio_http_client, answer_that_echoes_another_request_is_dropped)
{
    ClientFixture fixture;
    fixture.server_.add({.bytes_ = jsonAnswer("old", 200, "X-Request-Id: r-1\r\n")});
    fixture.server_.add({.bytes_ = jsonAnswer("own", 200, "X-Request-Id: r-3\r\n")});

    const auto failure = fixture.failure(postWithId("r-2"));
    const auto response = fixture.response(postWithId("r-3"));

    cr_assert(failure.mayHaveLeft_);
    cr_assert_eq(response.body_, "own");
    cr_assert_eq(fixture.server_.connections(), 2U);
}

Test(asio_http_client, connections_are_bounded_and_waiting_requests_follow)
{
    ClientFixture fixture({.connectionsPerAddress_ = 2});
    for (int i = 0; i < 6; ++i) {
        fixture.server_.add({.bytes_ = jsonAnswer("x"), .delay_ = milliseconds(10)});
        fixture.start(post("a"));
    }

    fixture.runUntil(6);

    cr_assert_eq(fixture.server_.connections(), 2U);
    cr_assert_eq(fixture.server_.bodies().size(), 6U);
}

Test(asio_http_client, request_that_waited_out_its_time_says_that_no_byte_left)
{
    ClientFixture fixture({.connectionsPerAddress_ = 1});
    fixture.start(post("holds the connection"));
    HttpRequest request = post("waits");
    request.timeout_ = milliseconds(50);
    fixture.start(request);

    fixture.runUntil(1);

    const auto *failure = std::get_if<HttpFailure>(&fixture.results_.front());
    cr_assert(failure != nullptr);
    cr_assert(failure->isTimeout_);
    cr_assert_not(failure->mayHaveLeft_);
    cr_assert_eq(fixture.server_.bodies().size(), 1U);
}

Test(asio_http_client, full_queue_refuses_at_once)
{
    ClientFixture fixture({.connectionsPerAddress_ = 1, .waitingPerAddress_ = 1});
    fixture.start(post("holds the connection"));
    fixture.start(post("waits"));

    cr_assert_not(fixture.failure(post("one too many")).mayHaveLeft_);
}

Test(asio_http_client, idle_connection_is_closed_in_time)
{
    ClientFixture fixture({.idleTimeout_ = milliseconds(30)});
    fixture.server_.add({.bytes_ = jsonAnswer("one")});
    (void)fixture.response(post("a"));
    cr_assert_eq(fixture.client_.openConnections(), 1U);

    fixture.settle(milliseconds(100));

    cr_assert_eq(fixture.client_.openConnections(), 0U);
}

Test(asio_http_client, line_break_in_a_field_is_refused)
{
    ClientFixture fixture;
    HttpRequest request = post("a");
    request.fields_.push_back({"X-Name", "a\r\nX-Forged: b"});

    cr_assert_not(fixture.failure(request).mayHaveLeft_);
    cr_assert(fixture.server_.bodies().empty());
}

Test(asio_http_client, destroyed_client_calls_nobody)
{
    boost::asio::io_context context;
    ScriptedServer server(context);
    bool hasRun = false;
    {
        AsioHttpClient client(context);
        HttpRequest request = post("a");
        request.address_ = server.address();
        client.send(request, [&](const HttpResult &) { hasRun = true; });
        context.run_for(milliseconds(20));
    }

    context.restart();
    context.run_for(milliseconds(20));

    cr_assert_not(hasRun);
}
