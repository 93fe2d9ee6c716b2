#include "test_engine.hpp"

#include <array>
#include <cstdlib>
#include <utility>

namespace cardamombay::test {

TestEngine::TestEngine(Script script)
    : script_(std::move(script))
    , server_({{&context_, this}}, {})
{
    address_ = valueOf(server_.listen({"127.0.0.1", 0}));
    thread_ = std::thread([this] { context_.run(); });
}

TestEngine::~TestEngine()
{
    context_.stop();
    thread_.join();
}

std::size_t TestEngine::requests() const
{
    const std::lock_guard lock(mutex_);
    return requests_.size();
}

net::ServerRequest TestEngine::request(std::size_t index) const
{
    const std::lock_guard lock(mutex_);
    return requests_.at(index);
}

std::size_t TestEngine::cancels() const
{
    const std::lock_guard lock(mutex_);
    return cancels_;
}

void TestEngine::handle(net::ServerRequest request, Exchange exchange)
{
    const bool isCancel = request.method_ == "DELETE";
    {
        const std::lock_guard lock(mutex_);
        if (isCancel)
            ++cancels_;
        else
            requests_.push_back(request);
    }
    if (isCancel)
        exchange->respond({200, {}, "{}"});
    else
        script_(request, exchange);
}

std::string attemptOf(const net::ServerRequest &request)
{
    return std::string(request.field("X-Attempt-Id"));
}

std::uint64_t resumeFrom(const net::ServerRequest &request)
{
    constexpr std::string_view name = "\"resume_from\":";
    const auto at = request.body_.find(name);
    if (at == std::string::npos)
        return 0;
    return std::strtoull(request.body_.c_str() + at + name.size(), nullptr, 10);
}

net::HttpResponse streamHead(const net::ServerRequest &request)
{
    return {200, {{"Content-Type", "text/event-stream"}, {"X-Attempt-Id", attemptOf(request)}}, {}};
}

std::string tokenEvent(std::string_view attempt, std::uint64_t index)
{
    const auto number = std::to_string(index);
    return "data: {\"id\":\"" + std::string(attempt) + "\",\"index\":" + number
           + ",\"choices\":[{\"index\":0,\"text\":\"t" + number + " \"}]}\n\n";
}

void send(const Exchange &exchange, std::string text, std::function<void()> next)
{
    const auto kept = std::make_shared<const std::string>(std::move(text));
    const std::array<std::string_view, 1> parts{*kept};
    exchange->write(parts, [kept, exchange, next = std::move(next)] { next(); });
}

namespace {

/// Tokens one write each, so that they arrive one after the other.
void sendTokens(const Exchange &exchange, const std::string &attempt, std::uint64_t index,
                std::uint64_t count, std::function<void()> end)
{
    if (index >= count) {
        end();
        return;
    }
    send(exchange, tokenEvent(attempt, index), [exchange, attempt, index, count, end] {
        sendTokens(exchange, attempt, index + 1, count, end);
    });
}

Script streams(std::uint64_t count, std::function<void(const Exchange &)> end)
{
    return
        [count, end = std::move(end)](const net::ServerRequest &request, const Exchange &exchange) {
            exchange->startStream(streamHead(request));
            sendTokens(exchange, attemptOf(request), resumeFrom(request), count,
                       [exchange, end] { end(exchange); });
        };
}

} // namespace

Script streamsWhole(std::uint64_t count)
{
    return streams(count, [](const Exchange &exchange) {
        send(exchange, "data: [DONE]\n\n", [exchange] { exchange->finish({}); });
    });
}

Script streamsAndBreaks(std::uint64_t count)
{
    return streams(count, [](const Exchange &exchange) { exchange->abort(); });
}

Script streamsAndHangs(std::uint64_t count)
{
    const auto kept = std::make_shared<std::vector<Exchange>>();
    return streams(count, [kept](const Exchange &exchange) { kept->push_back(exchange); });
}

Script answers(std::uint32_t status, std::string body)
{
    return [status, body = std::move(body)](const net::ServerRequest &request,
                                            const Exchange &exchange) {
        net::HttpResponse response{status, {{"X-Attempt-Id", attemptOf(request)}}, body};
        response.fields_.push_back({"Content-Type", "application/json"});
        const auto at = response.body_.find("ID");
        if (at != std::string::npos)
            response.body_.replace(at, 2, attemptOf(request));
        exchange->respond(std::move(response));
    };
}

} // namespace cardamombay::test
