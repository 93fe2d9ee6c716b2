/// \file
/// \brief What the connections of one server share.
#pragma once

#include <cardamombay/net/http_server.hpp>

#include <cardamombay/net/asio_clock.hpp>
#include <cardamombay/net/input_budget.hpp>

#include <atomic>
#include <memory>
#include <unordered_set>

namespace cardamombay::net::impl {

class ServerConnection;

/// \brief Size of a listener's and its connections' receive buffers. The kernel doubles it, and
/// three quarters of that hold data.
inline constexpr std::size_t receiveBuffer = std::size_t{16} * 1024;
/// \brief The same of a connection that receives a long body; larger ones need a window scale,
/// which a listener with a small buffer does not negotiate.
inline constexpr std::size_t largeReceiveBuffer = std::size_t{64} * 1024;

/// \brief Shared by all workers of a server.
struct ServerState
{
    HttpServerLimits limits_;
    std::atomic<bool> closesAfterResponse_{false};
    std::atomic<std::size_t> connections_{0};
    std::atomic<std::size_t> busyConnections_{0}; ///< With a request under way.
};

/// \brief Connections of one worker; touched on its thread only.
struct WorkerState
{
    boost::asio::io_context *context_ = nullptr;
    HttpHandler *handler_ = nullptr;
    InputBudget *budget_ = nullptr;
    std::shared_ptr<ServerState> server_;
    /// Used if the server was given no budget.
    std::unique_ptr<AsioClock> ownClock_;
    std::unique_ptr<BoundedInputBudget> ownBudget_;
    std::unordered_set<ServerConnection *> connections_;
};

} // namespace cardamombay::net::impl
