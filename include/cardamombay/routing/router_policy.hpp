/// \file
/// \brief Settings of the router.
#pragma once

#include <cardamombay/core/time.hpp>

#include <cstddef>
#include <cstdint>

namespace cardamombay::routing {

/// \brief Settings of the router; loads are shares of a group's capacity, 1.0 is full.
struct RouterPolicy
{
    double affinitySlack_ = 0.25;    ///< Load over the mean that a probable cache hit is worth.
    double zoneSlack_ = 0.25;        ///< Load difference that makes requests leave the zone.
    double affinityZoneSlack_ = 0.1; ///< The same for requests that follow their prefix.
    double domainPenalty_ = 0.5;     ///< Load a decode group outside the prefill's fabric costs.
    double capacityFloor_ = 0.7;     ///< Share of usable capacity that ejection must leave.
    double stragglerRatio_ = 2.5;    ///< Answer time against the median of the service.
    std::uint32_t stragglerSamples_ = 8;
    Duration stragglerMinimum_ = std::chrono::milliseconds(20); ///< Faster is never a straggler.
    Duration ejectionTime_ = std::chrono::seconds(15);
    Duration prefixLife_ = std::chrono::minutes(10);
    Duration gapTrust_ = std::chrono::seconds(10); ///< Entries this young survive an event gap.
    std::size_t prefixEntries_ = std::size_t{1} << 18;
};

} // namespace cardamombay::routing
