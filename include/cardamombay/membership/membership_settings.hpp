/// \file
/// \brief Times and bounds of the membership protocol.
/// \details Values only; every duration and bound of the protocol stands here.
#pragma once

#include <cardamombay/core/time.hpp>

#include <cstdint>

namespace cardamombay::membership {

/// \brief Settings of Membership; the defaults fit 7 as well as 340 entry VMs.
struct MembershipSettings
{
    Duration tick_ = std::chrono::milliseconds(100);     ///< Resolution of all periods below.
    Duration exchangePeriod_ = std::chrono::seconds(1);  ///< With each peer in scope.
    Duration flushGap_ = std::chrono::milliseconds(200); ///< Between urgent exchanges.
    Duration probePeriod_ = std::chrono::seconds(1);     ///< One further member each period.
    Duration probeTimeout_ = std::chrono::milliseconds(400);
    Duration indirectTimeout_ = std::chrono::milliseconds(800); ///< After the indirect probes left.
    Duration bridgePeriod_ = std::chrono::seconds(2);   ///< Bridges towards each other region.
    Duration rejoinPeriod_ = std::chrono::seconds(5);   ///< One dead member or seed each period.
    Duration syncPeriod_ = std::chrono::seconds(10);    ///< Whole tables at most this often.
    Duration tombstoneTime_ = std::chrono::minutes(10); ///< Dead and left members are kept.
    Duration wakeThreshold_ = std::chrono::seconds(1);  ///< Longer without a turn is a pause.
    double suspicionFactor_ = 3.0;  ///< Suspicion lasts factor x log10(n + 1) probe periods.
    double retransmitFactor_ = 3.0; ///< A change is sent factor x log10(n + 1) times a channel.
    std::uint32_t indirectProbes_ = 3;
    std::uint32_t updatesPerDigest_ = 8;
    std::uint32_t wholeRegionLimit_ = 24; ///< Up to this size the scope is the whole region.
    std::uint32_t bridgesPerRegion_ = 2;
};

} // namespace cardamombay::membership
