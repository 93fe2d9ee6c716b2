/// \file
/// \brief Requests to endpoints whose answers are taken as they come.
/// \details The seam for callers' requests. It reports bytes as they come and decides nothing about
/// outcomes; an implementation never repeats a request.
#pragma once

#include <cardamombay/core/address.hpp>
#include <cardamombay/core/shared_bytes.hpp>
#include <cardamombay/core/time.hpp>
#include <cardamombay/net/answer_defect.hpp>
#include <cardamombay/net/http_client.hpp>

#include <cstddef>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace cardamombay::net {

/// \brief A request to an endpoint.
struct UpstreamRequest
{
    Address address_;
    std::string method_ = "POST";
    std::string target_ = "/";
    std::vector<HttpField> fields_;
    SharedBytes body_;
    Duration connectTimeout_ = std::chrono::seconds(1);
    Duration longestIdle_
        = std::chrono::seconds(4); ///< A kept connection that was unused for
                                   ///< longer is not taken; zero wants a fresh one.
};

/// \brief Why an answer did not come or did not come whole.
struct UpstreamFailure
{
    bool mayHaveLeft_ = true; ///< False only if no byte of the request can have left.
    bool isTimeout_ = false;
    std::string detail_;
    bool isRefused_ = false; ///< Nobody listens at the address.
    /// Set if the endpoint has sent what is not an answer.
    std::optional<AnswerDefect> defect_ = {};
};

/// \brief Receives the events of one call; never called from inside a function of the call.
class UpstreamListener
{
public:
    UpstreamListener() = default;
    UpstreamListener(const UpstreamListener &) = delete;
    UpstreamListener &operator=(const UpstreamListener &) = delete;
    virtual ~UpstreamListener() = default;

    /// \brief The connection stands; the first byte leaves right after this.
    /// \returns false to send nothing; no event follows then.
    virtual bool onConnected() = 0;

    /// \brief The head of the answer; its body is empty.
    virtual void onHead(HttpResponse head) = 0;

    /// \brief More of the body came.
    /// \param data all bytes that were not consumed yet; valid until the next consume().
    virtual void onData(std::string_view data) = 0;

    /// \brief The answer is whole, as its framing says. One with neither a length nor chunks is
    /// whole when its connection is closed in order.
    /// \param rest all bytes that were not consumed; valid as long as the call.
    virtual void onEnd(std::string_view rest) = 0;

    /// \brief The connection was not made, broke, or broke the protocol.
    virtual void onFailure(UpstreamFailure failure) = 0;
};

/// \brief A call under way; destroying it closes its connection, and no event follows.
class UpstreamCall
{
public:
    UpstreamCall() = default;
    UpstreamCall(const UpstreamCall &) = delete;
    UpstreamCall &operator=(const UpstreamCall &) = delete;
    virtual ~UpstreamCall() = default;

    /// \brief Drops the first \p size bytes of the data and reads on. Without it nothing more is
    /// read, so a slow caller slows the endpoint down.
    virtual void consume(std::size_t size) = 0;
};

/// \brief Tells which addresses can be reached without a new connection.
class UnusedConnections
{
public:
    UnusedConnections() = default;
    UnusedConnections(const UnusedConnections &) = delete;
    UnusedConnections &operator=(const UnusedConnections &) = delete;
    virtual ~UnusedConnections() = default;

    [[nodiscard]] virtual bool hasUnused(const Address &address) const = 0;
};

/// \brief Starts calls; belongs to one traffic thread.
class Upstream
{
public:
    Upstream() = default;
    Upstream(const Upstream &) = delete;
    Upstream &operator=(const Upstream &) = delete;
    virtual ~Upstream() = default;

    /// \brief Starts a call on a connection of its own; it is never repeated.
    /// \param request what to send.
    /// \param listener receives the events; outlives the call.
    [[nodiscard]] virtual std::unique_ptr<UpstreamCall> start(UpstreamRequest request,
                                                              UpstreamListener &listener)
        = 0;

    /// \brief Finds out whether anybody listens at \p address, on a connection of its own.
    /// \param listener gets onConnected(), whose result does not count, or onFailure().
    [[nodiscard]] virtual std::unique_ptr<UpstreamCall>
    probe(const Address &address, Duration timeout, UpstreamListener &listener)
    {
        UpstreamRequest request;
        request.address_ = address;
        request.connectTimeout_ = timeout;
        request.longestIdle_ = Duration::zero();
        return start(std::move(request), listener);
    }

    /// \brief Drops connections that are kept unused to \p address; they lead to nobody any more.
    virtual void dropUnused(const Address & /*address*/) {}
};

} // namespace cardamombay::net
