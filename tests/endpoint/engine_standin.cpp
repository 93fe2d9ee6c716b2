#include "support/engine_standin.hpp"
#include "support/caller.hpp"
#include "support/process_harness.hpp"

#include <cardamombay/endpoint/endpoint_codec.hpp>
#include <cardamombay/endpoint/http_endpoint_orders.hpp>
#include <cardamombay/net/asio_http_client.hpp>

#include <boost/asio/io_context.hpp>

#include <csignal>
#include <optional>

#include <criterion/criterion.h>

using namespace cardamombay;
using namespace cardamombay::endpoint;
using namespace cardamombay::support;

namespace {

/// One engine process, assigned and ready.
struct Fixture
{
    ProcessHarness harness_{PROGRAM_FOLDER};
    ProcessId engine_;
    Address address_{"127.0.0.1", 0};

    explicit Fixture(std::vector<std::string> arguments = {})
    {
        arguments.insert(arguments.end(), {"--vm", "vm-1", "--load-ms", "1"});
        engine_ = harness_.start("engine", harness_.program("engine_standin"), arguments);
        address_.port_ = harness_.waitForPort(engine_);
        order(OrderKind::Assign, 5, "o-assign");
        waitUntil([&] {
            return Caller(address_).fetch("/v1/state").body_.find("ready") != std::string::npos;
        });
    }

    Result<EndpointState> order(OrderKind kind, std::uint64_t fencing, const char *id)
    {
        EndpointOrder order;
        order.id_ = OrderId{id};
        order.kind_ = kind;
        order.vm_ = VmId{"vm-1"};
        order.fencing_ = Epoch{fencing};
        order.assignment_ = {GroupId{"lm/a/0"}, Generation{2}, 0};
        order.model_ = {ModelName{"m"}, ModelVersion{"1"}, {}};
        boost::asio::io_context context(1);
        net::AsioHttpClient client(context);
        HttpEndpointOrders link(client);
        std::optional<Result<EndpointState>> answer;
        link.send(address_, order, [&](auto result) {
            answer = std::move(result);
            context.stop();
        });
        context.run();
        return *answer;
    }

    static CompletionCall call(std::uint32_t tokens)
    {
        CompletionCall call;
        call.prompt_ = "dawn";
        call.tokens_ = tokens;
        call.user_ = "c-1";
        call.fields_ = {{"X-Attempt-Id", "r.1.1"}, {"X-Group", "lm/a/0"}, {"X-Generation", "2"}};
        return call;
    }

    CompletionAnswer complete(std::uint32_t tokens)
    {
        return Caller(address_).complete(call(tokens));
    }

    void behave(const char *body) { Caller(address_).post("/test/behaviour", body); }
    std::string ledger() { return Caller(address_).fetch("/test/ledger").body_; }
    bool ledgerHas(std::string_view text) { return ledger().find(text) != std::string::npos; }
};

std::string expectedText(std::uint32_t first, std::uint32_t count)
{
    return completionText({"m", "1", "dawn", 0}, first, count);
}

} // namespace

Test(engine_standin, streams_the_expected_tokens_and_echoes_the_attempt)
{
    Fixture fixture;

    const auto answer = fixture.complete(6);

    cr_assert(answer.isComplete());
    cr_assert(answer.text_ == expectedText(0, 6));
    cr_assert(answer.result_.field("x-attempt-id") == "r.1.1");
    cr_assert(fixture.ledgerHas("\"tokens\":6,\"outcome\":\"complete\""));
}

Test(engine_standin, resumed_stream_joins_what_was_delivered_before)
{
    Fixture fixture;
    auto request = toCall(Fixture::call(6));
    request.address_ = fixture.address_;
    request.body_.insert(1, R"("resume_from":{"tokens":2},)");

    const auto rest = readCompletion(Caller(fixture.address_).send(request), true);

    cr_assert(expectedText(0, 2) + rest.text_ == expectedText(0, 6));
}

Test(engine_standin, wrong_generation_and_draining_are_refused_as_not_run)
{
    Fixture fixture;
    auto request = toCall(Fixture::call(6));
    request.fields_[2].value_ = "1";

    const auto stale = Caller(fixture.address_).send(request);
    cr_assert(isOk(fixture.order(OrderKind::Drain, 5, "o-drain")));
    const auto draining = fixture.complete(6);

    cr_assert(stale.status_ == 409 && stale.field("X-Not-Run") == "true");
    cr_assert(draining.result_.status_ == 409);
    cr_assert(fixture.ledger() == R"({"runs":[]})");
}

Test(engine_standin, old_fencing_number_is_refused_unless_ignored_by_flag)
{
    Fixture checking;
    Fixture ignoring({"--ignore-fencing"});

    const auto refused = checking.order(OrderKind::Release, 4, "o-2");
    const auto taken = ignoring.order(OrderKind::Release, 4, "o-2");

    cr_assert(isError<EndpointRefused>(refused));
    cr_assert(isOk(taken) && valueOf(taken).phase_ == EnginePhase::Idle);
}

Test(engine_standin, truncated_stream_has_no_end)
{
    Fixture fixture;
    fixture.behave(R"({"kind":"truncated","after_tokens":3,"count":1})");

    const auto broken = fixture.complete(8);
    const auto next = fixture.complete(8);

    cr_assert(!broken.isComplete() && broken.text_ == expectedText(0, 3));
    cr_assert(next.isComplete());
}

Test(engine_standin, cut_connection_is_not_a_whole_response)
{
    Fixture fixture;
    fixture.behave(R"({"kind":"cut","after_tokens":3})");

    const auto answer = fixture.complete(8);

    cr_assert_not(answer.result_.isWhole_);
    cr_assert(fixture.ledgerHas("\"outcome\":\"cut\""));
}

Test(engine_standin, cancelled_attempt_ends_early_without_end_marker)
{
    Fixture fixture({"--tokens-per-second", "20"});
    boost::asio::io_context context(1);
    load::HttpCaller caller(context);
    CompletionAnswer answer;
    auto request = toCall(Fixture::call(100000));
    request.address_ = fixture.address_;
    caller.send(request, [&](auto result) { answer = readCompletion(std::move(result), true); });

    const bool isRunning = waitUntil([&] {
        context.poll();
        return fixture.ledgerHas("\"outcome\":\"running\"");
    });
    load::Call cancel;
    cancel.method_ = "DELETE";
    cancel.target_ = "/v1/attempts/r.1.1";
    const auto cancelled = Caller(fixture.address_).send(cancel);
    context.run();

    cr_assert(isRunning && cancelled.status_ == 200);
    cr_assert(!answer.isComplete());
    cr_assert(fixture.ledgerHas("\"outcome\":\"cancelled\""));
}

Test(engine_standin, term_signal_ends_it_with_success)
{
    Fixture fixture;

    fixture.harness_.terminate(fixture.engine_);

    cr_assert_eq(fixture.harness_.waitForExit(fixture.engine_), 0);
}

Test(process_harness, paused_process_answers_again_after_it_is_resumed)
{
    Fixture fixture;
    Caller hurried(fixture.address_);
    hurried.timeout_ = std::chrono::milliseconds(300);

    fixture.harness_.pause(fixture.engine_);
    const auto silent = hurried.fetch("/v1/state");
    fixture.harness_.resume(fixture.engine_);
    const auto answered = Caller(fixture.address_).fetch("/v1/state");

    cr_assert_eq(silent.status_, 0);
    cr_assert_eq(answered.status_, 200);
}

Test(process_harness, killed_process_is_unreachable_and_reported)
{
    Fixture fixture;

    fixture.harness_.kill(fixture.engine_);
    const auto answer = Caller(fixture.address_).fetch("/v1/state");

    cr_assert_not(fixture.harness_.isRunning(fixture.engine_));
    cr_assert(!answer.mayHaveLeft_ && answer.status_ == 0);
}

Test(process_harness, program_that_does_not_listen_is_named_with_its_errors)
{
    ProcessHarness harness(PROGRAM_FOLDER);
    const auto wrong = harness.start("wrong", harness.program("engine_standin"), {"--bogus"});
    std::string message;

    try {
        harness.waitForPort(wrong);
    } catch (const std::runtime_error &e) {
        message = e.what();
    }

    cr_assert(message.find("--bogus") != std::string::npos);
}
