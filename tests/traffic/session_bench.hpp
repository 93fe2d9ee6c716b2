/// \file
/// \brief A worker with a paused clock and fakes at every interface: no socket, no thread.
#pragma once

#include "fake_control_link.hpp"

#include <cardamombay/core/manual_clock.hpp>
#include <cardamombay/traffic/worker.hpp>

#include <deque>
#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace cardamombay::test {

/// \brief What the caller of one request saw; writes complete when the test says so.
class FakeExchange final : public net::ServerExchange
{
public:
    void respond(net::HttpResponse response) override;
    void startStream(net::HttpResponse head) override { head_ = std::move(head); }
    void write(std::span<const std::string_view> parts, std::function<void()> written) override;
    void finish(std::span<const net::HttpField> trailers) override;
    void abort() override { isAborted_ = true; }
    void onLost(std::function<void()> lost) override { lost_ = std::move(lost); }

    /// \brief Completes the write under way.
    void completeWrite();

    net::HttpResponse head_;
    std::string body_;
    std::string outcome_; ///< Of the header or the trailer.
    bool isFinished_ = false;
    bool isAborted_ = false;
    std::function<void()> written_;
    std::function<void()> lost_;
};

/// \brief One call to an endpoint, answered by the test.
struct FakeCall
{
    net::UpstreamRequest request_;
    net::UpstreamListener *listener_ = nullptr; ///< Null once the call was dropped.
    std::string pending_;                       ///< Bytes that were not consumed.
    std::size_t consumptions_ = 0;

    [[nodiscard]] std::string attempt() const;
    /// \brief Connects and sends a matching stream head; false if nothing was to be sent.
    bool begin();
    void receive(const std::string &data);
    void receiveToken(std::uint64_t index);
    void end();
    void fail(bool mayHaveLeft);
};

/// \brief Keeps the calls that were started.
class FakeUpstream final : public net::Upstream
{
public:
    std::unique_ptr<net::UpstreamCall> start(net::UpstreamRequest request,
                                             net::UpstreamListener &listener) override;

    std::vector<std::shared_ptr<FakeCall>> calls_;
};

/// \brief Counts cancellations.
class FakeCancels final : public net::HttpClient
{
public:
    void send(net::HttpRequest request, std::function<void(net::HttpResult)>) override
    {
        requests_.push_back(std::move(request));
    }
    std::vector<net::HttpRequest> requests_;
};

/// \brief The worker and all it works with; service "lm" with the groups that the test adds.
class SessionBench
{
public:
    SessionBench();

    routing::SnapshotGroup &addGroup(const std::string &name);
    void publish();
    /// \brief Sends a completion of team "studio".
    std::shared_ptr<FakeExchange> send(bool isStream, std::vector<net::HttpField> fields = {});
    /// \brief Lets time pass in steps of the worker's period, with what was posted.
    void advance(Duration step);
    /// \brief Runs what was posted.
    void runPosted();
    [[nodiscard]] FakeCall &call(std::size_t index) { return *upstream_.calls_.at(index); }

    ManualClock clock_;
    FakeUpstream upstream_;
    FakeCancels cancels_;
    FakeControlLink control_;
    metrics::Registry registry_;
    traffic::TrafficMetrics metrics_{registry_};
    trace::Tracer tracer_{"entry-1", nullptr};
    config::Configuration configuration_;
    routing::RoutingSnapshot snapshot_;
    traffic::TrafficState state_;
    traffic::Dispatcher dispatcher_;
    std::deque<std::function<void()>> posted_;
    std::unique_ptr<traffic::Worker> worker_;
};

} // namespace cardamombay::test
