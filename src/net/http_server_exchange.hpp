/// \file
/// \brief Exchange on a ServerConnection.
#pragma once

#include <net/http_server_connection.hpp>

#include <memory>
#include <utility>

namespace cardamombay::net::impl {

/// \brief Cuts the connection if it is dropped before the answer was given.
class ServerConnectionExchange final : public ServerExchange
{
public:
    explicit ServerConnectionExchange(std::shared_ptr<ServerConnection> connection)
        : connection_(std::move(connection))
    {
    }
    ~ServerConnectionExchange() override
    {
        if (connection_)
            connection_->close();
    }
    ServerConnectionExchange(const ServerConnectionExchange &) = delete;
    ServerConnectionExchange &operator=(const ServerConnectionExchange &) = delete;

    void respond(HttpResponse response) override
    {
        if (const auto connection = std::exchange(connection_, nullptr))
            connection->respond(std::move(response));
    }
    void startStream(HttpResponse head) override
    {
        if (connection_)
            connection_->startStream(head);
    }
    void write(std::span<const std::string_view> parts, std::function<void()> written) override
    {
        if (connection_)
            connection_->write(parts, std::move(written));
    }
    void finish(std::span<const HttpField> trailers) override
    {
        if (const auto connection = std::exchange(connection_, nullptr))
            connection->finish(trailers);
    }
    void abort() override
    {
        if (const auto connection = std::exchange(connection_, nullptr))
            connection->close();
    }
    void onLost(std::function<void()> lost) override
    {
        if (connection_)
            connection_->onLost(std::move(lost));
    }

private:
    std::shared_ptr<ServerConnection> connection_;
};

} // namespace cardamombay::net::impl
