/// \file
/// \brief Settings of the router.
#pragma once

#include <cardamombay/core/time.hpp>

#include <cstddef>
#include <cstdint>

namespace cardamombay::routing {

/// \brief Settings of the router; loads are fractions of a group's capacity, 1.0 is full.
struct RouterPolicy
{
    double affinitySlack_ = 0.25;       ///< Load above the mean accepted for a probable cache hit.
    double zoneSlack_ = 0.25;           ///< Load difference at which requests leave the zone.
    double affinityZoneSlack_ = 0.1;    ///< Load added to remote groups in prefix affinity.
    double crossDomainPenalty_ = 0.5;   ///< Load added to decode groups in other fabric domains.
    double minimumCapacityShare_ = 0.7; ///< Fraction of usable capacity that ejection must leave.
    double stragglerRatio_ = 2.5;       ///< Slow above this multiple of the service's median time.
    std::uint32_t stragglerSamples_ = 8;
    Duration stragglerMinimumTime_ = std::chrono::milliseconds(20); ///< Never slow below this.
    Duration ejectionTime_ = std::chrono::seconds(15);
    Duration prefixLifetime_ = std::chrono::minutes(10);
    Duration eventGapRetention_ = std::chrono::seconds(10); ///< Younger entries survive a gap.
    std::size_t prefixEntries_ = std::size_t{1} << 18;
};

} // namespace cardamombay::routing
