/// \file
/// \brief HTTP server: listens, reads whole requests within bounds, keeps callers' connections.
/// \details Each connection belongs to one worker thread. Requests of a connection are handled
/// one after the other, so pipelined ones are answered in order. Input that is no acceptable
/// request never reaches the handler; the handler only words the refusal. A caller that closed
/// its sending side still gets its answer.
#pragma once

#include <cardamombay/core/address.hpp>
#include <cardamombay/core/result.hpp>
#include <cardamombay/core/time.hpp>
#include <cardamombay/net/input_budget.hpp>
#include <cardamombay/net/server_exchange.hpp>

#include <cstddef>
#include <cstdint>
#include <memory>
#include <string>
#include <vector>

namespace boost::asio {
class io_context;
} // namespace boost::asio

namespace cardamombay::net {

/// \brief Bounds on what a caller may send and how long it may take.
struct HttpServerLimits
{
    std::size_t headerBytes_ = std::size_t{16} * 1024;
    std::size_t bodyBytes_ = std::size_t{1024} * 1024;
    std::size_t connections_ = 4096;
    Duration readTimeout_ = std::chrono::seconds(10); ///< From a request's first byte to its last.
    Duration idleTimeout_ = std::chrono::seconds(60); ///< Between two requests.
    Duration writeTimeout_ = std::chrono::seconds(30);
    /// A caller that closes its sending side has left. Without it such a caller still gets its
    /// answer, and only a reset counts as leaving.
    bool endsOnHalfClose_ = false;
};

/// \brief Why input was not taken as a request; it was not run.
enum class ServerFault {
    Malformed,      ///< 400
    SlowRequest,    ///< 408
    BodyTooLarge,   ///< 413
    HeaderTooLarge, ///< 431
    OutOfMemory,    ///< 503: others' requests use the memory for input.
};

/// \brief Status code of a fault.
[[nodiscard]] std::uint32_t statusOf(ServerFault fault);

/// \brief Takes the requests of one worker thread.
class HttpHandler
{
public:
    HttpHandler() = default;
    HttpHandler(const HttpHandler &) = delete;
    HttpHandler &operator=(const HttpHandler &) = delete;
    virtual ~HttpHandler() = default;

    /// \brief Answers \p request through \p exchange, now or later.
    virtual void handle(ServerRequest request, std::shared_ptr<ServerExchange> exchange) = 0;

    /// \brief Words the response to input that is no acceptable request.
    virtual HttpResponse refusal(ServerFault fault, std::string_view detail) = 0;
};

/// \brief A thread's event loop with its handler; both outlive the server.
struct ServerWorker
{
    boost::asio::io_context *context_ = nullptr;
    HttpHandler *handler_ = nullptr;
    /// Shared by the servers of the thread, and outlives their connections. Without one, the worker
    /// has a budget of its own: its part of the default bound, twice the largest body at least.
    InputBudget *budget_ = nullptr;
};

/// \brief HTTP/1.1 server.
/// \code
/// net::HttpServer server({{&context, &handler}}, {});
/// const auto bound = server.listen({"127.0.0.1", 8080});
/// \endcode
class HttpServer
{
public:
    /// \param workers at least one; the first one accepts and hands sockets round robin.
    /// \param limits bounds for all connections.
    HttpServer(const std::vector<ServerWorker> &workers, const HttpServerLimits &limits);
    HttpServer(const HttpServer &) = delete;
    HttpServer &operator=(const HttpServer &) = delete;
    ~HttpServer();

    /// \brief Binds and starts to accept; call before the workers run.
    /// \returns the address with the port that was bound, or InvalidInput.
    [[nodiscard]] Result<Address> listen(const Address &address);

    /// \brief Replaces the bounds; requests that are being read keep theirs. Call on the thread of
    /// the only worker.
    void setLimits(const HttpServerLimits &limits);

    /// \name Shutdown; may be called from any thread
    /// \{
    /// \brief From now on every response ends its connection.
    void closeConnectionsAfterResponse();
    /// \brief Closes the listener.
    void stopAccepting();
    /// \brief Closes connections on which no request is under way.
    void closeIdleConnections();
    /// \}

    /// \name Connections on all workers; may be called from any thread
    /// \{
    [[nodiscard]] std::size_t connections() const;
    /// \brief Those on which a request arrives or is answered, until the last byte is out.
    [[nodiscard]] std::size_t busyConnections() const;
    /// \}

private:
    class Impl;
    std::shared_ptr<Impl> impl_;
};

} // namespace cardamombay::net
