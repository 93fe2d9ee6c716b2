/// \file
/// \brief The traffic side of an entry VM within the test process, and a raw caller.
#pragma once

#include "fake_control_link.hpp"

#include <cardamombay/net/asio_clock.hpp>
#include <cardamombay/net/asio_http_client.hpp>
#include <cardamombay/net/http_server.hpp>
#include <cardamombay/net/upstream_client.hpp>
#include <cardamombay/traffic/worker.hpp>

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>

#include <memory>
#include <string>
#include <string_view>
#include <thread>
#include <vector>

namespace cardamombay::test {

/// \brief Limits with short times, so that tests of timeouts end soon.
[[nodiscard]] net::HttpServerLimits shortLimits();

/// \brief One traffic thread in front of the endpoints that the test names.
class TestEntry
{
public:
    explicit TestEntry(net::HttpServerLimits limits = shortLimits());
    ~TestEntry();
    TestEntry(const TestEntry &) = delete;
    TestEntry &operator=(const TestEntry &) = delete;

    /// \brief Adds a group to model service "lm"; takes effect with publish().
    routing::SnapshotGroup &addGroup(const std::string &name, const Address &address);
    /// \brief Adds an endpoint of plain service "app" (path "/app").
    routing::SnapshotGroup &addPlain(const std::string &name, const Address &address);
    void publish();

    [[nodiscard]] Address address() const { return address_; }
    [[nodiscard]] TimePoint now() const { return clock_.now(); }
    /// \brief Runs \p action on the traffic thread and waits for it.
    void runOnThread(const std::function<void()> &action);

    FakeControlLink control_;
    traffic::TrafficState state_;
    config::Configuration configuration_;
    routing::RoutingSnapshot snapshot_;
    metrics::Registry registry_;
    boost::asio::io_context context_{1};
    net::AsioClock clock_{context_};
    net::UpstreamClient upstream_{context_};
    net::AsioHttpClient cancels_{context_};
    traffic::TrafficMetrics metrics_{registry_};
    trace::Tracer tracer_{"entry-1", nullptr};
    std::unique_ptr<traffic::Dispatcher> dispatcher_;
    std::unique_ptr<traffic::Worker> worker_;
    std::unique_ptr<net::HttpServer> server_;

private:
    routing::SnapshotGroup &addTo(std::size_t service, const std::string &name,
                                  const Address &address);

    Address address_;
    boost::asio::executor_work_guard<boost::asio::io_context::executor_type> work_;
    std::thread thread_;
};

/// \brief Blocking connection of a caller that writes raw text.
class RawCaller
{
public:
    explicit RawCaller(const Address &address);
    ~RawCaller();
    RawCaller(const RawCaller &) = delete;
    RawCaller &operator=(const RawCaller &) = delete;

    void send(std::string_view text) const;
    /// \brief Closes the sending side only.
    void finishSending() const;
    void close();
    /// \brief Closes with a reset, as a process that died does.
    void reset();
    /// \brief Reads until \p mark came \p times, the other side closed, or 10 s have passed.
    /// \returns all text read so far.
    const std::string &readUntil(std::string_view mark, std::size_t times = 1);
    /// \brief Reads until the other side closes.
    const std::string &readAll();

private:
    [[nodiscard]] bool readSome();

    int socket_ = -1;
    std::string text_;
};

/// \name Requests of team "studio"
/// \{
[[nodiscard]] std::string completionRequest(bool isStream, std::string_view fields = {});
[[nodiscard]] std::string plainRequest(std::string_view method, std::string_view path,
                                       std::string_view fields = {}, std::string_view body = {});
/// \}

/// \brief How often \p part stands in \p text.
[[nodiscard]] std::size_t countOf(std::string_view text, std::string_view part);
[[nodiscard]] bool contains(std::string_view text, std::string_view part);

} // namespace cardamombay::test
