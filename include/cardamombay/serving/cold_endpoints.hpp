/// \file
/// \brief Tracks endpoints that have just started and accept only a low request rate at first.
/// \details An endpoint's entry states how long it stays cold. An endpoint also counts as cold
/// before its entry says so if its availability zone is returned to service or it reappears after
/// being lost. This keeps all entry VMs from overloading a cold endpoint at once. The reservation
/// coordinator schedules the sends.
#pragma once

#include <cardamombay/core/clock.hpp>
#include <cardamombay/serving/configuration.hpp>
#include <cardamombay/serving/gateway_metrics.hpp>
#include <cardamombay/serving/send_rates.hpp>

#include <map>
#include <span>
#include <string_view>

namespace cardamombay::serving {

/// \brief Cold endpoints known to one entry VM. Not thread-safe: used on the gateway's thread only.
/// \code
/// cold.listed(endpoint);
/// if (const auto rate = cold.perSecond(endpoint.incarnation()))
///     reserve(*rate);
/// \endcode
class ColdEndpoints final : public SendRates
{
public:
    /// \param clock, metrics must outlive this object.
    ColdEndpoints(Clock &clock, GatewayMetrics &metrics);

    /// \brief Applies the cold-start settings of the configured services.
    void setServices(std::span<const Service> services);

    /// \brief Processes an endpoint's entry. An entry without a cold time does not end the cold
    /// state, since it may predate the reason for it.
    void listed(const Endpoint &endpoint);

    /// \brief Marks an endpoint as cold before its entry says so.
    /// \param reason logged.
    void assumeCold(const Endpoint &endpoint, std::string_view reason);

    /// \brief Removes endpoints whose cold time is over.
    void expire();

    /// \brief Rate limit of a cold endpoint; no value if it is warm or its service sets no limit.
    [[nodiscard]] std::optional<double>
    perSecond(const EndpointIncarnation &endpoint) const override;

private:
    /// Cold-start settings of a service.
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

    void markCold(const Endpoint &endpoint, Duration time, std::string_view reason);

    Clock &clock_;
    GatewayMetrics &metrics_;
    std::map<ServiceName, ColdStart> starts_; ///< Only services that limit the rate.
    std::map<EndpointIncarnation, Record> cold_;
};

} // namespace cardamombay::serving
