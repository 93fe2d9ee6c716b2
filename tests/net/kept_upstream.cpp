// Connections to endpoints: which are used again, and whose bytes a caller gets.
#include "support/scripted_server.hpp"
#include "upstream_fixture.hpp"

#include <cardamombay/core/manual_clock.hpp>
#include <cardamombay/net/asio_clock.hpp>
#include <cardamombay/net/kept_upstream.hpp>

#include <boost/asio/io_context.hpp>

#include <optional>

#include <criterion/criterion.h>

using namespace cardamombay;
using namespace cardamombay::net;
using namespace cardamombay::support;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

struct Listener final : public UpstreamListener
{
    bool onConnected() override { return true; }
    void onHead(HttpResponse head) override { status_ = head.status_; }
    void onData(std::string_view /*data*/) override {}
    void onEnd(std::string_view rest) override { body_ = rest; }
    void onFailure(UpstreamFailure failure) override { failure_ = std::move(failure); }

    [[nodiscard]] bool isOver() const { return body_ || failure_; }

    std::uint32_t status_ = 0;
    std::optional<std::string> body_;
    std::optional<UpstreamFailure> failure_;
};

template<typename ClockType>
ClockType makeClock(boost::asio::io_context &context)
{
    if constexpr (std::is_same_v<ClockType, AsioClock>)
        return AsioClock(context);
    else
        return ClockType();
}

/// Connections age by \p ClockType.
template<typename ClockType>
struct BenchOn
{
    /// Sends a request and waits for its answer.
    std::optional<std::string> call(Duration longestIdle = seconds(10))
    {
        Listener listener;
        UpstreamRequest request;
        request.address_ = server_.address();
        request.method_ = "POST";
        request.target_ = "/x";
        request.fields_ = {{"X-Request-Id", "own"}};
        request.longestIdle_ = longestIdle;
        request.connectTimeout_ = seconds(1);
        const auto made = upstream_.start(std::move(request), listener);
        const auto end = std::chrono::steady_clock::now() + seconds(3);
        while (!listener.isOver() && std::chrono::steady_clock::now() < end)
            context_.run_for(milliseconds(5));
        context_.restart();
        return listener.body_;
    }

    void pass(Duration time)
    {
        context_.run_for(time);
        context_.restart();
    }

    boost::asio::io_context context_;
    ScriptedServer server_{context_};
    ClockType clock_ = makeClock<ClockType>(context_);
    KeptUpstream upstream_{context_, clock_};
};

using Bench = BenchOn<AsioClock>;

} // namespace

Test(kept_upstream, connection_is_used_again_after_a_whole_answer)
{
    Bench bench;
    bench.server_.add({jsonAnswer("1")});
    bench.server_.add({jsonAnswer("2")});
    cr_assert_eq(*bench.call(), "1");
    cr_assert(bench.upstream_.hasUnused(bench.server_.address()));
    cr_assert_eq(*bench.call(), "2");
    cr_assert_eq(bench.upstream_.opened(), 1);
}

Test(kept_upstream, connection_that_was_unused_for_too_long_is_not_taken)
{
    Bench bench;
    bench.server_.add({jsonAnswer("1")});
    bench.server_.add({jsonAnswer("2")});
    bench.server_.add({jsonAnswer("3")});
    bench.call();
    bench.pass(milliseconds(60));
    cr_assert_eq(*bench.call(milliseconds(20)), "2");
    cr_assert_eq(bench.upstream_.opened(), 2);
    cr_assert_eq(bench.upstream_.idle(), 2, "the older one still serves what may run again");
}

Test(kept_upstream, dropped_connections_are_not_taken)
{
    Bench bench;
    bench.server_.add({jsonAnswer("1")});
    bench.server_.add({jsonAnswer("2")});
    bench.call();
    bench.upstream_.dropUnused(bench.server_.address());
    cr_assert_not(bench.upstream_.hasUnused(bench.server_.address()));
    cr_assert_eq(bench.upstream_.idle(), 0);
    cr_assert_eq(*bench.call(), "2");
    cr_assert_eq(bench.upstream_.opened(), 2);
}

Test(kept_upstream, connection_is_not_taken_after_the_time_that_the_endpoint_has_told)
{
    Bench bench;
    bench.server_.add({jsonAnswer("1", 200, "Keep-Alive: timeout=1\r\n")});
    bench.server_.add({jsonAnswer("2")});
    bench.call();
    bench.pass(milliseconds(300)); // 0.8 s are kept in reserve.
    cr_assert_eq(*bench.call(), "2");
    cr_assert_eq(bench.upstream_.opened(), 2);
}

Test(kept_upstream, connection_that_the_endpoint_closed_is_not_taken)
{
    Bench bench;
    bench.server_.add({jsonAnswer("1")});
    bench.server_.add({jsonAnswer("2")});
    bench.call();
    bench.server_.closeConnections();
    bench.pass(milliseconds(20));
    cr_assert_not(bench.upstream_.hasUnused(bench.server_.address()));
    cr_assert_eq(*bench.call(), "2");
}

Test(kept_upstream, answer_to_another_request_is_left_out)
{
    Bench bench;
    bench.server_.add({jsonAnswer("late", 200, "X-Request-Id: other\r\n")
                       + jsonAnswer("own", 200, "X-Request-Id: own\r\n")});
    cr_assert_eq(*bench.call(), "own");
}

Test(kept_upstream, answer_to_a_request_with_two_ids_echoes_the_first)
{
    UpstreamFixture fixture;
    ScriptedServer server(fixture.context_);
    server.add({jsonAnswer("own", 200, "X-Request-Id: own\r\n")});
    const auto listener
        = fixture.call(fixture.kept_, server.address(), {}, {{"X-Request-Id", "second"}});
    cr_assert_eq(listener->body_.value_or("none"), "own");
}

/// A VM that is suspended for six seconds wakes with connections that its monotonic clock takes for
/// fresh. A request that may run once was sent on one that the endpoint had closed meanwhile, and
/// its caller was told that it may have run.
Test(kept_upstream, connection_is_too_old_after_the_vm_was_suspended)
{
    BenchOn<ManualClock> bench;
    bench.server_.add({jsonAnswer("1", 200, "Keep-Alive: timeout=5\r\n")});
    bench.server_.add({jsonAnswer("2")});
    cr_assert_eq(*bench.call(), "1");
    bench.clock_.advance(seconds(6));
    cr_assert_eq(*bench.call(), "2");
    cr_assert_eq(bench.upstream_.opened(), 2);
}
