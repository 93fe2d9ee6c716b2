#include "test_entry.hpp"

#include <cardamombay/chart/chart.hpp>
#include <cardamombay/log/log.hpp>
#include <cardamombay/retries/circuit_breaker.hpp>

#include <boost/asio/post.hpp>

#include <future>

#include <arpa/inet.h>
#include <sys/socket.h>
#include <unistd.h>

namespace cardamombay::test {

namespace {

constexpr std::size_t modelService = 0;
constexpr std::size_t plainService = 1;

config::Configuration makeConfiguration()
{
    config::Configuration configuration;
    configuration.version_ = ConfigVersion(1);
    configuration.teams_ = {{TeamName("studio"), 1.0, {}}};
    config::Service model;
    model.name_ = ServiceName("lm");
    model.model_ = {ModelName("m"), ModelVersion("1"), {}};
    config::Service plain;
    plain.name_ = ServiceName("app");
    plain.kind_ = config::ServiceKind::Plain;
    plain.pathPrefix_ = "/app";
    plain.routes_ = {{"POST", "/app/bookings", false}};
    configuration.services_ = {model, plain};
    return configuration;
}

chart::Chart chartOf(std::string_view name)
{
    return valueOf(chart::ChartFolder(std::string(SOURCE_FOLDER) + "/charts").load(name));
}

} // namespace

net::HttpServerLimits shortLimits()
{
    net::HttpServerLimits limits;
    limits.headerBytes_ = 4096;
    limits.bodyBytes_ = 16384;
    limits.readTimeout_ = std::chrono::milliseconds(300);
    return limits;
}

TestEntry::TestEntry(net::HttpServerLimits limits)
    : configuration_(makeConfiguration())
    , work_(context_.get_executor())
{
    log::configure(log::Level::Error);
    snapshot_.self_ = EntryId("entry-1");
    snapshot_.services_ = {{ServiceName("lm"), {}}, {ServiceName("app"), {}}};
    snapshot_.isStoreReachable_ = true;
    // These tests are about sessions, so the retry budget is not what ends them.
    traffic::DispatchPolicy policy;
    policy.retries_.budget_.minimumPerSecond_ = 1000;
    dispatcher_ = std::make_unique<traffic::Dispatcher>(
        7, valueOf(retries::makeCircuitBreakerProgram(chartOf("circuit"))), policy);
    auto post
        = [this](std::function<void()> action) { boost::asio::post(context_, std::move(action)); };
    const traffic::TrafficContext context{
        clock_,         upstream_,    cancels_,
        control_,       *dispatcher_, valueOf(outcomes::makeAttemptProgram(chartOf("attempt"))),
        metrics_,       tracer_,      Incarnation(5),
        std::move(post)};
    worker_ = std::make_unique<traffic::Worker>(context, state_, 0);
    server_ = std::make_unique<net::HttpServer>(
        std::vector<net::ServerWorker>{{&context_, worker_.get()}}, limits);
    address_ = valueOf(server_->listen({"127.0.0.1", 0}));
    state_.isReady_ = true;
    boost::asio::post(context_, [this] { worker_->start(); });
    thread_ = std::thread([this] { context_.run(); });
}

TestEntry::~TestEntry()
{
    context_.stop();
    thread_.join();
}

routing::SnapshotGroup &TestEntry::addTo(std::size_t service, const std::string &name,
                                         const Address &address)
{
    routing::SnapshotGroup group;
    group.group_ = GroupId(name);
    group.generation_ = Generation(1);
    group.model_ = configuration_.services_[modelService].model_;
    group.address_ = address;
    group.leader_ = VmId(name);
    group.members_ = {group.leader_};
    group.freshUntil_ = now() + std::chrono::minutes(10);
    group.capacity_ = 16;
    auto &groups = snapshot_.services_[service].groups_;
    groups.push_back(std::move(group));
    return groups.back();
}

routing::SnapshotGroup &TestEntry::addGroup(const std::string &name, const Address &address)
{
    return addTo(modelService, name, address);
}

routing::SnapshotGroup &TestEntry::addPlain(const std::string &name, const Address &address)
{
    return addTo(plainService, name, address);
}

void TestEntry::publish()
{
    ++snapshot_.sequence_;
    snapshot_.configuration_ = std::make_shared<const config::Configuration>(configuration_);
    control_.holder_.publish(std::make_shared<const routing::RoutingSnapshot>(snapshot_));
}

void TestEntry::runOnThread(const std::function<void()> &action)
{
    std::promise<void> done;
    boost::asio::post(context_, [&] {
        action();
        done.set_value();
    });
    done.get_future().wait();
}

RawCaller::RawCaller(const Address &address)
    : socket_(::socket(AF_INET, SOCK_STREAM, 0))
{
    sockaddr_in target{};
    target.sin_family = AF_INET;
    target.sin_port = htons(address.port_);
    ::inet_pton(AF_INET, address.ip_.c_str(), &target.sin_addr);
    const timeval limit{10, 0};
    ::setsockopt(socket_, SOL_SOCKET, SO_RCVTIMEO, &limit, sizeof limit);
    if (::connect(socket_, reinterpret_cast<const sockaddr *>(&target), sizeof target) != 0)
        close();
}

RawCaller::~RawCaller()
{
    close();
}

void RawCaller::close()
{
    if (socket_ >= 0)
        ::close(socket_);
    socket_ = -1;
}

void RawCaller::reset()
{
    const linger now{1, 0};
    ::setsockopt(socket_, SOL_SOCKET, SO_LINGER, &now, sizeof now);
    close();
}

void RawCaller::send(std::string_view text) const
{
    while (!text.empty()) {
        const auto sent = ::send(socket_, text.data(), text.size(), MSG_NOSIGNAL);
        if (sent <= 0)
            return;
        text.remove_prefix(static_cast<std::size_t>(sent));
    }
}

void RawCaller::finishSending() const
{
    ::shutdown(socket_, SHUT_WR);
}

bool RawCaller::readSome()
{
    char buffer[4096];
    const auto size = ::recv(socket_, buffer, sizeof buffer, 0);
    if (size <= 0)
        return false;
    text_.append(buffer, static_cast<std::size_t>(size));
    return true;
}

const std::string &RawCaller::readUntil(std::string_view mark, std::size_t times)
{
    while (countOf(text_, mark) < times && readSome()) {
    }
    return text_;
}

const std::string &RawCaller::readAll()
{
    while (readSome()) {
    }
    return text_;
}

std::string completionRequest(bool isStream, std::string_view fields)
{
    const std::string body = std::string("{\"model\":\"lm\",\"prompt\":\"hello\",\"stream\":")
                             + (isStream ? "true" : "false") + "}";
    return plainRequest("POST", "/v1/completions", fields, body);
}

std::string plainRequest(std::string_view method, std::string_view path, std::string_view fields,
                         std::string_view body)
{
    std::string text(method);
    text += " ";
    text += path;
    text += " HTTP/1.1\r\nHost: entry\r\nX-Team: studio\r\n";
    text += fields;
    text += "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n";
    text += body;
    return text;
}

std::size_t countOf(std::string_view text, std::string_view part)
{
    std::size_t count = 0;
    for (auto at = text.find(part); at != std::string_view::npos; at = text.find(part, at + 1))
        ++count;
    return count;
}

bool contains(std::string_view text, std::string_view part)
{
    return text.find(part) != std::string_view::npos;
}

} // namespace cardamombay::test
