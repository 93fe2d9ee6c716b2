/// \file
/// \brief Small HTTP server of the stand-in programs: one coroutine for each connection.
#pragma once

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http/message.hpp>
#include <boost/beast/http/string_body.hpp>

#include <chrono>
#include <cstdint>
#include <functional>
#include <set>
#include <string>
#include <string_view>

namespace cardamombay::support {

using StandinRequest = boost::beast::http::request<boost::beast::http::string_body>;
using StandinResponse = boost::beast::http::response<boost::beast::http::string_body>;

/// \brief A response with a JSON body.
[[nodiscard]] StandinResponse jsonResponse(unsigned status, std::string body);

/// \brief Value of a request header; empty if absent.
[[nodiscard]] std::string headerOf(const StandinRequest &request, std::string_view name);

/// \brief One request and the ways to answer it; writes throw when the caller has gone.
class StandinExchange
{
public:
    StandinExchange(boost::beast::tcp_stream &stream, StandinRequest request);

    [[nodiscard]] const StandinRequest &request() const { return request_; }

    /// \brief Answers whole.
    boost::asio::awaitable<void> respond(StandinResponse response);

    /// \brief Announces the whole response, sends half of it and cuts the connection.
    boost::asio::awaitable<void> respondInPart(StandinResponse response);

    /// \name Answering in pieces, chunked
    /// \{
    boost::asio::awaitable<void> startStream(StandinResponse head);
    boost::asio::awaitable<void> write(std::string piece);
    boost::asio::awaitable<void> finishStream();
    /// \}

    /// \brief Sends \p bytes as they are; they must outlive the write.
    boost::asio::awaitable<void> writeRaw(std::string_view bytes);

    /// \brief Cuts the connection; nothing further is sent.
    void drop();

    [[nodiscard]] bool isDropped() const { return isDropped_; }

private:
    boost::beast::tcp_stream &stream_;
    StandinRequest request_;
    bool isDropped_ = false;
};

/// \brief Listens on 127.0.0.1 and hands each request to a handler.
class StandinServer
{
public:
    using Handler = std::function<boost::asio::awaitable<void>(StandinExchange &)>;

    /// \param context runs everything; single-threaded.
    /// \param port zero takes a free one.
    /// \param handler answers each request.
    StandinServer(boost::asio::io_context &context, std::uint16_t port, Handler handler);

    [[nodiscard]] std::uint16_t port() const { return port_; }

    /// \brief Closes the port and all connections, as the end of a process does.
    void stop();
    /// \brief Listens on the same port again.
    void listenAgain();

private:
    boost::asio::awaitable<void> accept();
    boost::asio::awaitable<void> serve(boost::asio::ip::tcp::socket socket);

    boost::asio::io_context &context_;
    boost::asio::ip::tcp::acceptor acceptor_;
    std::uint16_t port_;
    Handler handler_;
    std::set<boost::beast::tcp_stream *> open_;
};

/// \brief Prints "listening port=N" and runs \p context until SIGTERM or SIGINT.
void runStandin(boost::asio::io_context &context, std::uint16_t port);

/// \brief Waits on the running coroutine's executor.
boost::asio::awaitable<void> pauseFor(std::chrono::nanoseconds time);

} // namespace cardamombay::support
