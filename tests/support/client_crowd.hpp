/// \file
/// \brief Many connections at once that send what they like, whether or not it is answered.
#pragma once

#include <atomic>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <string>
#include <thread>
#include <vector>

namespace cardamombay::support {

/// \brief What one connection sends: the head, the piece so many times, the end.
struct Transmission
{
    std::uint16_t port_ = 0; ///< On 127.0.0.1.
    std::string head_;
    std::string piece_;
    std::size_t pieces_ = 0;
    std::string end_;                    ///< Without it the request stays incomplete.
    std::chrono::milliseconds pause_{0}; ///< Between two pieces.
};

/// \brief Sends \p transmission on a connection of its own, and waits for the answer.
/// \returns its status; 0 if the connection ends or 10 s pass without one.
[[nodiscard]] std::uint32_t statusOf(const Transmission &transmission);

/// \brief Sends transmissions, each on a connection and a thread of its own, again and again.
/// \details A connection that has sent everything stays open, and what it receives is dropped. Once
/// the peer closes it, its transmission begins anew on another connection.
class ClientCrowd
{
public:
    explicit ClientCrowd(std::vector<Transmission> transmissions);
    ClientCrowd(const ClientCrowd &) = delete;
    ClientCrowd &operator=(const ClientCrowd &) = delete;
    ~ClientCrowd();

    /// \brief Closes all connections.
    void stop();

private:
    void repeat(const Transmission &transmission);
    void transmit(int socket, const Transmission &transmission);
    [[nodiscard]] bool send(int socket, const std::string &bytes);
    [[nodiscard]] bool waitFor(int socket, short events);
    [[nodiscard]] static bool dropReceived(int socket);

    std::atomic<bool> isStopped_ = false;
    std::vector<Transmission> transmissions_;
    std::vector<std::thread> threads_;
};

} // namespace cardamombay::support
