#include "net/kept_connection.hpp"

#include <sys/socket.h>

#include <algorithm>
#include <cerrno>
#include <utility>

namespace cardamombay::net::impl {

namespace {

/// False if the endpoint has closed or sent something, which its watcher may not have told yet.
bool isQuiet(KeptConnection &connection)
{
    char byte = 0;
    const auto size
        = ::recv(connection.stream_.socket().native_handle(), &byte, 1, MSG_PEEK | MSG_DONTWAIT);
    return size < 0 && (errno == EAGAIN || errno == EWOULDBLOCK);
}

} // namespace

std::shared_ptr<KeptConnection> KeptPool::take(const Address &address, Duration longestIdle)
{
    const auto found = idle_.find(address);
    if (found == idle_.end())
        return nullptr;
    const auto now = clock_.now();
    auto &connections = found->second;
    // The last one was used last; if it is too old, all are.
    while (!connections.empty()
           && now - connections.back()->keptAt_
                  <= std::min(longestIdle, connections.back()->keptFor_)) {
        auto connection = std::move(connections.back());
        connections.pop_back();
        connection->isKept_ = false;
        connection->stream_.cancel();
        if (isQuiet(*connection))
            return connection;
        connection->close();
    }
    dropUnusable(found);
    return nullptr;
}

/// What is too old for a call that runs once may still serve others.
void KeptPool::dropUnusable(std::map<Address, Connections>::iterator place)
{
    const auto now = clock_.now();
    auto &connections = place->second;
    std::erase_if(connections, [now](const auto &connection) {
        const bool isOver = now - connection->keptAt_ > connection->keptFor_;
        if (isOver)
            connection->close();
        return isOver;
    });
    if (connections.empty())
        idle_.erase(place);
}

void KeptPool::drop(const Address &address)
{
    const auto found = idle_.find(address);
    if (found == idle_.end())
        return;
    for (const auto &connection : found->second)
        connection->close();
    idle_.erase(found);
}

void KeptPool::keep(const Address &address, const std::shared_ptr<KeptConnection> &connection,
                    std::optional<Duration> idleTimeout)
{
    connection->keptAt_ = clock_.now();
    connection->keptFor_
        = idleTimeout ? std::max<Duration>(Duration::zero(), *idleTimeout - limits_.idleReserve_)
                      : limits_.idleTimeout_;
    connection->isKept_ = true;
    auto &connections = idle_[address];
    connections.push_back(connection);
    if (connections.size() > limits_.idlePerAddress_)
        dropOldest(connections);
    watch(address, connection);
}

void KeptPool::dropOldest(Connections &connections)
{
    connections.front()->close();
    connections.erase(connections.begin());
}

/// Readable while unused: the endpoint closed it, or sent what nobody asked for.
void KeptPool::watch(const Address &address, const std::shared_ptr<KeptConnection> &connection)
{
    connection->stream_.socket().async_wait(
        Tcp::socket::wait_read, [self = shared_from_this(), address, connection](error_code error) {
            if (!error && connection->isKept_)
                self->drop(address, connection);
        });
}

void KeptPool::drop(const Address &address, const std::shared_ptr<KeptConnection> &connection)
{
    connection->close();
    const auto found = idle_.find(address);
    if (found == idle_.end())
        return;
    std::erase(found->second, connection);
    if (found->second.empty())
        idle_.erase(found);
}

void KeptPool::close()
{
    for (const auto &[address, connections] : idle_) {
        for (const auto &connection : connections)
            connection->close();
    }
    idle_.clear();
}

std::size_t KeptPool::idle() const
{
    std::size_t count = 0;
    for (const auto &[address, connections] : idle_)
        count += connections.size();
    return count;
}

} // namespace cardamombay::net::impl
