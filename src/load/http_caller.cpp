#include <cardamombay/load/http_caller.hpp>

#include "net/answer_head.hpp"
#include "net/field_values.hpp"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/string_body.hpp>
#include <boost/beast/http/write.hpp>

#include <optional>
#include <utility>

namespace cardamombay::load {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;

namespace {

constexpr std::size_t bodyLimit = 64UL * 1024 * 1024;
constexpr std::string_view eventPrefix = "data: ";

using Parser = http::response_parser<http::string_body>;

TimePoint now()
{
    // The tool measures answers as its own VM sees them and decides nothing.
    return std::chrono::steady_clock::now();
}

/// Completion token that puts the error there instead of throwing it.
auto into(beast::error_code &error)
{
    return asio::redirect_error(asio::use_awaitable, error);
}

http::request<http::string_body> toMessage(const Call &call)
{
    http::request<http::string_body> request;
    request.version(11);
    request.method_string(call.method_);
    request.target(call.target_);
    request.set(http::field::host, call.address_.text());
    request.set(http::field::connection, "close");
    for (const auto &field : call.fields_)
        request.set(field.name_, field.value_);
    request.body() = call.body_;
    request.prepare_payload();
    return request;
}

/// Reads the head of the answer into \p result; interim ones are skipped.
/// \returns why what was received is no head of an answer; empty if it is one.
asio::awaitable<std::string> readHead(beast::tcp_stream &stream, net::impl::HeadBuffer &buffer,
                                      std::optional<Parser> &parser, const Call &call,
                                      CallResult &result)
{
    const auto acceptedCodings = net::impl::valueOf(call.fields_, "Accept-Encoding");
    for (;;) {
        parser.emplace();
        parser->body_limit(bodyLimit);
        parser->skip(call.method_ == "HEAD");
        beast::error_code error;
        buffer.beginHead();
        co_await http::async_read_header(stream, buffer, *parser, into(error));
        if (error)
            co_return "read: " + error.message();
        auto [head, defect] = net::impl::takeHead(*parser, buffer, acceptedCodings);
        if (defect)
            co_return std::string(textOf(*defect));
        if (net::isInterim(head.status_))
            continue;
        result.status_ = head.status_;
        result.fields_ = std::move(head.fields_);
        co_return std::string();
    }
}

asio::awaitable<beast::error_code> readBody(beast::tcp_stream &stream,
                                            net::impl::HeadBuffer &buffer, Parser &parser,
                                            CallResult &result)
{
    beast::error_code error;
    parser.eager(true);
    std::size_t seen = 0;
    while (!error && !parser.is_done()) {
        if (parser.get().body().size() > seen) {
            seen = parser.get().body().size();
            result.readAt_.push_back(now());
        }
        co_await http::async_read_some(stream, buffer, parser, into(error));
    }
    if (parser.get().body().size() > seen)
        result.readAt_.push_back(now());
    co_return error;
}

/// Reads the answer; a body that comes is kept also if it breaks off.
/// \param wasReset as told by the write of the request.
/// \returns why there is no whole answer; empty if there is one.
asio::awaitable<std::string> readAnswer(beast::tcp_stream &stream, const Call &call, bool wasReset,
                                        CallResult &result)
{
    net::impl::HeadBuffer buffer;
    std::optional<Parser> parser;
    if (auto failure = co_await readHead(stream, buffer, parser, call, result); !failure.empty())
        co_return failure;
    const auto error = co_await readBody(stream, buffer, *parser, result);
    result.body_ = parser->get().body();
    if (!parser->is_done())
        co_return "read: " + error.message();
    const auto defect = net::defectOfEnd(parser->need_eof(), wasReset);
    co_return defect ? std::string(textOf(*defect)) : std::string();
}

asio::awaitable<void> exchange(const Call &call, CallResult &result)
{
    beast::error_code error;
    beast::tcp_stream stream(co_await asio::this_coro::executor);
    stream.expires_after(call.timeout_);
    const asio::ip::tcp::endpoint endpoint(asio::ip::make_address(call.address_.ip_),
                                           call.address_.port_);
    co_await stream.async_connect(endpoint, into(error));
    if (error) {
        result.failure_ = "connect: " + error.message();
        co_return;
    }
    stream.socket().set_option(asio::ip::tcp::no_delay(true), error);
    result.mayHaveLeft_ = true;
    const auto request = toMessage(call);
    // A refusal may come before the body was taken, so an answer is read even if this fails.
    co_await http::async_write(stream, request, into(error));
    const bool wasReset = error == asio::error::connection_reset;
    result.failure_ = co_await readAnswer(stream, call, wasReset, result);
    result.isWhole_ = result.failure_.empty();
}

asio::awaitable<void> run(Call call, std::function<void(CallResult)> done)
{
    CallResult result;
    result.startedAt_ = now();
    try {
        co_await exchange(call, result);
    } catch (const std::exception &e) {
        result.failure_ = e.what();
    }
    result.endedAt_ = now();
    result.firstByteAt_ = result.readAt_.empty() ? result.endedAt_ : result.readAt_.front();
    done(std::move(result));
}

} // namespace

std::string CallResult::field(std::string_view name) const
{
    for (const auto &field : fields_) {
        if (beast::iequals(field.name_, beast::string_view(name.data(), name.size())))
            return field.value_;
    }
    return "";
}

std::vector<std::string> eventsOf(std::string_view body)
{
    std::vector<std::string> events;
    std::size_t start = 0;
    for (auto end = body.find("\n\n"); end != std::string_view::npos;
         end = body.find("\n\n", start)) {
        const auto event = body.substr(start, end - start);
        if (event.starts_with(eventPrefix))
            events.emplace_back(event.substr(eventPrefix.size()));
        start = end + 2;
    }
    return events;
}

void HttpCaller::send(Call call, std::function<void(CallResult)> done)
{
    asio::co_spawn(context_, run(std::move(call), std::move(done)), asio::detached);
}

} // namespace cardamombay::load
