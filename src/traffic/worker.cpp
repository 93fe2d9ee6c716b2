#include <cardamombay/traffic/worker.hpp>

#include <cardamombay/log/events.hpp>
#include <cardamombay/log/log.hpp>
#include <cardamombay/net/http_status.hpp>
#include <cardamombay/traffic/problem.hpp>
#include <cardamombay/traffic/request_parser.hpp>
#include <traffic/session.hpp>
#include <traffic/session_problems.hpp>

#include <utility>
#include <vector>

namespace cardamombay::traffic {

namespace {

constexpr Duration tickPeriod = std::chrono::milliseconds(20);
constexpr std::uint64_t ticksPerReport = 5;

/// Answers under way free memory for input meanwhile.
constexpr Duration inputRetryDelay = std::chrono::milliseconds(500);

net::HttpResponse textResponse(std::uint32_t status, std::string body)
{
    return {status, {{"Content-Type", "text/plain; version=0.0.4"}}, std::move(body)};
}

Problem faultProblem(net::ServerFault fault, std::string_view detail)
{
    Problem problem;
    problem.status_ = net::statusOf(fault);
    problem.detail_ = detail;
    switch (fault) {
    case net::ServerFault::Malformed:
        problem.type_ = "malformed-request";
        problem.title_ = "The input is not an HTTP request";
        problem.remedy_ = "check the client and whatever stands between it and this entry VM";
        break;
    case net::ServerFault::SlowRequest:
        problem.type_ = "slow-request";
        problem.title_ = "The request did not arrive in time";
        problem.remedy_ = "send it faster, or raise limits.read_timeout";
        break;
    case net::ServerFault::BodyTooLarge:
        problem.type_ = "body-too-large";
        problem.title_ = "The body is too large";
        problem.remedy_ = "send a smaller body, or raise limits.body_bytes";
        break;
    case net::ServerFault::HeaderTooLarge:
        problem.type_ = "header-too-large";
        problem.title_ = "The header is too large";
        problem.remedy_ = "send fewer or shorter fields, or raise limits.header_bytes";
        break;
    case net::ServerFault::OutOfMemory:
        problem.type_ = "input-memory-used-up";
        problem.title_ = "The bodies of other requests use the memory";
        problem.remedy_ = "send the request again, which has not run, to this or another entry VM";
        problem.retryAfter_ = inputRetryDelay;
        break;
    }
    return problem;
}

} // namespace

Worker::Worker(TrafficContext context, TrafficState &state, std::size_t number)
    : context_(std::move(context))
    , state_(state)
    , number_(number)
    , watch_(std::make_unique<impl::GroupWatch>())
{
}

Worker::~Worker() = default;

void Worker::start()
{
    tick();
}

void Worker::tick()
{
    const auto snapshot = context_.control_.snapshot();
    const auto now = context_.clock_.now();
    watch_->update(snapshot);
    // Sessions leave the map by a posted action only, so it does not change under the loop.
    for (const auto &[key, session] : sessions_)
        session->checkGroup(*watch_, now);
    context_.dispatcher_.releaseWaiting(*snapshot, now);
    if (number_ == 0 && ticks_++ % ticksPerReport == 0)
        context_.control_.postTraffic(context_.dispatcher_.report(*snapshot, now));
    context_.clock_.schedule(tickPeriod, [weak = std::weak_ptr(isAlive_), this] {
        if (weak.lock())
            tick();
    });
}

void Worker::cutSessions()
{
    for (const auto &[key, session] : sessions_)
        session->cut();
}

RequestId Worker::freshId()
{
    const auto start = std::to_string(context_.incarnation_.value());
    const auto &entry = context_.control_.snapshot()->self_.text();
    return RequestId(entry + "-" + start + "-" + std::to_string(number_) + "-"
                     + std::to_string(nextRequest_++));
}

net::HttpResponse Worker::refusal(net::ServerFault fault, std::string_view detail)
{
    const auto problem = faultProblem(fault, detail);
    const auto id = freshId();
    context_.metrics_.requestRefused(problem.type_);
    log::info(log::event::badInput,
              {{"request", id.text()}, {"type", problem.type_}, {"detail", problem.detail_}});
    return problemResponse(problem, id);
}

bool Worker::handleOwnPath(const net::ServerRequest &request, net::ServerExchange &exchange)
{
    if (request.target_ == "/healthz") {
        exchange.respond(textResponse(net::statusOk, "ok\n"));
        return true;
    }
    if (request.target_ == "/readyz") {
        if (state_.isReady_)
            exchange.respond(textResponse(net::statusOk, "ready\n"));
        else
            exchange.respond(textResponse(net::statusUnavailable, "not ready\n"));
        return true;
    }
    if (request.target_ == "/metrics") {
        exchange.respond(textResponse(net::statusOk, context_.metrics_.text()));
        return true;
    }
    return false;
}

void Worker::handle(net::ServerRequest request, std::shared_ptr<net::ServerExchange> exchange)
{
    if (handleOwnPath(request, *exchange))
        return;
    const auto id = freshId();
    const auto snapshot = context_.control_.snapshot();
    if (state_.isRefusing_) {
        refuse(impl::drainProblem(), id, *exchange);
        return;
    }
    if (!snapshot->configuration_) {
        refuse(impl::notConfiguredProblem(), id, *exchange);
        return;
    }
    const auto now = context_.clock_.now();
    auto parsed = parseRequest(std::move(request), id, *snapshot->configuration_, now);
    if (const auto *problem = std::get_if<Problem>(&parsed)) {
        refuse(*problem, id, *exchange);
        return;
    }
    auto session = std::make_shared<impl::Session>(
        context_, std::get<ParsedRequest>(std::move(parsed)), std::move(exchange),
        [this](impl::Session *over) { closed(over); });
    state_.inFlight_.fetch_add(1);
    sessions_.emplace(session.get(), session);
    session->start();
}

void Worker::refuse(const Problem &problem, const RequestId &id, net::ServerExchange &exchange)
{
    context_.metrics_.requestRefused(problem.type_);
    log::info(log::event::requestRefused,
              {{"request", id.text()}, {"type", problem.type_}, {"detail", problem.detail_}});
    recordRefusal(problem, id);
    exchange.respond(problemResponse(problem, id));
}

void Worker::recordRefusal(const Problem &problem, const RequestId &id)
{
    const auto now = context_.clock_.now();
    if (!context_.dispatcher_.mayRecord(RecordKind::Eventful, now))
        return;
    DecisionRecord record;
    record.when_ = now;
    record.event_ = log::event::requestRefused;
    record.subject_ = id.text();
    record.choice_ = problem.type_;
    record.inputs_ = {{"status", std::to_string(problem.status_)}, {"detail", problem.detail_}};
    context_.control_.recordDecision(record);
}

void Worker::closed(impl::Session *session)
{
    sessions_.erase(session);
    state_.inFlight_.fetch_sub(1);
}

} // namespace cardamombay::traffic
