/// \file
/// \brief Blocking HTTP/1.1 over loopback for the stand-ins of the review, one thread a connection.
#pragma once

#include <arpa/inet.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <atomic>
#include <cerrno>
#include <chrono>
#include <cstdlib>
#include <functional>
#include <map>
#include <mutex>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <thread>
#include <utility>
#include <vector>

namespace review {

using Clock = std::chrono::steady_clock;
using std::chrono::milliseconds;

inline std::string lowerCase(std::string text)
{
    for (auto &c : text)
        c = c >= 'A' && c <= 'Z' ? static_cast<char>(c - 'A' + 'a') : c;
    return text;
}

/// \brief A request or an answer.
struct Message
{
    std::string start_;                       ///< Request line or status line.
    std::map<std::string, std::string> head_; ///< Names in lower case.
    std::string body_;

    [[nodiscard]] std::string field(const std::string &name) const
    {
        const auto found = head_.find(lowerCase(name));
        return found == head_.end() ? std::string() : found->second;
    }
    [[nodiscard]] std::string method() const { return start_.substr(0, start_.find(' ')); }
    [[nodiscard]] std::string target() const
    {
        const auto from = start_.find(' ') + 1;
        return start_.substr(from, start_.find(' ', from) - from);
    }
    [[nodiscard]] int status() const
    {
        return start_.size() < 12 ? 0 : std::atoi(start_.c_str() + 9);
    }
};

/// \brief A connected socket with what was read ahead.
class Channel
{
public:
    explicit Channel(int socket)
        : socket_(socket)
    {
        const int on = 1;
        ::setsockopt(socket_, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
    }
    ~Channel() { close(); }
    Channel(const Channel &) = delete;
    Channel &operator=(const Channel &) = delete;

    void close()
    {
        if (socket_ >= 0)
            ::close(std::exchange(socket_, -1));
    }
    /// \brief Ends the channel with a reset.
    void reset()
    {
        const linger now{1, 0};
        if (socket_ >= 0)
            ::setsockopt(socket_, SOL_SOCKET, SO_LINGER, &now, sizeof now);
        close();
    }
    [[nodiscard]] int socket() const { return socket_; }

    bool send(std::string_view text)
    {
        while (!text.empty()) {
            const auto size = ::send(socket_, text.data(), text.size(), MSG_NOSIGNAL);
            if (size <= 0)
                return false;
            text.remove_prefix(static_cast<std::size_t>(size));
        }
        return true;
    }

    /// \brief The next message; nothing if the channel ended or \p until passed first.
    std::optional<Message> receive(Clock::time_point until)
    {
        std::size_t end = 0;
        while ((end = ahead_.find("\r\n\r\n")) == std::string::npos) {
            if (!readMore(until))
                return std::nullopt;
        }
        Message message = parseHead(ahead_.substr(0, end + 2));
        ahead_.erase(0, end + 4);
        const auto length = message.field("Content-Length");
        if (!length.empty()) {
            const auto size = static_cast<std::size_t>(std::atoll(length.c_str()));
            while (ahead_.size() < size) {
                if (!readMore(until))
                    return std::nullopt;
            }
            message.body_ = ahead_.substr(0, size);
            ahead_.erase(0, size);
        }
        return message;
    }

    /// \brief All bytes until the channel ends or \p until passes.
    std::string receiveAll(Clock::time_point until)
    {
        while (readMore(until)) {
        }
        return ahead_;
    }

    /// \brief True if the peer has ended the channel.
    [[nodiscard]] bool hasEnded() const
    {
        char byte = 0;
        const auto size = ::recv(socket_, &byte, 1, MSG_PEEK | MSG_DONTWAIT);
        return size == 0 || (size < 0 && errno != EAGAIN && errno != EWOULDBLOCK);
    }

private:
    static Message parseHead(const std::string &text)
    {
        Message message;
        std::size_t at = text.find("\r\n");
        message.start_ = text.substr(0, at);
        while (at != std::string::npos && at + 2 < text.size()) {
            const auto from = at + 2;
            at = text.find("\r\n", from);
            const auto line = text.substr(from, at - from);
            const auto colon = line.find(':');
            if (colon == std::string::npos)
                continue;
            const auto value = line.find_first_not_of(' ', colon + 1);
            message.head_[lowerCase(line.substr(0, colon))]
                = value == std::string::npos ? std::string() : line.substr(value);
        }
        return message;
    }

    bool readMore(Clock::time_point until)
    {
        const auto left = std::chrono::duration_cast<milliseconds>(until - Clock::now()).count();
        pollfd wanted{socket_, POLLIN, 0};
        if (left <= 0 || ::poll(&wanted, 1, static_cast<int>(left)) <= 0)
            return false;
        char text[16384];
        const auto size = ::recv(socket_, text, sizeof text, 0);
        if (size <= 0)
            return false;
        ahead_.append(text, static_cast<std::size_t>(size));
        return true;
    }

    int socket_;
    std::string ahead_;
};

inline sockaddr_in loopback(int port)
{
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(static_cast<std::uint16_t>(port));
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    return address;
}

/// \brief A listening socket on loopback; port 0 takes a free one.
inline int listenOn(int port)
{
    const int socket = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const int on = 1;
    ::setsockopt(socket, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
    const auto address = loopback(port);
    if (::bind(socket, reinterpret_cast<const sockaddr *>(&address), sizeof address) != 0
        || ::listen(socket, 512) != 0) {
        ::close(socket);
        return -1;
    }
    return socket;
}

inline int portOf(int socket)
{
    sockaddr_in address{};
    socklen_t size = sizeof address;
    ::getsockname(socket, reinterpret_cast<sockaddr *>(&address), &size);
    return ntohs(address.sin_port);
}

/// \brief A port that is free for TCP and UDP at this moment.
inline int freePort()
{
    static std::set<int> given;
    while (true) {
        const int socket = listenOn(0);
        const int port = portOf(socket);
        ::close(socket);
        if (given.insert(port).second)
            return port;
    }
}

inline std::unique_ptr<Channel> connectTo(int port)
{
    const int socket = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const auto address = loopback(port);
    if (::connect(socket, reinterpret_cast<const sockaddr *>(&address), sizeof address) != 0) {
        ::close(socket);
        return nullptr;
    }
    return std::make_unique<Channel>(socket);
}

/// \brief Accepts channels and hands each to its own thread.
class Listener
{
public:
    using Handler = std::function<void(Channel &)>;

    explicit Listener(Handler handler)
        : handler_(std::move(handler))
        , socket_(listenOn(0))
        , port_(portOf(socket_))
    {
        std::thread([this] {
            while (true) {
                const int socket = ::accept4(socket_, nullptr, nullptr, SOCK_CLOEXEC);
                if (socket < 0)
                    continue;
                std::thread([this, socket] {
                    Channel channel(socket);
                    handler_(channel);
                }).detach();
            }
        }).detach();
    }
    [[nodiscard]] int port() const { return port_; }

private:
    Handler handler_;
    int socket_;
    int port_;
};

inline std::string answerText(int status, const std::string &fields, const std::string &body)
{
    return "HTTP/1.1 " + std::to_string(status) + " -\r\n" + fields
           + "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

} // namespace review
