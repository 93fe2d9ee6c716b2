// Answers with neither a length nor chunks, which end with their connection: both clients take them
// as whole if the connection is closed in order, and as broken if it is reset.
#include "support/scripted_server.hpp"

#include <cardamombay/net/asio_clock.hpp>
#include <cardamombay/net/kept_upstream.hpp>
#include <cardamombay/net/upstream_client.hpp>

#include <boost/asio/io_context.hpp>

#include <optional>

#include <criterion/criterion.h>

using namespace cardamombay;
using namespace cardamombay::net;
using namespace cardamombay::support;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

constexpr auto head = "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\n";

struct Listener final : public UpstreamListener
{
    bool onConnected() override { return true; }
    void onHead(HttpResponse answer) override
    {
        status_ = answer.status_;
        endsWithConnection_ = answer.endsWithConnection_;
    }
    void onData(std::string_view data) override
    {
        begun_ = data;
        if (call_)
            call_->consume(0);
    }
    void onEnd(std::string_view rest) override { body_ = rest; }
    void onFailure(UpstreamFailure failure) override { failure_ = std::move(failure); }

    [[nodiscard]] bool isOver() const { return body_ || failure_; }

    std::unique_ptr<UpstreamCall> call_;
    std::uint32_t status_ = 0;
    bool endsWithConnection_ = false;
    std::string begun_;
    std::optional<std::string> body_;
    std::optional<UpstreamFailure> failure_;
};

struct Bench
{
    /// Sends a request and waits for its answer.
    std::unique_ptr<Listener> call(Upstream &upstream)
    {
        auto listener = std::make_unique<Listener>();
        UpstreamRequest request;
        request.address_ = server_.address();
        request.fields_ = {{"X-Request-Id", "own"}};
        listener->call_ = upstream.start(std::move(request), *listener);
        const auto end = std::chrono::steady_clock::now() + seconds(3);
        while (!listener->isOver() && std::chrono::steady_clock::now() < end)
            context_.run_for(milliseconds(5));
        context_.restart();
        return listener;
    }

    std::vector<Upstream *> clients() { return {&kept_, &fresh_}; }

    boost::asio::io_context context_;
    ScriptedServer server_{context_};
    AsioClock clock_{context_};
    KeptUpstream kept_{context_, clock_};
    UpstreamClient fresh_{context_};
};

} // namespace

Test(unframed_answers, answer_that_ends_with_its_connection_is_whole)
{
    Bench bench;
    for (auto *client : bench.clients()) {
        bench.server_.add({std::string(head) + "data: 1\n\n", true, {}, {}});
        const auto listener = bench.call(*client);
        cr_assert_not(listener->failure_, "%s", listener->failure_->detail_.c_str());
        cr_assert_eq(listener->status_, 200);
        cr_assert(listener->endsWithConnection_);
        cr_assert_eq(*listener->body_, "data: 1\n\n");
    }
}

Test(unframed_answers, answer_in_several_pieces_is_whole)
{
    Bench bench;
    for (auto *client : bench.clients()) {
        bench.server_.add({std::string(head) + "data: 1\n\n", true, {}, "data: 2\n\n"});
        const auto listener = bench.call(*client);
        cr_assert_eq(listener->body_.value_or("none"), "data: 1\n\ndata: 2\n\n");
    }
}

Test(unframed_answers, answer_without_a_body_is_whole)
{
    Bench bench;
    for (auto *client : bench.clients()) {
        bench.server_.add({head, true, {}, {}});
        cr_assert_eq(bench.call(*client)->body_.value_or("none"), "");
    }
}

Test(unframed_answers, answer_whose_connection_is_reset_is_broken)
{
    Bench bench;
    for (auto *client : bench.clients()) {
        ScriptedAnswer answer{std::string(head) + "data: 1\n\n"};
        answer.resetsLater_ = true;
        bench.server_.add(answer);
        const auto listener = bench.call(*client);
        cr_assert_not(listener->body_);
        cr_assert(listener->failure_);
        cr_assert(listener->failure_->mayHaveLeft_);
        cr_assert_eq(listener->begun_, "data: 1\n\n");
    }
}

Test(unframed_answers, connection_of_an_unframed_answer_is_not_used_again)
{
    Bench bench;
    bench.server_.add({std::string(head) + "data: 1\n\n", true, {}, {}});
    (void)bench.call(bench.kept_);
    cr_assert_not(bench.kept_.hasUnused(bench.server_.address()));
}
