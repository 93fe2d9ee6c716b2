/// \file
/// \brief What the connections of one server share.
#pragma once

#include <cardamombay/net/http_server.hpp>

#include <atomic>
#include <memory>
#include <unordered_set>

namespace cardamombay::net::impl {

class ServerConnection;

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
    std::shared_ptr<ServerState> server_;
    std::unordered_set<ServerConnection *> connections_;
};

} // namespace cardamombay::net::impl
