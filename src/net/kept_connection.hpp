/// \file
/// \brief Connections to endpoints that wait unused for their next request.
#pragma once

#include "net/head_buffer.hpp"

#include <cardamombay/net/asio_http_client.hpp>
#include <cardamombay/net/kept_upstream.hpp>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http/buffer_body.hpp>
#include <boost/beast/http/parser.hpp>

#include <array>
#include <map>
#include <memory>
#include <optional>
#include <vector>

namespace cardamombay::net::impl {

namespace http = boost::beast::http;
using boost::system::error_code;
using Tcp = boost::asio::ip::tcp;

/// \brief Largest head of an answer, in bytes. No line between the parts of a body, such as the
/// head of a chunk, may be larger.
inline constexpr std::size_t maxAnswerHeadBytes = std::size_t{64} * 1024;

/// \brief A connection to an endpoint, in use by one exchange or kept by the pool.
struct KeptConnection
{
    explicit KeptConnection(boost::asio::io_context &context)
        : stream_(context)
    {
    }

    void close() { stream_.close(); }

    boost::beast::tcp_stream stream_;
    /// What was read and not parsed yet.
    HeadBuffer buffer_{maxAnswerHeadBytes};
    TimePoint keptAt_;
    Duration keptFor_{}; ///< Unused, by the endpoint's word.
    bool isKept_ = false;
};

/// \brief The unused connections of one event loop, the last used one first.
class KeptPool : public std::enable_shared_from_this<KeptPool>
{
public:
    KeptPool(boost::asio::io_context &context, const Clock &clock, KeptUpstreamLimits limits)
        : context_(context)
        , clock_(clock)
        , limits_(limits)
    {
    }

    /// \brief An unused connection to \p address, or null.
    /// \param longestIdle one that was unused for longer is not taken.
    std::shared_ptr<KeptConnection> take(const Address &address, Duration longestIdle);

    /// \brief Keeps a connection on which an answer has ended.
    /// \param idleTimeout of the endpoint; none if it has not said.
    void keep(const Address &address, const std::shared_ptr<KeptConnection> &connection,
              std::optional<Duration> idleTimeout);

    [[nodiscard]] bool hasUnused(const Address &address) const { return idle_.contains(address); }

    /// \brief Closes the unused connections to \p address.
    void drop(const Address &address);

    void close();
    void countOpened() { ++opened_; }
    [[nodiscard]] std::size_t opened() const { return opened_; }
    [[nodiscard]] std::size_t idle() const;
    [[nodiscard]] boost::asio::io_context &context() { return context_; }
    [[nodiscard]] const KeptUpstreamLimits &limits() const { return limits_; }

private:
    using Connections = std::vector<std::shared_ptr<KeptConnection>>;

    void watch(const Address &address, const std::shared_ptr<KeptConnection> &connection);
    void drop(const Address &address, const std::shared_ptr<KeptConnection> &connection);
    void dropOldest(Connections &connections);
    void dropUnusable(std::map<Address, Connections>::iterator place);

    boost::asio::io_context &context_;
    /// A connection ages while the VM is suspended: its endpoint may have closed it meanwhile.
    const Clock &clock_;
    KeptUpstreamLimits limits_;
    std::map<Address, Connections> idle_;
    std::size_t opened_ = 0;
};

} // namespace cardamombay::net::impl
