/// \file
/// \brief A caller of the service: sends requests, reads whole and streamed answers.
#pragma once

#include <cardamombay/core/address.hpp>
#include <cardamombay/core/time.hpp>
#include <cardamombay/net/http_client.hpp>

#include <cstdint>
#include <functional>
#include <string>
#include <string_view>
#include <vector>

namespace boost::asio {
class io_context;
} // namespace boost::asio

namespace cardamombay::load {

/// \brief One request of a caller.
struct Call
{
    Address address_;
    std::string method_ = "POST";
    std::string target_ = "/";
    std::vector<net::HttpField> fields_;
    std::string body_;
    Duration timeout_ = std::chrono::seconds(30); ///< For the whole exchange.
};

/// \brief What the caller saw.
struct CallResult
{
    std::uint32_t status_ = 0; ///< Zero if no head of an answer came.
    std::vector<net::HttpField> fields_;
    std::string body_;         ///< Whatever of it came, chunk framing removed.
    bool isWhole_ = false;     ///< The response ended as HTTP says it must.
    bool mayHaveLeft_ = false; ///< False only if no byte of the request can have left.
    std::string failure_;      ///< Empty if isWhole_.
    TimePoint startedAt_{};
    TimePoint firstByteAt_{}; ///< Of the body; equals endedAt_ if there is none.
    TimePoint endedAt_{};
    std::vector<TimePoint> readAt_; ///< When each further part of the body came.

    /// \brief Value of a field by name, in any case; empty if absent.
    [[nodiscard]] std::string field(std::string_view name) const;
};

/// \brief Payloads of the server-sent events in \p body, whole events only.
[[nodiscard]] std::vector<std::string> eventsOf(std::string_view body);

/// \brief Sends each call on a connection of its own, once, without retries.
/// \code
/// boost::asio::io_context context;
/// HttpCaller caller(context);
/// caller.send(call, [](CallResult result) { std::cout << result.status_; });
/// context.run();
/// \endcode
class HttpCaller
{
public:
    explicit HttpCaller(boost::asio::io_context &context)
        : context_(context)
    {
    }

    /// \brief Starts \p call; \p done runs once on the context's thread, never inline.
    void send(Call call, std::function<void(CallResult)> done);

private:
    boost::asio::io_context &context_;
};

} // namespace cardamombay::load
