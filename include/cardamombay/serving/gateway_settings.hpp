/// \file
/// \brief Process settings of cardamombay-gateway.
/// \details Where this process stands and whom it talks to, and the bounds agreed with the
/// platform. What operators declare for all entry VMs comes from the platform's store.
#pragma once

#include <cardamombay/core/address.hpp>
#include <cardamombay/core/ids.hpp>
#include <cardamombay/core/result.hpp>
#include <cardamombay/core/time.hpp>
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
    Address callers_;           ///< Listener for callers.
    Address readiness_;         ///< Listener of the balancer's readiness check.
    Address metrics_;           ///< Listener of the metrics.
    Address digests_;           ///< Where peers' datagrams arrive.
    Address store_;             ///< The platform's store.
    bool isFirstStart_ = false; ///< The whole system starts for the first time.
    std::map<AvailabilityZone, RegionName> regions_; ///< Of each availability zone.
    double cores_ = 1;           ///< Share of a core that this VM has, or its cores.
    double linkMegabits_ = 1000; ///< Of its network link, Mbit/s.
    std::string chartsFolder_ = "charts";
    std::string logLevel_ = "info";            ///< "debug", "info", "warn" or "error".
    Duration grace_ = std::chrono::seconds(8); ///< From the request to stop until the kill.
    /// Time in which a leaving endpoint and a configuration must be known to all entry VMs.
    Duration propagationBound_ = std::chrono::seconds(2);
    GatewayBounds bounds_;
};

/// \brief Reads settings from TOML \p text.
/// \returns the settings, or InvalidInput for the first problem.
[[nodiscard]] Result<GatewaySettings> parseGatewaySettings(std::string_view text,
                                                           const std::string &file);

/// \brief Reads settings from a file; a file that cannot be read is InvalidInput too.
[[nodiscard]] Result<GatewaySettings> loadGatewaySettings(const std::string &file);

} // namespace cardamombay::serving
