#include "support/plain_standin.hpp"

#include <cardamombay/endpoint/endpoint_codec.hpp>

#include <boost/json.hpp>

#include <utility>

namespace cardamombay::support {

namespace asio = boost::asio;
namespace json = boost::json;

PlainStandin::PlainStandin(asio::io_context &context, VmId vm, std::uint16_t port,
                           Incarnation incarnation, const std::string &ledgerFile)
    : vm_(std::move(vm))
    , incarnation_(incarnation)
    , ledgerFile_(ledgerFile)
    , server_(context, port, [this](StandinExchange &exchange) { return handle(exchange); })
{
}

PlainStandin::Task PlainStandin::handle(StandinExchange &exchange)
{
    const std::string_view target = exchange.request().target();
    if (target == "/v1/state")
        co_await exchange.respond(jsonResponse(200, state()));
    else if (target == "/test/ledger")
        co_await exchange.respond(jsonResponse(200, ledger()));
    else if (target == "/test/behaviour")
        co_await handleBehaviour(exchange);
    else
        co_await handleCall(exchange);
}

PlainStandin::Task PlainStandin::handleBehaviour(StandinExchange &exchange)
{
    json::error_code error;
    const auto value = json::parse(exchange.request().body(), error);
    if (error || !value.is_object()) {
        co_await exchange.respond(jsonResponse(400, "{}"));
        co_return;
    }
    Behaviour behaviour;
    const auto &body = value.as_object();
    if (const auto *kind = body.if_contains("kind"); kind && kind->is_string())
        behaviour.kind_ = std::string(kind->as_string());
    if (const auto *count = body.if_contains("count"); count && count->is_int64())
        behaviour.count_ = count->as_int64();
    if (const auto *delay = body.if_contains("delay_ms"); delay && delay->is_int64())
        behaviour.delay_ = std::chrono::milliseconds(delay->as_int64());
    behaviour_ = behaviour;
    co_await exchange.respond(jsonResponse(200, "{}"));
}

PlainStandin::Behaviour PlainStandin::takeBehaviour()
{
    Behaviour taken = behaviour_;
    if (behaviour_.count_ > 0 && --behaviour_.count_ == 0)
        behaviour_ = {};
    return taken;
}

PlainStandin::Task PlainStandin::handleCall(StandinExchange &exchange)
{
    const auto &request = exchange.request();
    const Behaviour behaviour = takeBehaviour();
    if (behaviour.kind_ == "refuse") {
        auto response = jsonResponse(503, endpoint::encodeRefusal("overloaded"));
        response.set("X-Not-Run", "true");
        response.set("X-Attempt-Id", headerOf(request, "X-Attempt-Id"));
        co_await exchange.respond(std::move(response));
        co_return;
    }
    const std::size_t index = runs_.size();
    PlainRun record;
    record.attempt_ = headerOf(request, "X-Attempt-Id");
    record.method_ = std::string(request.method_string());
    record.target_ = std::string(request.target());
    record.idempotencyKey_ = headerOf(request, "Idempotency-Key");
    record.body_ = request.body();
    ledgerFile_.append({vm_.text(), record.attempt_, record.body_, record.idempotencyKey_});
    runs_.push_back(std::move(record));
    ++running_;
    try {
        co_await run(exchange, index, behaviour);
    } catch (const std::exception &) {
        runs_[index].outcome_ = "cut";
        exchange.drop();
    }
    --running_;
}

PlainStandin::Task PlainStandin::run(StandinExchange &exchange, std::size_t index,
                                     const Behaviour &behaviour)
{
    if (behaviour.kind_ == "hang")
        co_await pauseFor(std::chrono::hours(1));
    if (behaviour.kind_ == "late" || behaviour.kind_ == "slow")
        co_await pauseFor(behaviour.delay_);
    runs_[index].outcome_ = "complete";
    if (behaviour.kind_ == "cut") {
        exchange.drop(); // The call has run; its answer is lost.
        co_return;
    }
    std::string attempt = runs_[index].attempt_;
    if (behaviour.kind_ == "wrong-attempt")
        attempt += "-other";
    const json::object body{{"vm", vm_.text()},
                            {"run", index + 1},
                            {"method", runs_[index].method_},
                            {"target", runs_[index].target_},
                            {"echo", runs_[index].body_}};
    auto response = jsonResponse(200, json::serialize(body));
    if (behaviour.kind_ != "no-attempt")
        response.set("X-Attempt-Id", attempt);
    if (behaviour.kind_ == "truncated")
        co_await exchange.respondInPart(std::move(response));
    else
        co_await exchange.respond(std::move(response));
}

std::string PlainStandin::state() const
{
    endpoint::EndpointState state;
    state.vm_ = vm_;
    state.incarnation_ = incarnation_;
    state.phase_ = endpoint::EnginePhase::Ready;
    state.load_.running_ = running_;
    return encodeState(state);
}

std::string PlainStandin::ledger() const
{
    json::array runs;
    for (const auto &run : runs_) {
        runs.push_back(json::object{{"attempt", run.attempt_},
                                    {"method", run.method_},
                                    {"target", run.target_},
                                    {"idempotency_key", run.idempotencyKey_},
                                    {"body", run.body_},
                                    {"outcome", run.outcome_}});
    }
    return json::serialize(json::object{{"runs", std::move(runs)}});
}

} // namespace cardamombay::support
