/// \file
/// \brief Upstream that keeps connections to endpoints open between requests.
#pragma once

#include <cardamombay/core/clock.hpp>
#include <cardamombay/net/upstream.hpp>

#include <cstddef>
#include <memory>

namespace boost::asio {
class io_context;
} // namespace boost::asio

namespace cardamombay::net {

/// \brief Bounds of a KeptUpstream.
struct KeptUpstreamLimits
{
    /// Unused connections kept for one address. An engine's batch is a few dozen requests over all
    /// entry VMs, so one entry VM rarely has more than this many at once.
    std::size_t idlePerAddress_ = 16;
    /// An unused connection is not taken after that, unless the endpoint has said in a Keep-Alive
    /// field how long it keeps it; below the shortest idle timeout that endpoints use.
    Duration idleTimeout_ = std::chrono::seconds(4);
    /// What is sent must reach the endpoint before its own timeout is over.
    Duration idleReserve_ = std::chrono::milliseconds(800);
    /// Bytes of an answer that may wait to be consumed; a call whose answer has more fails.
    std::size_t unconsumedBytes_ = std::size_t{8} * 1024 * 1024;
    /// Bytes of interim answers and answers to other requests that a call drops before it fails.
    std::size_t droppedBytes_ = std::size_t{8} * 1024 * 1024;
};

/// \brief Starts calls over TCP on kept connections.
/// \details A connection is kept only after a whole answer that did not ask to close it, and is
/// closed as soon as anything arrives on it while it is unused. Interim answers, and answers that
/// echo another request's id, are read and dropped; the call then waits for its own. A kept
/// connection can turn out dead only after the request was written; UpstreamFailure then says that
/// it may have left.
/// \code
/// net::KeptUpstream upstream(context, clock);
/// auto call = upstream.start({.address_ = {"10.0.0.7", 8080}, .target_ = "/draft"}, listener);
/// \endcode
class KeptUpstream final : public Upstream, public UnusedConnections
{
public:
    /// \param clock for the age of connections; outlives the upstream, like \p context.
    KeptUpstream(boost::asio::io_context &context, const Clock &clock,
                 KeptUpstreamLimits limits = {});
    ~KeptUpstream() override;

    [[nodiscard]] std::unique_ptr<UpstreamCall> start(UpstreamRequest request,
                                                      UpstreamListener &listener) override;
    [[nodiscard]] bool hasUnused(const Address &address) const override;
    void dropUnused(const Address &address) override;

    /// \name Figures for metrics
    /// \{
    [[nodiscard]] std::size_t opened() const; ///< Connections made so far.
    [[nodiscard]] std::size_t idle() const;   ///< Connections kept unused now.
    /// \}

private:
    class Impl;
    std::shared_ptr<Impl> impl_;
};

} // namespace cardamombay::net
