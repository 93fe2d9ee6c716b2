/// \file
/// \brief HTTP client for control traffic, on a Boost.Asio event loop.
/// \details Decides whether a kept connection may be used again and whether a response belongs to
/// its request. It never repeats a request, and says that no byte left only if that is so: what
/// callers say about outcomes rests on it.
#pragma once

#include <cardamombay/net/http_client.hpp>

#include <cstddef>
#include <memory>

namespace boost::asio {
class io_context;
} // namespace boost::asio

namespace cardamombay::net {

/// \brief Field that ties a response to its request; a response that echoes another value is
/// never handed on.
inline constexpr std::string_view requestIdField = "X-Request-Id";

/// \brief Bounds of an AsioHttpClient.
struct HttpClientLimits
{
    std::size_t connectionsPerAddress_ = 4; ///< Further requests wait for one to be free.
    std::size_t waitingPerAddress_ = 256;   ///< Further requests fail at once.
    std::size_t responseBytes_ = std::size_t{8} << 20U;
    Duration idleTimeout_ = std::chrono::seconds(30); ///< Then an unused connection is closed.
};

/// \brief HTTP/1.1 client with kept-alive connections.
/// \details Never repeats a request. A kept connection can turn out dead only after the request
/// was written; then the request may have been delivered, and HttpFailure says so. Belongs to the
/// thread that runs the io_context. Destroying the client drops the exchanges under way; their
/// callbacks are not called.
/// \code
/// net::AsioHttpClient client(context);
/// client.send({.address_ = {"10.0.0.7", 8080}, .target_ = "/v1/state"},
///             [](net::HttpResult result) { take(std::move(result)); });
/// \endcode
class AsioHttpClient final : public HttpClient
{
public:
    explicit AsioHttpClient(boost::asio::io_context &context, HttpClientLimits limits = {});
    ~AsioHttpClient() override;

    void send(HttpRequest request, std::function<void(HttpResult)> done) override;

    /// \brief Connections that are open now, in use or kept.
    [[nodiscard]] std::size_t openConnections() const;

private:
    class Impl;
    std::shared_ptr<Impl> impl_;
};

} // namespace cardamombay::net
