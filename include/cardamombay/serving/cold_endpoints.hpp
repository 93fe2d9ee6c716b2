/// \file
/// \brief Endpoints that have just started and take only few requests a second for a while.
/// \details An endpoint says in its entry how long it stays cold. Where operators let requests
/// return to an availability zone, or an endpoint is back after it was lost, it counts as cold
/// before it says so. Guards that a cold endpoint is not overrun by all entry VMs at once; which
/// sends it gets is decided by the reservation desk.
#pragma once

#include <cardamombay/core/clock.hpp>
#include <cardamombay/serving/configuration.hpp>
#include <cardamombay/serving/gateway_metrics.hpp>
#include <cardamombay/serving/send_rates.hpp>

#include <map>
#include <span>
#include <string_view>

namespace cardamombay::serving {

/// \brief What one entry VM knows of cold endpoints; belongs to the gateway's thread.
/// \code
/// cold.listed(endpoint);
/// if (const auto rate = cold.perSecond(endpoint.life()))
///     reserve(*rate);
/// \endcode
class ColdEndpoints final : public SendRates
{
public:
    /// \param clock, metrics outlive the object.
    ColdEndpoints(Clock &clock, GatewayMetrics &metrics);

    /// \brief Takes what operators declare of cold starts.
    void setServices(std::span<const Service> services);

    /// \brief Takes an endpoint's entry; one that names no cold time ends nothing, since it may
    /// be older than the reason to count the endpoint as cold.
    void listed(const Endpoint &endpoint);

    /// \brief An endpoint may have become cold, and its entry does not say so yet.
    /// \param reason for the log.
    void assumeCold(const Endpoint &endpoint, std::string_view reason);

    /// \brief Drops endpoints that are warm again.
    void expire();

    /// \brief The rate that a cold endpoint takes; nothing for one that is warm, or whose service
    /// bounds nothing.
    [[nodiscard]] std::optional<double>
    perSecond(const EndpointIncarnation &endpoint) const override;

private:
    /// How the endpoints of a service start.
    struct ColdStart
    {
        Duration time_{};
        double perSecond_ = 0;
    };
    struct Record
    {
        ServiceName service_;
        TimePoint until_{};
    };

    void set(const Endpoint &endpoint, Duration time, std::string_view reason);

    Clock &clock_;
    GatewayMetrics &metrics_;
    std::map<ServiceName, ColdStart> starts_; ///< Of services that bound the rate.
    std::map<EndpointIncarnation, Record> cold_;
};

} // namespace cardamombay::serving
