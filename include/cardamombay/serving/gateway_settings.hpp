/// \file
/// \brief Process settings of cardamombay-gateway.
/// \details Covers the identity and addresses of this process and the limits agreed with the
/// platform. The configuration of the fleet is read from the platform's store instead.
#pragma once

#include <cardamombay/core/address.hpp>
#include <cardamombay/core/ids.hpp>
#include <cardamombay/core/result.hpp>
#include <cardamombay/core/time.hpp>
#include <cardamombay/net/input_budget.hpp>
#include <cardamombay/serving/gateway.hpp>

#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace cardamombay::serving {

/// \brief All process settings.
struct GatewaySettings
{
    EntryId entry_;
    AvailabilityZone zone_;
    Address callers_;           ///< Listen address for callers.
    Address readiness_;         ///< Listen address of the load balancer's readiness check.
    Address metrics_;           ///< Listen address of the metrics.
    Address digests_;           ///< Listen address for peers' datagrams.
    Address store_;             ///< Address of the platform's store.
    bool isFirstStart_ = false; ///< True on the very first start of the system.
    std::map<AvailabilityZone, RegionName> regions_; ///< Region of each availability zone.
    double cores_ = 1;                               ///< CPU cores of this VM; may be a fraction.
    double linkMegabits_ = 1000;                     ///< Bandwidth of the network link in Mbit/s.
    std::string chartsFolder_ = "charts";
    std::string logLevel_ = "info";            ///< "debug", "info", "warn" or "error".
    Duration grace_ = std::chrono::seconds(8); ///< Time between the stop request and the kill.
    /// Maximum time until all entry VMs know of a leaving endpoint or a new configuration.
    Duration propagationBound_ = std::chrono::seconds(2);
    /// Memory for what callers send, in bytes.
    std::size_t inputBytes_ = net::BoundedInputBudget::defaultBound;
    /// File descriptors of the process; 0 if not set.
    std::size_t descriptors_ = 0;
    GatewayBounds bounds_;
};

/// \brief Parses settings from TOML \p text.
/// \returns the settings, or InvalidInput with the first problem found.
[[nodiscard]] Result<GatewaySettings> parseGatewaySettings(std::string_view text,
                                                           const std::string &file);

/// \brief Loads settings from a file; returns InvalidInput also if the file cannot be read.
[[nodiscard]] Result<GatewaySettings> loadGatewaySettings(const std::string &file);

} // namespace cardamombay::serving
