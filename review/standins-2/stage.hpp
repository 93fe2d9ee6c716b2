// Small stand-ins of the platform's store, of plain engines and of clients, for the cases of the
// second review. Each connection has a thread of its own; everything listens on 127.0.0.1.
#pragma once

#include <boost/json.hpp>

#include <algorithm>
#include <atomic>
#include <cerrno>
#include <chrono>
#include <condition_variable>
#include <csignal>
#include <cstdint>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <filesystem>
#include <fstream>
#include <functional>
#include <map>
#include <mutex>
#include <optional>
#include <stdexcept>
#include <string>
#include <string_view>
#include <thread>
#include <utility>
#include <vector>

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/stat.h>
#include <sys/wait.h>
#include <unistd.h>

namespace stage {

namespace json = boost::json;
using SteadyClock = std::chrono::steady_clock;
using Millis = std::chrono::milliseconds;

inline void sleepFor(int milliseconds)
{
    std::this_thread::sleep_for(Millis(milliseconds));
}

inline std::int64_t nowMs()
{
    static const auto start = SteadyClock::now();
    return std::chrono::duration_cast<Millis>(SteadyClock::now() - start).count();
}

/// Appends lines with the time since the start to record.txt.
class Record
{
public:
    explicit Record(const std::string &path)
        : file_(std::fopen(path.c_str(), "w"))
    {
        if (file_ == nullptr)
            throw std::runtime_error("cannot write " + path);
    }
    ~Record() { std::fclose(file_); }
    Record(const Record &) = delete;
    Record &operator=(const Record &) = delete;

    void line(const std::string &text)
    {
        const std::lock_guard lock(mutex_);
        std::fprintf(file_, "%6.3f s  %s\n", static_cast<double>(nowMs()) / 1000, text.c_str());
        std::fflush(file_);
    }

private:
    std::mutex mutex_;
    std::FILE *file_;
};

inline bool isSameText(std::string_view left, std::string_view right)
{
    return left.size() == right.size()
           && std::equal(left.begin(), left.end(), right.begin(), [](char a, char b) {
                  return std::tolower(static_cast<unsigned char>(a))
                         == std::tolower(static_cast<unsigned char>(b));
              });
}

/// The head of a request or an answer, and its body.
struct Message
{
    std::string start_; ///< The first line.
    std::vector<std::pair<std::string, std::string>> fields_;
    std::string body_;
    bool isWhole_ = false; ///< The body is complete.

    [[nodiscard]] std::string field(std::string_view name) const
    {
        for (const auto &[key, value] : fields_) {
            if (isSameText(key, name))
                return value;
        }
        return {};
    }
    [[nodiscard]] std::string word(int index) const
    {
        std::size_t begin = 0;
        for (; index > 0; --index) {
            begin = start_.find(' ', begin);
            if (begin == std::string::npos)
                return {};
            ++begin;
        }
        return start_.substr(begin, start_.find(' ', begin) - begin);
    }
    [[nodiscard]] std::string method() const { return word(0); }
    [[nodiscard]] std::string target() const { return word(1); }
    [[nodiscard]] int status() const { return std::atoi(word(1).c_str()); }
};

/// One TCP connection with blocking calls.
class Channel
{
public:
    explicit Channel(int socket)
        : socket_(socket)
    {
        const int yes = 1;
        ::setsockopt(socket_, IPPROTO_TCP, TCP_NODELAY, &yes, sizeof yes);
    }
    ~Channel() { close(); }
    Channel(const Channel &) = delete;
    Channel &operator=(const Channel &) = delete;

    static int connectTo(std::uint16_t port)
    {
        const int socket = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
        sockaddr_in address{};
        address.sin_family = AF_INET;
        address.sin_port = htons(port);
        address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        if (::connect(socket, reinterpret_cast<sockaddr *>(&address), sizeof address) != 0) {
            ::close(socket);
            return -1;
        }
        return socket;
    }

    [[nodiscard]] bool isOpen() const { return socket_ >= 0; }

    bool send(std::string_view text)
    {
        while (!text.empty()) {
            const auto sent = ::send(socket_, text.data(), text.size(), MSG_NOSIGNAL);
            if (sent <= 0)
                return false;
            text.remove_prefix(static_cast<std::size_t>(sent));
        }
        return true;
    }

    void close()
    {
        if (socket_ >= 0)
            ::close(std::exchange(socket_, -1));
    }

    /// Closes with a reset.
    void reset()
    {
        const linger now{1, 0};
        ::setsockopt(socket_, SOL_SOCKET, SO_LINGER, &now, sizeof now);
        close();
    }

    /// Reads more bytes; false at the end of the data, after an error or at the time limit.
    bool readMore(int limitMs)
    {
        pollfd one{socket_, POLLIN, 0};
        if (::poll(&one, 1, limitMs) <= 0)
            return false;
        char bytes[65536];
        const auto size = ::recv(socket_, bytes, sizeof bytes, 0);
        if (size <= 0) {
            hasEnded_ = size == 0;
            return false;
        }
        buffer_.append(bytes, static_cast<std::size_t>(size));
        return true;
    }

    /// Reads a request or an answer; nothing if none arrives.
    std::optional<Message> read(int limitMs)
    {
        auto message = readHead(limitMs);
        if (message)
            readBody(*message, limitMs);
        return message;
    }

    std::optional<Message> readHead(int limitMs)
    {
        const auto until = nowMs() + limitMs;
        std::size_t end = 0;
        while ((end = buffer_.find("\r\n\r\n")) == std::string::npos) {
            if (nowMs() >= until || !readMore(static_cast<int>(until - nowMs())))
                return std::nullopt;
        }
        Message message;
        std::size_t begin = 0;
        const std::string head = buffer_.substr(0, end + 2);
        buffer_.erase(0, end + 4);
        while (begin < head.size()) {
            const auto lineEnd = head.find("\r\n", begin);
            const auto line = head.substr(begin, lineEnd - begin);
            begin = lineEnd + 2;
            if (message.start_.empty()) {
                message.start_ = line;
                continue;
            }
            const auto colon = line.find(':');
            auto value = colon == std::string::npos ? std::string() : line.substr(colon + 1);
            value.erase(0, value.find_first_not_of(' ') == std::string::npos
                               ? value.size()
                               : value.find_first_not_of(' '));
            message.fields_.emplace_back(line.substr(0, colon), value);
        }
        return message;
    }

    void readBody(Message &message, int limitMs)
    {
        const auto until = nowMs() + limitMs;
        const auto more
            = [&] { return nowMs() < until && readMore(static_cast<int>(until - nowMs())); };
        if (isSameText(message.field("Transfer-Encoding"), "chunked")) {
            while (true) {
                std::size_t lineEnd = 0;
                while ((lineEnd = buffer_.find("\r\n")) == std::string::npos) {
                    if (!more())
                        return;
                }
                const auto size = std::strtoul(buffer_.c_str(), nullptr, 16);
                while (buffer_.size() < lineEnd + 2 + size + 2) {
                    if (!more())
                        return;
                }
                message.body_ += buffer_.substr(lineEnd + 2, size);
                buffer_.erase(0, lineEnd + 2 + size + 2);
                if (size == 0) {
                    message.isWhole_ = true;
                    return;
                }
            }
        }
        const auto length = message.field("Content-Length");
        const bool isAnswer = message.start_.starts_with("HTTP/");
        if (length.empty() && isAnswer) {
            while (more()) {
            }
            message.body_ = std::exchange(buffer_, {});
            message.isWhole_ = hasEnded_;
            return;
        }
        const auto size = std::strtoul(length.c_str(), nullptr, 10);
        while (buffer_.size() < size) {
            if (!more())
                return;
        }
        message.body_ = buffer_.substr(0, size);
        buffer_.erase(0, size);
        message.isWhole_ = true;
    }

    [[nodiscard]] bool hasEnded() const { return hasEnded_; }

private:
    int socket_;
    std::string buffer_;
    bool hasEnded_ = false;
};

/// Listens on a free port and gives each connection to a thread.
class Listener
{
public:
    using Handler = std::function<void(Channel &)>;

    explicit Listener(Handler handler, std::uint16_t port = 0)
        : handler_(std::move(handler))
        , socket_(::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0))
    {
        const int yes = 1;
        ::setsockopt(socket_, SOL_SOCKET, SO_REUSEADDR, &yes, sizeof yes);
        sockaddr_in address{};
        address.sin_family = AF_INET;
        address.sin_port = htons(port);
        address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        socklen_t size = sizeof address;
        if (::bind(socket_, reinterpret_cast<sockaddr *>(&address), size) != 0
            || ::listen(socket_, 512) != 0)
            throw std::runtime_error("cannot listen");
        ::getsockname(socket_, reinterpret_cast<sockaddr *>(&address), &size);
        port_ = ntohs(address.sin_port);
        std::thread([this] { accept(); }).detach();
    }
    Listener(const Listener &) = delete;
    Listener &operator=(const Listener &) = delete;

    [[nodiscard]] std::uint16_t port() const { return port_; }
    [[nodiscard]] std::string address() const { return "127.0.0.1:" + std::to_string(port_); }

private:
    void accept()
    {
        while (true) {
            const int socket = ::accept4(socket_, nullptr, nullptr, SOCK_CLOEXEC);
            if (socket < 0)
                continue;
            std::thread([this, socket] {
                Channel channel(socket);
                handler_(channel);
            }).detach();
        }
    }

    Handler handler_;
    int socket_;
    std::uint16_t port_ = 0;
};

inline std::string base64Of(std::string_view text)
{
    static constexpr std::string_view digits
        = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    std::string result;
    for (std::size_t i = 0; i < text.size(); i += 3) {
        std::uint32_t bits = 0;
        for (std::size_t k = 0; k < 3; ++k)
            bits
                = bits << 8U | (i + k < text.size() ? static_cast<unsigned char>(text[i + k]) : 0U);
        for (std::size_t k = 0; k < 4; ++k)
            result += i + k > text.size() ? '=' : digits[bits >> (18U - 6 * k) & 63U];
    }
    return result;
}

/// The platform's store: rows, conditional writes and the feed of changes.
class Store
{
public:
    Store()
        : listener_([this](Channel &channel) { serve(channel); })
    {
    }

    [[nodiscard]] std::string address() const { return listener_.address(); }

    /// Writes a row as the operator or an engine does; returns when it is acknowledged.
    void put(const std::string &table, const std::string &key, const std::string &value)
    {
        const std::lock_guard lock(mutex_);
        write({table, "", key}, base64Of(value));
    }
    void drop(const std::string &table, const std::string &key)
    {
        const std::lock_guard lock(mutex_);
        write({table, "", key}, std::nullopt);
    }

private:
    struct Key
    {
        std::string table_;
        std::string part_;
        std::string key_;
        auto operator<=>(const Key &) const = default;
    };
    struct Row
    {
        std::string value_;
        std::uint64_t version_ = 0;
        bool isRemoved_ = false;
    };

    void write(const Key &key, const std::optional<std::string> &value)
    {
        rows_[key] = {value.value_or(""), ++version_, !value};
        changed_.notify_all();
    }

    static json::object objectOf(const Key &key, const Row &row)
    {
        json::object result{{"Table", key.table_},
                            {"part", key.part_},
                            {"Key", key.key_},
                            {"Value", row.value_},
                            {"Ver", row.version_}};
        if (row.isRemoved_)
            result["Removed"] = true;
        return result;
    }

    static std::string decoded(std::string_view text)
    {
        std::string result;
        for (std::size_t i = 0; i < text.size(); ++i) {
            if (text[i] != '%') {
                result += text[i];
                continue;
            }
            result += static_cast<char>(std::stoi(std::string(text.substr(i + 1, 2)), nullptr, 16));
            i += 2;
        }
        return result;
    }

    static std::map<std::string, std::string> parametersOf(const std::string &target)
    {
        std::map<std::string, std::string> result;
        auto place = target.find('?');
        while (place != std::string::npos) {
            const auto begin = place + 1;
            place = target.find('&', begin);
            const auto one = target.substr(begin, place - begin);
            const auto equal = one.find('=');
            result[one.substr(0, equal)] = decoded(one.substr(equal + 1));
        }
        return result;
    }

    static Key keyOf(const json::object &object)
    {
        const auto text = [&object](const char *name) {
            const auto *value = object.if_contains(name);
            return value == nullptr ? std::string() : json::value_to<std::string>(*value);
        };
        return {text("Table"), text("part"), text("Key")};
    }

    void serve(Channel &channel)
    {
        while (const auto request = channel.read(600'000)) {
            int status = 200;
            json::object answer;
            if (request->target().starts_with("/-/rows-get"))
                answer = rowsGet(parametersOf(request->target()));
            else if (request->target().starts_with("/-/rows-feed"))
                answer = rowsFeed(parametersOf(request->target()));
            else if (request->target() == "/-/rows-tx")
                answer = rowsTx(request->body_, status);
            else
                status = 404;
            const auto body = json::serialize(answer);
            if (!channel.send("HTTP/1.1 " + std::to_string(status)
                              + " x\r\nContent-Type: application/json\r\nContent-Length: "
                              + std::to_string(body.size()) + "\r\n\r\n" + body))
                return;
        }
    }

    json::object rowsGet(std::map<std::string, std::string> parameters)
    {
        const std::lock_guard lock(mutex_);
        const auto limit = parameters.contains("Limit") ? std::stoul(parameters["Limit"]) : 500;
        json::array rows;
        bool isTruncated = false;
        for (const auto &[key, row] : rows_) {
            if (key.table_ != parameters["Table"] || key.part_ != parameters["part"]
                || row.isRemoved_ || key.key_ < parameters["From"]
                || (parameters.contains("Target") && key.key_ >= parameters["Target"]))
                continue;
            if (rows.size() >= limit) {
                isTruncated = true;
                break;
            }
            rows.push_back(objectOf(key, row));
        }
        return {{"Rows", std::move(rows)},
                {"Truncated", isTruncated},
                {"Ver", version_},
                {"NowMs", nowMs()}};
    }

    json::object rowsFeed(std::map<std::string, std::string> parameters)
    {
        std::unique_lock lock(mutex_);
        const auto after = std::stoull(parameters["After"]);
        std::vector<std::pair<std::uint64_t, json::object>> found;
        changed_.wait_for(lock, Millis(std::stol(parameters["WaitMs"])), [&] {
            for (const auto &[key, row] : rows_) {
                if (key.table_ == parameters["Table"] && row.version_ > after)
                    found.emplace_back(row.version_, objectOf(key, row));
            }
            return !found.empty();
        });
        std::sort(found.begin(), found.end(),
                  [](const auto &left, const auto &right) { return left.first < right.first; });
        json::array rows;
        for (auto &[version, object] : found)
            rows.push_back(std::move(object));
        return {
            {"Rows", std::move(rows)}, {"Truncated", false}, {"Ver", version_}, {"NowMs", nowMs()}};
    }

    json::object rowsTx(const std::string &body, int &status)
    {
        const auto value = json::parse(body);
        const auto &object = value.as_object();
        const std::lock_guard lock(mutex_);
        json::array present;
        bool isMet = true;
        for (const auto &one : object.at("Precondition").as_array()) {
            const auto key = keyOf(one.as_object());
            const auto found = rows_.find(key);
            const bool exists = found != rows_.end() && !found->second.isRemoved_;
            const auto version = exists ? found->second.version_ : 0;
            isMet = isMet && version == one.as_object().at("Ver").to_number<std::uint64_t>();
            if (exists)
                present.push_back(objectOf(key, found->second));
        }
        if (!isMet) {
            status = 412;
            return {{"Rows", std::move(present)}, {"Ver", version_}, {"NowMs", nowMs()}};
        }
        ++version_;
        for (const auto &one : object.at("Writes").as_array())
            rows_[keyOf(one.as_object())]
                = {json::value_to<std::string>(one.as_object().at("Value")), version_, false};
        for (const auto &one : object.at("Remove").as_array())
            rows_[keyOf(one.as_object())] = {"", version_, true};
        changed_.notify_all();
        return {{"Ver", version_}, {"NowMs", nowMs()}};
    }

    std::mutex mutex_;
    std::condition_variable changed_;
    std::map<Key, Row> rows_;
    std::uint64_t version_ = 0;
    Listener listener_;
};

/// A gateway, started with the command of the deploy file.
class Gateway
{
public:
    Gateway(std::string folder, std::string name, std::string store)
        : folder_(std::move(folder))
        , name_(std::move(name))
        , store_(std::move(store))
    {
        for (auto &port : ports_)
            port = freePort();
        writeSettings(true);
        start();
    }
    ~Gateway() { kill(); }
    Gateway(const Gateway &) = delete;
    Gateway &operator=(const Gateway &) = delete;

    [[nodiscard]] std::uint16_t callers() const { return ports_[0]; }
    [[nodiscard]] pid_t pid() const { return pid_; }

    void start()
    {
        const auto log = folder_ + "/" + name_ + ".log";
        const auto settings = folder_ + "/" + name_ + ".toml";
        pid_ = ::fork();
        if (pid_ != 0)
            return;
        ::prctl(PR_SET_PDEATHSIG, SIGKILL);
        const int file = ::open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
        ::dup2(file, 1);
        ::dup2(file, 2);
        ::execl("target/bin/cardamombay-gateway", "target/bin/cardamombay-gateway", "--settings",
                settings.c_str(), nullptr);
        ::_exit(127);
    }

    void signal(int number) const { ::kill(pid_, number); }

    void kill()
    {
        if (pid_ <= 0)
            return;
        ::kill(pid_, SIGKILL);
        ::waitpid(pid_, nullptr, 0);
        pid_ = 0;
    }

    /// True if the process has ended by itself; its exit status is kept.
    bool hasEnded()
    {
        if (pid_ > 0 && ::waitpid(pid_, &status_, WNOHANG) == pid_)
            pid_ = 0;
        return pid_ == 0;
    }
    [[nodiscard]] int status() const { return status_; }

    [[nodiscard]] bool isReady() const
    {
        Channel channel(Channel::connectTo(ports_[1]));
        if (!channel.isOpen())
            return false;
        channel.send("GET /-/readiness HTTP/1.1\r\nHost: x\r\n\r\n");
        const auto answer = channel.read(1000);
        return answer && answer->status() == 200;
    }

    bool waitUntilReady(int limitMs = 15'000) const
    {
        for (const auto until = nowMs() + limitMs; nowMs() < until; sleepFor(50)) {
            if (isReady())
                return true;
        }
        return false;
    }

    /// As deploy/settings.toml with the figures of a small deployment.
    void writeSettings(bool isFirstStart) const
    {
        std::ofstream file(folder_ + "/" + name_ + ".toml");
        file << "entry = \"" << name_
             << "\"\nzone = \"pa-sala-a\"\nfirst_start = " << (isFirstStart ? "true" : "false")
             << "\ncharts = \"charts\"\n[listen]\ncallers = " << address(0)
             << "readiness = " << address(1) << "metrics = " << address(2)
             << "digests = " << address(3) << "[store]\naddress = \"" << store_
             << "\"\n[machine]\ncores = 1\nlink_mbps = 1000.0\nmemory_mb = 260\n"
             << "[bounds]\nstop_within = \"8s\"\nleave_within = \"2000ms\"\n"
             << "configure_within = \"2000ms\"\nrevoke_within = \"5000ms\"\nretry_share = 0.2\n"
             << "retry_window = \"10s\"\nretry_reserve = 132\n"
             << "[regions]\n\"pa-sala-a\" = \"palermo\"\n\"pa-sala-b\" = \"palermo\"\n"
             << "[log]\nlevel = \"info\"\n";
    }

private:
    [[nodiscard]] std::string address(std::size_t index) const
    {
        return "\"127.0.0.1:" + std::to_string(ports_[index]) + "\"\n";
    }

    /// A port that is free both for TCP and for datagrams.
    static std::uint16_t freePort()
    {
        while (true) {
            const int stream = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
            const int datagram = ::socket(AF_INET, SOCK_DGRAM | SOCK_CLOEXEC, 0);
            sockaddr_in address{};
            address.sin_family = AF_INET;
            address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
            socklen_t size = sizeof address;
            const bool isBound
                = ::bind(stream, reinterpret_cast<sockaddr *>(&address), size) == 0
                  && ::getsockname(stream, reinterpret_cast<sockaddr *>(&address), &size) == 0
                  && ::bind(datagram, reinterpret_cast<sockaddr *>(&address), size) == 0;
            ::close(stream);
            ::close(datagram);
            if (isBound)
                return ntohs(address.sin_port);
        }
    }

    std::string folder_;
    std::string name_;
    std::string store_;
    std::uint16_t ports_[4]{};
    pid_t pid_ = 0;
    int status_ = 0;
};

/// A new folder under the system's temporary folder.
inline std::string makeFolder()
{
    const char *place = std::getenv("TMPDIR");
    std::string path = std::string(place == nullptr ? "/tmp" : place) + "/review-XXXXXX";
    if (::mkdtemp(path.data()) == nullptr)
        throw std::runtime_error("no temporary folder");
    return path;
}

/// Ends the gateways, removes \p folder and ends the program without waiting for its threads.
[[noreturn]] inline void end(int code, const std::string &folder,
                             std::initializer_list<Gateway *> gateways)
{
    for (auto *gateway : gateways)
        gateway->kill();
    if (std::getenv("KEEP_LOGS") == nullptr)
        std::filesystem::remove_all(folder);
    std::fflush(nullptr);
    ::_exit(code);
}

/// The entry of a plain engine in the platform's store.
inline std::string entryOf(const std::string &address, int sequence = 1)
{
    return json::serialize(json::object{{"Service", "app"},
                                        {"Address", address},
                                        {"Zone", "pa-sala-a"},
                                        {"Version", "v1"},
                                        {"Slots", 6},
                                        {"State", "ready"},
                                        {"ColdLeftMs", 0},
                                        {"SeqNo", sequence}});
}

/// A configuration with one route of each kind to the plain service.
inline std::string configuration(int version, const json::array &keys = {"key-a"})
{
    const auto route = [](const char *name, const char *prefix, const char *kind, int attempts) {
        return json::object{{"Name", name},    {"Host", "h.example"}, {"Prefix", prefix},
                            {"Kind", kind},    {"TimeoutMs", 800},    {"GoalMs", 150},
                            {"Priority", 2},   {"Service", "app"},    {"MaxAttempts", attempts},
                            {"NoAuth", false}, {"Sticky", false},     {"Resumable", false}};
    };
    return json::serialize(json::object{
        {"Version", version},
        {"Routes", json::array{route("r-once", "/once/", "non_idempotent", 1),
                               route("r-again", "/again/", "idempotent", 2)}},
        {"Services", json::array{json::object{{"Name", "app"},
                                              {"HealthPath", "/health"},
                                              {"MaxConns", 100},
                                              {"Protocol", "h1"},
                                              {"Tls", false}}}},
        {"Limits", json::object{{"MaxHeaderBytes", 16384},
                                {"MaxBodyBytes", 4194304},
                                {"HeaderTimeoutMs", 3000},
                                {"IdleTimeoutMs", 15000}}},
        {"Tenants", json::array{json::object{{"Name", "team-a"}, {"ApiKeys", keys}}}}});
}

/// The head of a client's request, without the fields of its body.
inline std::string requestHead(const std::string &method, const std::string &path,
                               const std::string &id, int deadlineMs = 1500,
                               const std::string &key = "key-a")
{
    return method + " " + path + " HTTP/1.1\r\nHost: h.example\r\nX-Request-Id: " + id
           + "\r\nX-Deadline-Ms: " + std::to_string(deadlineMs) + "\r\nAuthorization: Bearer " + key
           + "\r\n";
}

/// An engine's answer with its seal.
inline std::string answer(const std::string &id, int status, const std::string &fields,
                          const std::string &body)
{
    return "HTTP/1.1 " + std::to_string(status) + " x\r\nX-Request-Id: " + id + "\r\n" + fields
           + "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

/// An engine's health answer; engine ids are "i-1", "i-2" and so on.
inline std::string healthAnswer(const std::string &engine)
{
    return answer("", 200, "X-Instance-Id: " + engine + "\r\n", "");
}

inline constexpr auto seal = "X-Response-Seal: 3e1b.07.5a2.600.0.c9f2a4d1\r\n";

/// The disruption is left out if TROUBLE is 0 in the environment.
inline bool hasTrouble()
{
    const char *text = std::getenv("TROUBLE");
    return text == nullptr || std::string_view(text) != "0";
}

} // namespace stage
