/// \file
/// \brief Regions in which a request may be served.
/// \details Operators can restrict routes and teams to regions. If both are restricted, both
/// restrictions apply. No request may reach an endpoint outside them.
#pragma once

#include <cardamombay/serving/configuration.hpp>

namespace cardamombay::serving {

/// \brief Region restrictions of one request; they belong to its configuration.
struct RequestRegions
{
    const RegionRestriction *ofRoute_ = nullptr; ///< Null: unrestricted.
    const RegionRestriction *ofTeam_ = nullptr;  ///< Null: unrestricted, or there is no team.

    [[nodiscard]] bool areRestricted() const
    {
        const auto isRestricted = [](const RegionRestriction *restriction) {
            return restriction != nullptr && !restriction->isUnrestricted();
        };
        return isRestricted(ofRoute_) || isRestricted(ofTeam_);
    }

    /// \param region empty if unknown, which only an unrestricted request accepts.
    [[nodiscard]] bool allow(const RegionName &region) const
    {
        const auto allows = [&region](const RegionRestriction *restriction) {
            return restriction == nullptr || restriction->allows(region);
        };
        return allows(ofRoute_) && allows(ofTeam_);
    }
};

} // namespace cardamombay::serving
