/// \file
/// \brief Small HTTP server for stand-ins.
#pragma once

#include <cardamombay/core/address.hpp>
#include <cardamombay/net/http_client.hpp>

#include <functional>
#include <memory>
#include <optional>

namespace boost::asio {
class io_context;
} // namespace boost::asio

namespace cardamombay::support {

/// \brief Takes the answer to one request; without one the connection is closed.
using Respond = std::function<void(std::optional<net::HttpResponse>)>;

/// \brief Handles one request, now or later, on the thread of the event loop.
using RequestHandler = std::function<void(net::HttpRequest, Respond)>;

/// \brief HTTP/1.1 listener with kept-alive connections; echoes X-Request-Id.
class HttpListener
{
public:
    HttpListener(boost::asio::io_context &context, const Address &address, RequestHandler handler,
                 std::size_t bodyLimit);
    ~HttpListener();
    HttpListener(const HttpListener &) = delete;
    HttpListener &operator=(const HttpListener &) = delete;

    /// \brief Where it listens, with the port that was chosen if none was given.
    [[nodiscard]] Address address() const;

private:
    struct Impl;
    std::shared_ptr<Impl> impl_;
};

/// \brief Value of field \p name of a request, in any case; empty if absent.
[[nodiscard]] std::string fieldOf(const net::HttpRequest &request, std::string_view name);

} // namespace cardamombay::support
