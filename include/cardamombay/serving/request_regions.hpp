/// \file
/// \brief The regions in which a request may run.
/// \details Operators bind routes and teams to regions; where both are bound, both hold. Guards
/// that no request reaches an endpoint elsewhere.
#pragma once

#include <cardamombay/core/ids.hpp>

#include <algorithm>
#include <span>

namespace cardamombay::serving {

/// \brief Bounds of one request; the lists belong to its configuration.
struct RequestRegions
{
    std::span<const RegionName> ofRoute_; ///< Empty: any.
    std::span<const RegionName> ofTeam_;  ///< Empty: any.

    [[nodiscard]] bool isBound() const { return !ofRoute_.empty() || !ofTeam_.empty(); }

    /// \param region empty if it is not known, which only an unbound request allows.
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
