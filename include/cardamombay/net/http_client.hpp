/// \file
/// \brief HTTP exchange for control traffic: store, orders, probes and peers.
/// \details The seam for control traffic. A failure tells whether a byte of the request may have
/// left; implementations never repeat a request.
#pragma once

#include <cardamombay/core/address.hpp>
#include <cardamombay/core/time.hpp>

#include <cstdint>
#include <functional>
#include <string>
#include <variant>
#include <vector>

namespace cardamombay::net {

/// \brief One HTTP header field.
struct HttpField
{
    std::string name_;
    std::string value_;
};

/// \brief A request with its whole body.
struct HttpRequest
{
    Address address_;
    std::string method_ = "GET";
    std::string target_ = "/";
    std::vector<HttpField> fields_;
    std::string body_;
    Duration timeout_ = std::chrono::seconds(2); ///< For the whole exchange.
};

/// \brief A response with its whole body.
struct HttpResponse
{
    std::uint32_t status_ = 0;
    std::vector<HttpField> fields_;
    std::string body_;
    /// The body has neither a length nor chunks, and ends when the connection is closed.
    bool endsWithConnection_ = false;

    /// \brief Value of a field by name, in any case; empty if absent.
    [[nodiscard]] std::string field(std::string_view name) const;
};

/// \brief Why an exchange gave no response.
struct HttpFailure
{
    bool mayHaveLeft_ = true; ///< False only if no byte of the request can have left.
    bool isTimeout_ = false;
    std::string detail_;
};

using HttpResult = std::variant<HttpResponse, HttpFailure>;

/// \brief Asynchronous HTTP client; answers arrive on the thread that owns it, never inline.
class HttpClient
{
public:
    HttpClient() = default;
    HttpClient(const HttpClient &) = delete;
    HttpClient &operator=(const HttpClient &) = delete;
    virtual ~HttpClient() = default;

    /// \brief Sends \p request once; it is never repeated by the client.
    virtual void send(HttpRequest request, std::function<void(HttpResult)> done) = 0;
};

} // namespace cardamombay::net
