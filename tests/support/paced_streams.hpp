/// \file
/// \brief A gateway between endpoints that stream as fast as they are read and callers that read
/// when the test says so.
/// \details Reading from an endpoint stops after each part until the gateway has consumed it, and a
/// write to a caller ends only when the caller has read all of it, as with real connections whose
/// buffers are full.
#pragma once

#include "support/gateway_fixture.hpp"

#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace cardamombay::support {

/// \brief Size of each event that a PacedEndpoint sends.
inline constexpr std::size_t pacedEventSize = 1024;

/// \brief The events \p first to \p last, as an endpoint sends them.
[[nodiscard]] std::string pacedEvents(std::size_t first, std::size_t last);

/// \brief One stream of an endpoint.
struct PacedCall
{
    net::UpstreamListener *listener_ = nullptr; ///< Null once the call was dropped or has ended.
    std::size_t nextEvent_ = 1;
    std::string unconsumed_;
    bool isReading_ = true; ///< The gateway reads on.

    /// \brief Accepts the connection and sends the head of the answer.
    /// \returns false if the gateway does not send the request.
    bool accept();
    /// \brief Sends the next \p count events if the gateway reads.
    /// \returns false if it doesn't.
    bool send(std::size_t count);
    /// \brief Ends the answer if the gateway reads.
    /// \returns false if it doesn't.
    bool end();
    void fail();
};

/// \brief Endpoints that accept all requests and answer with event streams.
class PacedUpstream final : public net::Upstream, public net::UnusedConnections
{
public:
    [[nodiscard]] bool hasUnused(const Address & /*address*/) const override { return false; }
    [[nodiscard]] std::unique_ptr<net::UpstreamCall>
    start(net::UpstreamRequest request, net::UpstreamListener &listener) override;

    /// \brief Accepts all connections, so that no endpoint counts as crashed.
    [[nodiscard]] std::unique_ptr<net::UpstreamCall>
    probe(const Address &address, Duration timeout, net::UpstreamListener &listener) override;

    std::vector<std::shared_ptr<PacedCall>> calls_;
};

/// \brief A caller and what it has received.
struct PacedCaller
{
    std::string received_;
    std::optional<net::HttpResponse> refusal_;
    bool isFinished_ = false;
    bool isAborted_ = false;
    std::string unread_; ///< Part of the current write that was not read yet.
    std::function<void()> written_;
    std::function<void()> lost_;

    /// \brief Reads up to \p size bytes, over several writes.
    void read(std::size_t size);
    void readAll() { read(std::string::npos); }
    /// \brief Closes the connection.
    void leave();
};

/// \brief A gateway with groups of the model "m".
class PacedFixture
{
public:
    /// \param bound bytes that the gateway may hold for callers that do not read.
    explicit PacedFixture(std::size_t groups, std::size_t bound,
                          serving::CallerBuffers *buffers = nullptr);

    /// \brief Sends a request for a stream and lets an endpoint start to answer it.
    std::shared_ptr<PacedCaller> ask();
    /// \brief Every endpoint that is read sends \p count events.
    void sendAll(std::size_t count);
    /// \brief Ends every stream that is read.
    void endAll();
    /// \brief Advances the clock sweep by sweep.
    void pass(Duration time);

    ManualClock clock_;
    FakeDialect dialect_;
    PacedUpstream upstream_;
    serving::EndpointRegistry endpointRegistry_;
    serving::LoadTracker loadTracker_;
    serving::Balancer balancer_;
    metrics::Registry registry_;
    serving::GatewayMetrics metrics_;
    serving::Gateway gateway_;
};

} // namespace cardamombay::support
