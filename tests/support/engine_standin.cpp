#include "support/engine_standin.hpp"

#include <cardamombay/endpoint/endpoint_codec.hpp>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/write.hpp>
#include <boost/json.hpp>

#include <algorithm>
#include <stdexcept>
#include <utility>

namespace cardamombay::support {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;
namespace json = boost::json;
using endpoint::EnginePhase;
using std::chrono::steady_clock;

namespace {

json::value parsed(const std::string &text)
{
    json::error_code error;
    return json::parse(text, error);
}

} // namespace

EngineStandin::EngineStandin(asio::io_context &context, EngineSettings settings)
    : context_(context)
    , settings_(std::move(settings))
    , member_(settings_.vm_, settings_.incarnation_, settings_.checksFencing_)
    , ledgerFile_(settings_.ledgerFile_)
    , loadTakenAt_(steady_clock::now())
    , server_(context, settings_.port_,
              [this](StandinExchange &exchange) { return handle(exchange); })
{
    asio::co_spawn(context_, reportLoad(), asio::detached);
}

EngineStandin::Task EngineStandin::handle(StandinExchange &exchange)
{
    const std::string_view target = exchange.request().target();
    const auto method = exchange.request().method();
    if (target == "/v1/state") {
        auto state = member_.state();
        state.load_ = loadReport_;
        state.load_.lag_ = steady_clock::now() - loadTakenAt_;
        co_await exchange.respond(jsonResponse(200, encodeState(state)));
    } else if (target == "/v1/orders" && method == http::verb::post) {
        co_await handleOrder(exchange);
    } else if (target.starts_with("/v1/attempts/") && method == http::verb::delete_) {
        co_await handleCancel(exchange);
    } else if (target == "/v1/completions" || target == "/v1/chat/completions") {
        co_await handleCompletion(exchange);
    } else if (target == "/test/ledger") {
        co_await exchange.respond(jsonResponse(200, ledger()));
    } else if (target == "/test/behaviour") {
        co_await handleBehaviour(exchange);
    } else {
        co_await refuse(exchange, 404, "unknown-path");
    }
}

EngineStandin::Task EngineStandin::refuse(StandinExchange &exchange, unsigned status,
                                          std::string_view reason)
{
    auto response = jsonResponse(status, endpoint::encodeRefusal(reason));
    response.set("X-Not-Run", "true");
    const std::string attempt = headerOf(exchange.request(), attemptHeader);
    if (!attempt.empty())
        response.set("X-Attempt-Id", attempt);
    co_await exchange.respond(std::move(response));
}

EngineStandin::Task EngineStandin::handleOrder(StandinExchange &exchange)
{
    const auto order = endpoint::decodeOrder("order", exchange.request().body());
    if (!isOk(order) || valueOf(order).vm_ != settings_.vm_) {
        co_await refuse(exchange, 400, "malformed");
        co_return;
    }
    const bool isRepeat = member_.hasSeen(valueOf(order).id_);
    const bool wasHeld = member_.state().assignment_.has_value();
    const auto answer = member_.take(valueOf(order));
    if (!answer.isTaken()) {
        co_await refuse(exchange, 409, answer.refusal_);
        co_return;
    }
    if (valueOf(order).kind_ == endpoint::OrderKind::Release)
        cancelAll();
    const bool startsLoading
        = !isRepeat && !wasHeld && valueOf(order).kind_ == endpoint::OrderKind::Assign;
    if (startsLoading)
        asio::co_spawn(context_, load(valueOf(order)), asio::detached);
    co_await exchange.respond(jsonResponse(200, encodeState(answer.state_)));
}

EngineStandin::Task EngineStandin::load(endpoint::EndpointOrder order)
{
    bool isLoaded = true;
    if (settings_.weights_)
        co_await fetchWeights(order, isLoaded);
    else
        co_await pauseFor(settings_.loadTime_);
    if (isLoaded)
        member_.finishLoading(order.assignment_);
    else
        member_.failLoading(order.assignment_);
}

EngineStandin::Task EngineStandin::fetchWeights(const endpoint::EndpointOrder &order,
                                                bool &isLoaded)
{
    constexpr int attempts = 100;
    constexpr auto retryDelay = std::chrono::milliseconds(200);
    const asio::ip::tcp::endpoint store(asio::ip::make_address(settings_.weights_->ip_),
                                        settings_.weights_->port_);
    http::request<http::string_body> request(http::verb::post, "/v1/weights", 11);
    request.set(http::field::host, settings_.weights_->text());
    request.body() = json::serialize(json::object{{"model", order.model_.name_.text()},
                                                  {"version", order.model_.version_.text()},
                                                  {"vm", settings_.vm_.text()}});
    request.prepare_payload();
    isLoaded = false;
    for (int i = 0; i < attempts && member_.state().assignment_ == order.assignment_; ++i) {
        try {
            beast::tcp_stream stream(context_);
            co_await stream.async_connect(store, asio::use_awaitable);
            co_await http::async_write(stream, request, asio::use_awaitable);
            beast::flat_buffer buffer;
            http::response<http::string_body> response;
            co_await http::async_read(stream, buffer, response, asio::use_awaitable);
            if (response.result_int() == 200) {
                isLoaded = true;
                co_return;
            }
        } catch (const std::exception &) {
            // The weight store is away; tried again below.
        }
        co_await pauseFor(retryDelay);
    }
}

EngineStandin::Task EngineStandin::reportLoad()
{
    for (;;) {
        loadReport_.running_ = running_;
        loadReport_.queued_ = static_cast<std::uint32_t>(waiting_.size());
        loadReport_.kvCacheUsed_ = std::min(1.0, static_cast<double>(running_) / settings_.slots_);
        loadTakenAt_ = steady_clock::now();
        co_await pauseFor(settings_.loadInterval_);
    }
}

EngineStandin::Task EngineStandin::handleCancel(StandinExchange &exchange)
{
    const std::string_view target = exchange.request().target();
    const std::string attempt(target.substr(target.rfind('/') + 1));
    const bool isRunning = std::any_of(runs_.begin(), runs_.end(), [&](const auto &run) {
        return run->attempt_ == attempt && run->outcome_ == "running";
    });
    if (isRunning)
        cancelled_.insert(attempt);
    co_await exchange.respond(jsonResponse(isRunning ? 200 : 404, "{}"));
}

void EngineStandin::cancelAll()
{
    for (const auto &run : runs_) {
        if (run->outcome_ == "running")
            cancelled_.insert(run->attempt_);
    }
}

EngineStandin::Task EngineStandin::handleBehaviour(StandinExchange &exchange)
{
    const auto value = parsed(exchange.request().body());
    if (!value.is_object()) {
        co_await refuse(exchange, 400, "malformed");
        co_return;
    }
    const auto &body = value.as_object();
    EngineBehaviour behaviour;
    behaviour.kind_ = textOf(body, "kind");
    behaviour.count_ = static_cast<std::uint32_t>(numberOf(body, "count", 0));
    behaviour.afterTokens_ = static_cast<std::uint32_t>(numberOf(body, "after_tokens", 2));
    behaviour.delay_ = std::chrono::milliseconds(numberOf(body, "delay_ms", 500));
    behaviour_ = behaviour;
    co_await exchange.respond(jsonResponse(200, "{}"));
}

EngineBehaviour EngineStandin::takeBehaviour()
{
    EngineBehaviour taken = behaviour_;
    if (behaviour_.count_ > 0 && --behaviour_.count_ == 0)
        behaviour_ = {};
    return taken;
}

std::string EngineStandin::refusalOf(const StandinRequest &request) const
{
    const auto &state = member_.state();
    const bool isOwnGroup = state.assignment_
                            && headerOf(request, "X-Group") == state.assignment_->group_.text()
                            && headerOf(request, "X-Generation")
                                   == std::to_string(state.assignment_->generation_.value());
    if (!isOwnGroup)
        return "wrong-generation";
    if (state.phase_ != EnginePhase::Ready)
        return state.phase_ == EnginePhase::Draining ? "draining" : "not-ready";
    return state.assignment_->rank_ == 0 ? "" : "not-rank-0";
}

EngineStandin::Task EngineStandin::handleCompletion(StandinExchange &exchange)
{
    const auto body = parsed(exchange.request().body());
    if (!body.is_object()) {
        co_await refuse(exchange, 400, "malformed");
        co_return;
    }
    if (const std::string reason = refusalOf(exchange.request()); !reason.empty()) {
        co_await refuse(exchange, 409, reason);
        co_return;
    }
    EngineCompletion completion;
    completion.read(exchange.request(), body.as_object());
    completion.behaviour_ = takeBehaviour();
    completion.input_.model_ = member_.state().model_.name_.text();
    completion.input_.modelVersion_ = member_.state().model_.version_.text();
    if (completion.is("refuse")) {
        co_await refuse(exchange, 503, "overloaded");
        co_return;
    }
    if (completion.is("wrong-attempt"))
        completion.shownAttempt_ += "-other";
    if (completion.is("no-attempt"))
        completion.shownAttempt_.clear();
    const EngineRun &run = *completion.run_;
    ledgerFile_.append({settings_.vm_.text(), run.attempt_, run.user_, run.idempotencyKey_});
    runs_.push_back(completion.run_);
    try {
        co_await runCompletion(exchange, completion);
    } catch (const std::exception &) {
        completion.run_->outcome_ = "cut";
        exchange.drop();
    }
}

EngineStandin::Task EngineStandin::runCompletion(StandinExchange &exchange,
                                                 EngineCompletion &completion)
{
    if (completion.is("hang"))
        co_await pauseFor(std::chrono::hours(1));
    if (completion.is("late"))
        co_await pauseFor(completion.behaviour_.delay_);
    co_await waitForSlot(completion.priority_);
    try {
        if (completion.isStream_)
            co_await stream(exchange, completion);
        else
            co_await answerWhole(exchange, completion);
    } catch (const std::exception &) {
        releaseSlot();
        throw;
    }
    releaseSlot();
}

EngineStandin::Task EngineStandin::generate(EngineCompletion &completion)
{
    const bool isSlow = completion.is("slow");
    co_await pauseFor(isSlow ? completion.behaviour_.delay_ : settings_.tokenTime_);
    if (cancelled_.erase(completion.run_->attempt_) > 0)
        completion.run_->outcome_ = "cancelled";
    else
        ++completion.run_->tokens_;
}

EngineStandin::Task EngineStandin::stream(StandinExchange &exchange, EngineCompletion &completion)
{
    auto head = completion.head();
    head.set(http::field::content_type, "text/event-stream");
    co_await exchange.startStream(std::move(head));
    EngineRun &run = *completion.run_;
    while (completion.next() < completion.last_ && run.outcome_ == "running") {
        const std::uint32_t index = completion.next();
        co_await generate(completion);
        if (run.outcome_ != "running")
            break;
        const bool isAtFault = run.tokens_ > completion.behaviour_.afterTokens_;
        if (isAtFault && completion.is("cut"))
            throw std::runtime_error("cut as told");
        if (isAtFault && completion.is("truncated")) {
            run.outcome_ = "cut";
            co_await exchange.finishStream();
            co_return;
        }
        if (isAtFault && completion.is("stall"))
            co_await pauseFor(std::chrono::hours(1));
        const bool isSkipped
            = completion.is("skipped-event") && run.tokens_ == completion.behaviour_.afterTokens_;
        if (!isSkipped)
            co_await exchange.write(completion.event(index));
        if (completion.is("duplicated-events"))
            co_await exchange.write(completion.event(index));
    }
    if (run.outcome_ == "running") {
        run.outcome_ = "complete";
        co_await exchange.write("data: [DONE]\n\n");
    }
    co_await exchange.finishStream();
}

EngineStandin::Task EngineStandin::answerWhole(StandinExchange &exchange,
                                               EngineCompletion &completion)
{
    EngineRun &run = *completion.run_;
    while (completion.next() < completion.last_ && run.outcome_ == "running")
        co_await generate(completion);
    if (run.outcome_ == "cancelled") {
        co_await exchange.respond(jsonResponse(499, endpoint::encodeRefusal("cancelled")));
        co_return;
    }
    run.outcome_ = "complete";
    auto response = completion.head();
    response.body() = completion.whole();
    if (completion.is("cut"))
        throw std::runtime_error("cut as told");
    if (completion.is("truncated")) {
        run.outcome_ = "cut";
        co_await exchange.respondInPart(std::move(response));
        co_return;
    }
    co_await exchange.respond(std::move(response));
}

EngineStandin::Task EngineStandin::waitForSlot(std::int64_t priority)
{
    if (running_ < settings_.slots_ && waiting_.empty()) {
        ++running_;
        co_return;
    }
    auto timer
        = std::make_shared<asio::steady_timer>(context_, asio::steady_timer::time_point::max());
    const auto behind = std::find_if(waiting_.begin(), waiting_.end(), [&](const Waiter &other) {
        return other.priority_ < priority;
    });
    waiting_.insert(behind, Waiter{priority, timer});
    beast::error_code woken;
    co_await timer->async_wait(asio::redirect_error(asio::use_awaitable, woken));
}

void EngineStandin::releaseSlot()
{
    if (waiting_.empty()) {
        --running_;
        return;
    }
    const auto timer = waiting_.front().timer_; // The slot passes on; running_ stays.
    waiting_.pop_front();
    timer->cancel();
}

std::string EngineStandin::ledger() const
{
    json::array runs;
    for (const auto &run : runs_) {
        runs.push_back(json::object{{"attempt", run->attempt_},
                                    {"request_body_hash", run->bodyHash_},
                                    {"idempotency_key", run->idempotencyKey_},
                                    {"user", run->user_},
                                    {"first_token", run->firstToken_},
                                    {"tokens", run->tokens_},
                                    {"outcome", run->outcome_}});
    }
    return json::serialize(json::object{{"runs", std::move(runs)}});
}

} // namespace cardamombay::support
