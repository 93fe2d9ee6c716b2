/// \file
/// \brief The gateway process: connects the library to sockets, signals and the platform.
#pragma once

#include <platform/dialect.hpp>
#include <platform/engine_orders.hpp>
#include <platform/store_client.hpp>
#include <platform/store_format.hpp>

#include <cardamombay/net/asio_clock.hpp>
#include <cardamombay/net/asio_http_client.hpp>
#include <cardamombay/net/http_server.hpp>
#include <cardamombay/net/kept_upstream.hpp>
#include <cardamombay/net/udp_channel.hpp>
#include <cardamombay/serving/gated_orders.hpp>
#include <cardamombay/serving/gateway_settings.hpp>
#include <cardamombay/serving/metered_platform.hpp>
#include <cardamombay/serving/node.hpp>
#include <cardamombay/traffic/lifecycle.hpp>

#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>

#include <optional>

namespace cardamombay::gateway {

/// \brief Serves a generated text; used for the load balancer's readiness check and the metrics.
class StatusHandler final : public net::HttpHandler
{
public:
    /// \param text returns the body; std::nullopt is answered with 503.
    explicit StatusHandler(std::function<std::optional<std::string>()> text)
        : text_(std::move(text))
    {
    }

    void handle(net::ServerRequest request, std::shared_ptr<net::ServerExchange> exchange) override;
    net::HttpResponse refusal(net::ServerFault fault, std::string_view detail) override;

private:
    std::function<std::optional<std::string>()> text_;
};

/// \brief Takes the requests that other entry VMs relay.
class RelayHandler final : public net::HttpHandler
{
public:
    /// \param gateway must outlive the handler.
    explicit RelayHandler(serving::Gateway &gateway)
        : gateway_(gateway)
    {
    }

    void handle(net::ServerRequest request, std::shared_ptr<net::ServerExchange> exchange) override;
    net::HttpResponse refusal(net::ServerFault fault, std::string_view detail) override;

private:
    serving::Gateway &gateway_;
};

/// \brief One gateway process.
class GatewayDaemon final : private traffic::LifecycleActions
{
public:
    /// \param file the settings file; reloaded on SIGHUP.
    GatewayDaemon(serving::GatewaySettings settings, std::string file);

    /// \brief Runs until the process is stopped.
    [[nodiscard]] Result<Done> run();

private:
    [[nodiscard]] Result<Done> start();
    [[nodiscard]] Result<Done> makeControl();
    [[nodiscard]] Result<Done> listen();
    /// Requests with bodies that the memory cannot hold are refused with 503.
    void warnOfBodyLimit(std::size_t bodyBytes) const;
    void waitForSignal();
    void reload();
    void pollUntilLeft(std::function<void()> done, int pollsLeft);

    /// \name Shutdown
    /// \{
    void setHealthy(bool isHealthy) override;
    void refuseNewRequests() override;
    void cutRemainingRequests() override;
    void tellPeers() override;
    void returnLeases(std::function<void()> done) override;
    void exit() override;
    [[nodiscard]] std::size_t requestsInFlight() const override;
    /// \}

    serving::GatewaySettings settings_;
    std::string file_;
    // Connections of callers give back their shares when the context is destroyed.
    metrics::Registry registry_;
    net::InputMetrics inputMetrics_{registry_};
    net::BoundedInputBudget inputBudget_;
    boost::asio::io_context context_{1};
    boost::asio::signal_set signals_{context_};
    net::AsioClock clock_{context_};
    net::AsioHttpClient storeHttp_;
    net::AsioHttpClient orderHttp_;
    net::KeptUpstream upstream_{context_, clock_};
    net::UdpChannel datagrams_{context_};
    adapter::StoreClient store_;
    adapter::EngineOrders orders_;
    serving::MeteredStore meteredStore_;
    adapter::PlatformFormat format_;
    adapter::PlatformDialect dialect_;
    serving::EndpointRegistry endpointRegistry_;
    serving::LoadTracker loadTracker_;
    serving::Balancer balancer_;
    serving::GatewayMetrics metrics_;
    serving::Gateway gateway_;
    serving::GatedOrders gatedOrders_;
    serving::MeteredOrders meteredOrders_;
    std::unique_ptr<leases::LeaseKeeper> lease_;
    serving::DemandMix mix_;
    std::unique_ptr<serving::ReplicaManager> manager_;
    std::unique_ptr<serving::Node> node_;
    std::unique_ptr<traffic::Lifecycle> lifecycle_;
    RelayHandler relayHandler_;
    StatusHandler readiness_;
    StatusHandler metricsHandler_;
    net::HttpServer callers_;
    net::HttpServer relays_;
    net::HttpServer readinessServer_;
    net::HttpServer metricsServer_;
};

} // namespace cardamombay::gateway
