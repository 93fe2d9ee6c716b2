/// \file
/// \brief One direction of a proxied connection.
#pragma once

#include "support/fault_proxy.hpp"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>

#include <array>
#include <deque>
#include <functional>
#include <string>
#include <string_view>

namespace cardamombay::support {

/// \brief Reads from one socket and writes to another, late, slowly, in part or not at all.
/// \details Owned by its connection, which outlives the coroutines.
class ProxyPipe
{
public:
    using Socket = boost::asio::ip::tcp::socket;
    /// \brief Sees the bytes that were read and calls push() for those to pass on.
    using Filter = std::function<void(std::string_view)>;

    ProxyPipe(Socket &source, Socket &sink, const DirectionFaults &faults, std::uint64_t &counter);

    void setFilter(Filter filter) { filter_ = std::move(filter); }

    /// \brief Reads until the source ends; push() may go on after that.
    boost::asio::awaitable<void> read();

    /// \brief Writes until the end was passed on; true if the connection must be reset.
    boost::asio::awaitable<bool> write();

    /// \brief Queues bytes for the sink.
    void push(std::string bytes);

    /// \brief Takes changed faults into account.
    void faultsChanged();

    /// \brief Ends both coroutines.
    void stop();

private:
    struct Chunk
    {
        std::chrono::steady_clock::time_point due_;
        std::string bytes_; ///< Empty marks the end of the source.
    };

    using Timer = boost::asio::steady_timer;

    static boost::asio::awaitable<void> waitUntil(Timer &timer, Timer::time_point time);
    [[nodiscard]] std::string takeSlice();
    [[nodiscard]] bool hasReachedCut() const;

    Socket &source_;
    Socket &sink_;
    const DirectionFaults &faults_;
    std::uint64_t &counter_;
    Filter filter_;
    Timer wake_; ///< Tells the writer of bytes or changed faults.
    Timer room_; ///< Tells the reader that the queue has room.
    std::deque<Chunk> queue_;
    std::size_t queuedBytes_ = 0;
    std::uint64_t sentSinceFaults_ = 0;
    std::chrono::steady_clock::time_point nextSend_{};
    std::array<char, 16384> buffer_{};
    bool hasDropped_ = false;
    bool isStopped_ = false;
};

} // namespace cardamombay::support
