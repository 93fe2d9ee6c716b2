/// \file
/// \brief One request of a caller and the way to answer it.
/// \details The seam between the HTTP server and those who answer. An exchange is answered once;
/// what comes after the caller left is dropped.
#pragma once

#include <cardamombay/core/address.hpp>
#include <cardamombay/net/http_client.hpp>

#include <functional>
#include <memory>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace cardamombay::net {

/// \brief A request that arrived whole.
struct ServerRequest
{
    std::string method_;
    std::string target_; ///< Path with query, as sent.
    std::vector<HttpField> fields_;
    std::string body_;
    std::string callerIp_;

    /// \brief Value of a field by name, in any case; empty if absent.
    [[nodiscard]] std::string_view field(std::string_view name) const;
};

/// \brief Answers one request; used on the thread of its connection only.
/// \details Either respond() once, or startStream(), any number of write(), and finish(). Calls
/// after the connection was lost do nothing; write() then never calls back. An exchange that is
/// dropped unanswered cuts the connection.
class ServerExchange
{
public:
    ServerExchange() = default;
    ServerExchange(const ServerExchange &) = delete;
    ServerExchange &operator=(const ServerExchange &) = delete;
    virtual ~ServerExchange() = default;

    /// \brief Sends a whole response.
    virtual void respond(HttpResponse response) = 0;

    /// \brief Begins a response without known length; its head leaves with the first write.
    virtual void startStream(HttpResponse head) = 0;

    /// \brief Sends the next part, gathered from \p parts without a copy.
    /// \param parts bytes that stay valid until \p written was called.
    /// \param written called when the next part may be given; never inline.
    virtual void write(std::span<const std::string_view> parts, std::function<void()> written) = 0;

    /// \brief Ends a streamed response as whole.
    /// \param trailers fields that follow the body.
    virtual void finish(std::span<const HttpField> trailers) = 0;

    /// \brief Cuts the connection, so that the caller sees a truncated response: the last chunk
    /// lacks, or the connection is reset if it is the end of the response.
    virtual void abort() = 0;

    /// \brief Calls \p lost once if the caller's connection breaks before the answer is out.
    virtual void onLost(std::function<void()> lost) = 0;
};

} // namespace cardamombay::net
