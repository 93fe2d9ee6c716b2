#include <cardamombay/serving/cold_endpoints.hpp>

#include "serving/log_events.hpp"

#include <cardamombay/log/log.hpp>
#include <cardamombay/serving/endpoint_limits.hpp>

#include <algorithm>
#include <string>

namespace cardamombay::serving {

namespace {

/// Maximum cold time accepted from an entry; the endpoint may renew it.
constexpr Duration maxColdTime = std::chrono::minutes(10);

/// Maximum number of tracked endpoints; bounds memory.
constexpr std::size_t maxRecords = 8192;

constexpr std::string_view entryReason = "entry";

} // namespace

ColdEndpoints::ColdEndpoints(Clock &clock, GatewayMetrics &metrics)
    : clock_(clock)
    , metrics_(metrics)
{
}

void ColdEndpoints::setServices(std::span<const Service> services)
{
    starts_.clear();
    for (const auto &service : services) {
        if (service.coldRequestsPerSecond_ > 0)
            starts_[service.name_] = {service.coldStart_, service.coldRequestsPerSecond_};
    }
}

void ColdEndpoints::listed(const Endpoint &endpoint)
{
    if (endpoint.coldFor_ > Duration::zero())
        markCold(endpoint, endpoint.coldFor_, entryReason);
}

void ColdEndpoints::assumeCold(const Endpoint &endpoint, std::string_view reason)
{
    const auto start = starts_.find(endpoint.service_);
    if (start != starts_.end())
        markCold(endpoint, start->second.time_, reason);
}

void ColdEndpoints::markCold(const Endpoint &endpoint, Duration time, std::string_view reason)
{
    const auto now = clock_.now();
    const auto incarnation = endpoint.incarnation();
    if (!cold_.contains(incarnation) && cold_.size() >= maxRecords)
        return;
    const auto [place, isNew] = cold_.try_emplace(incarnation);
    auto &record = place->second;
    record.service_ = endpoint.service_;
    record.until_ = std::max(record.until_, now + std::min(time, maxColdTime));
    if (!isNew)
        return;
    metrics_.coldStarts_.increment();
    const auto rate = perSecond(incarnation);
    log::info(event::endpointCold, {{"endpoint", incarnation.text()},
                                    {"for-ms", std::to_string(toMilliseconds(time))},
                                    {"per-second", rate ? textOf(*rate) : "unbounded"},
                                    {"from", std::string(reason)}});
}

void ColdEndpoints::expire()
{
    const auto now = clock_.now();
    std::erase_if(cold_, [now](const auto &one) { return now >= one.second.until_; });
    metrics_.coldEndpoints_.set(static_cast<double>(cold_.size()));
}

std::optional<double> ColdEndpoints::perSecond(const EndpointIncarnation &endpoint) const
{
    const auto found = cold_.find(endpoint);
    if (found == cold_.end() || clock_.now() >= found->second.until_)
        return std::nullopt;
    const auto start = starts_.find(found->second.service_);
    return start == starts_.end() ? std::nullopt : std::optional(start->second.perSecond_);
}

} // namespace cardamombay::serving
