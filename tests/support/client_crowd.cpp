#include "support/client_crowd.hpp"

#include <array>
#include <cerrno>
#include <cstdio>
#include <string_view>
#include <utility>

#include <arpa/inet.h>
#include <netinet/in.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

namespace cardamombay::support {

namespace {

constexpr int pollMilliseconds = 20;
constexpr int answerMilliseconds = 10'000;
constexpr auto reconnectPause = std::chrono::milliseconds(50);

int connectTo(std::uint16_t port)
{
    const int socket = ::socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(port);
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    const auto *generic = reinterpret_cast<const sockaddr *>(&address);
    if (socket >= 0 && ::connect(socket, generic, sizeof address) != 0 && errno != EINPROGRESS) {
        ::close(socket);
        return -1;
    }
    return socket;
}

/// \returns what was received up to the end of the first line, or to the end of the data.
std::string receiveLine(int socket)
{
    std::string received;
    std::array<char, 4096> buffer{};
    while (received.find('\n') == std::string::npos) {
        pollfd state{socket, POLLIN, 0};
        if (::poll(&state, 1, answerMilliseconds) <= 0)
            break;
        const auto size = ::recv(socket, buffer.data(), buffer.size(), 0);
        if (size <= 0)
            break;
        received.append(buffer.data(), static_cast<std::size_t>(size));
    }
    return received;
}

/// \returns false if the connection broke.
bool sendWhole(int socket, std::string_view bytes)
{
    while (!bytes.empty()) {
        pollfd state{socket, POLLOUT, 0};
        if (::poll(&state, 1, answerMilliseconds) <= 0)
            return false;
        const auto size = ::send(socket, bytes.data(), bytes.size(), MSG_NOSIGNAL);
        if (size < 0)
            return false;
        bytes.remove_prefix(static_cast<std::size_t>(size));
    }
    return true;
}

} // namespace

std::uint32_t statusOf(const Transmission &transmission)
{
    const int socket = connectTo(transmission.port_);
    bool isSent = sendWhole(socket, transmission.head_);
    for (std::size_t i = 0; isSent && i < transmission.pieces_; ++i)
        isSent = sendWhole(socket, transmission.piece_);
    (void)(isSent && sendWhole(socket, transmission.end_));
    const auto line = receiveLine(socket);
    ::close(socket);
    unsigned status = 0;
    return std::sscanf(line.c_str(), "HTTP/1.1 %3u", &status) == 1 ? status : 0;
}

ClientCrowd::ClientCrowd(std::vector<Transmission> transmissions)
    : transmissions_(std::move(transmissions))
{
    threads_.reserve(transmissions_.size());
    for (const auto &transmission : transmissions_)
        threads_.emplace_back([this, &transmission] { repeat(transmission); });
}

ClientCrowd::~ClientCrowd()
{
    stop();
}

void ClientCrowd::stop()
{
    isStopped_ = true;
    for (auto &thread : threads_)
        thread.join();
    threads_.clear();
}

void ClientCrowd::repeat(const Transmission &transmission)
{
    while (!isStopped_) {
        const int socket = connectTo(transmission.port_);
        if (socket >= 0) {
            transmit(socket, transmission);
            ::close(socket);
        }
        std::this_thread::sleep_for(reconnectPause);
    }
}

void ClientCrowd::transmit(int socket, const Transmission &transmission)
{
    if (!send(socket, transmission.head_))
        return;
    for (std::size_t i = 0; i < transmission.pieces_; ++i) {
        if (!send(socket, transmission.piece_))
            return;
        if (transmission.pause_.count() != 0)
            std::this_thread::sleep_for(transmission.pause_);
    }
    if (!send(socket, transmission.end_))
        return;
    while (waitFor(socket, POLLIN)) {
        if (!dropReceived(socket))
            return;
    }
}

/// Goes on after an answer and after the end of the peer's data, until the connection is reset.
bool ClientCrowd::send(int socket, const std::string &bytes)
{
    std::size_t sent = 0;
    while (sent < bytes.size()) {
        if (!waitFor(socket, POLLOUT))
            return false;
        (void)dropReceived(socket);
        const auto size = ::send(socket, bytes.data() + sent, bytes.size() - sent, MSG_NOSIGNAL);
        if (size < 0 && errno != EAGAIN)
            return false;
        sent += size < 0 ? 0 : static_cast<std::size_t>(size);
    }
    return true;
}

bool ClientCrowd::waitFor(int socket, short events)
{
    while (!isStopped_) {
        pollfd state{socket, events, 0};
        const int ready = ::poll(&state, 1, pollMilliseconds);
        if (ready != 0)
            return ready > 0 && (state.revents & (POLLERR | POLLNVAL)) == 0;
    }
    return false;
}

/// \returns false once the peer has closed the connection.
bool ClientCrowd::dropReceived(int socket)
{
    std::array<char, 4096> buffer{};
    for (;;) {
        const auto size = ::recv(socket, buffer.data(), buffer.size(), MSG_DONTWAIT);
        if (size == 0)
            return false;
        if (size < 0)
            return errno == EAGAIN;
    }
}

} // namespace cardamombay::support
