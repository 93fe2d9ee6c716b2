/// \file
/// \brief Regions in which a request may be served.
/// \details Operators can restrict routes and teams to regions. If both are restricted, both
/// restrictions apply. No request may reach an endpoint outside them.
#pragma once

#include <cardamombay/core/ids.hpp>

#include <algorithm>
#include <span>

namespace cardamombay::serving {

/// \brief Region restrictions of one request; the spans refer to its configuration.
struct RequestRegions
{
    std::span<const RegionName> ofRoute_; ///< Empty: any.
    std::span<const RegionName> ofTeam_;  ///< Empty: any.

    [[nodiscard]] bool isBound() const { return !ofRoute_.empty() || !ofTeam_.empty(); }

    /// \param region empty if unknown, which only an unrestricted request accepts.
    [[nodiscard]] bool allow(const RegionName &region) const
    {
        const auto allows = [&region](std::span<const RegionName> regions) {
            return regions.empty()
                   || std::find(regions.begin(), regions.end(), region) != regions.end();
        };
        return allows(ofRoute_) && allows(ofTeam_);
    }
};

} // namespace cardamombay::serving
