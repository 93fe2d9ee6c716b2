#include "support/standin_server.hpp"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/signal_set.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/http/chunk_encode.hpp>
#include <boost/beast/http/empty_body.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/write.hpp>

#include <iostream>
#include <sstream>
#include <utility>

namespace cardamombay::support {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;

namespace {

constexpr std::size_t bodyLimit = 16UL * 1024 * 1024;

/// Names a connection in a set as long as it lives.
class Registration
{
public:
    Registration(std::set<beast::tcp_stream *> &set, beast::tcp_stream &stream)
        : set_(set)
        , stream_(stream)
    {
        set_.insert(&stream_);
    }
    ~Registration() { set_.erase(&stream_); }
    Registration(const Registration &) = delete;
    Registration &operator=(const Registration &) = delete;

private:
    std::set<beast::tcp_stream *> &set_;
    beast::tcp_stream &stream_;
};

asio::ip::tcp::endpoint loopback(std::uint16_t port)
{
    return {asio::ip::address_v4::loopback(), port};
}

} // namespace

StandinResponse jsonResponse(unsigned status, std::string body)
{
    StandinResponse response(static_cast<http::status>(status), 11);
    response.set(http::field::content_type, "application/json");
    response.body() = std::move(body);
    return response;
}

std::string headerOf(const StandinRequest &request, std::string_view name)
{
    return std::string(request[beast::string_view(name.data(), name.size())]);
}

StandinExchange::StandinExchange(beast::tcp_stream &stream, StandinRequest request)
    : stream_(stream)
    , request_(std::move(request))
{
}

asio::awaitable<void> StandinExchange::respond(StandinResponse response)
{
    const std::string requestId = headerOf(request_, "X-Request-Id");
    if (!requestId.empty())
        response.set("X-Request-Id", requestId);
    response.version(11);
    response.keep_alive(request_.keep_alive());
    response.prepare_payload();
    co_await http::async_write(stream_, response, asio::use_awaitable);
}

asio::awaitable<void> StandinExchange::respondInPart(StandinResponse response)
{
    response.prepare_payload();
    std::ostringstream text;
    text << response;
    const std::string half = text.str().substr(0, text.str().size() - response.body().size() / 2);
    co_await asio::async_write(stream_, asio::buffer(half), asio::use_awaitable);
    drop();
}

asio::awaitable<void> StandinExchange::startStream(StandinResponse head)
{
    http::response<http::empty_body> response(std::move(head.base()));
    response.version(11);
    response.keep_alive(request_.keep_alive());
    response.chunked(true);
    http::response_serializer<http::empty_body> serializer(response);
    co_await http::async_write_header(stream_, serializer, asio::use_awaitable);
}

asio::awaitable<void> StandinExchange::write(std::string piece)
{
    co_await asio::async_write(stream_, http::make_chunk(asio::buffer(piece)), asio::use_awaitable);
}

asio::awaitable<void> StandinExchange::finishStream()
{
    co_await asio::async_write(stream_, http::make_chunk_last(), asio::use_awaitable);
}

asio::awaitable<void> StandinExchange::writeRaw(std::string_view bytes)
{
    co_await asio::async_write(stream_, asio::buffer(bytes), asio::use_awaitable);
}

void StandinExchange::drop()
{
    isDropped_ = true;
    beast::error_code ignored;
    stream_.socket().close(ignored);
}

StandinServer::StandinServer(asio::io_context &context, std::uint16_t port, Handler handler)
    : context_(context)
    , acceptor_(context, loopback(port))
    , port_(acceptor_.local_endpoint().port())
    , handler_(std::move(handler))
{
    asio::co_spawn(context_, accept(), asio::detached);
}

void StandinServer::stop()
{
    beast::error_code ignored;
    acceptor_.close(ignored);
    for (auto *stream : open_)
        stream->socket().close(ignored);
}

void StandinServer::listenAgain()
{
    acceptor_ = asio::ip::tcp::acceptor(context_, loopback(port_));
    asio::co_spawn(context_, accept(), asio::detached);
}

asio::awaitable<void> StandinServer::accept()
{
    for (;;) {
        beast::error_code error;
        auto socket
            = co_await acceptor_.async_accept(asio::redirect_error(asio::use_awaitable, error));
        if (error)
            co_return;
        socket.set_option(asio::ip::tcp::no_delay(true), error);
        asio::co_spawn(context_, serve(std::move(socket)), asio::detached);
    }
}

asio::awaitable<void> StandinServer::serve(asio::ip::tcp::socket socket)
{
    beast::tcp_stream stream(std::move(socket));
    const Registration registration(open_, stream);
    beast::flat_buffer buffer;
    try {
        for (;;) {
            http::request_parser<http::string_body> parser;
            parser.body_limit(bodyLimit);
            co_await http::async_read(stream, buffer, parser, asio::use_awaitable);
            StandinExchange exchange(stream, parser.release());
            co_await handler_(exchange);
            if (exchange.isDropped() || !exchange.request().keep_alive())
                co_return;
        }
    } catch (const std::exception &) {
        co_return; // The caller has gone, or sent no HTTP: the connection ends here.
    }
}

void runStandin(asio::io_context &context, std::uint16_t port)
{
    asio::signal_set signals(context, SIGTERM, SIGINT);
    signals.async_wait([&context](beast::error_code, int) { context.stop(); });
    std::cout << "listening port=" << port << std::endl;
    context.run();
}

asio::awaitable<void> pauseFor(std::chrono::nanoseconds time)
{
    asio::steady_timer timer(co_await asio::this_coro::executor, time);
    co_await timer.async_wait(asio::use_awaitable);
}

} // namespace cardamombay::support
