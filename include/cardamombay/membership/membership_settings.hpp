/// \file
/// \brief Timing parameters and limits of the membership protocol.
#pragma once

#include <cardamombay/core/time.hpp>

#include <cstdint>

namespace cardamombay::membership {

/// \brief Settings of Membership; the defaults suit 7 to 340 entry VMs.
struct MembershipSettings
{
    Duration tick_ = std::chrono::milliseconds(100);     ///< Resolution of all periods below.
    Duration exchangePeriod_ = std::chrono::seconds(1);  ///< With each peer in scope.
    Duration flushGap_ = std::chrono::milliseconds(200); ///< Minimum between urgent exchanges.
    Duration probePeriod_ = std::chrono::seconds(1);     ///< One member outside scope per period.
    Duration probeTimeout_ = std::chrono::milliseconds(400);
    Duration indirectTimeout_ = std::chrono::milliseconds(800); ///< From sending indirect probes.
    Duration bridgePeriod_ = std::chrono::seconds(2);   ///< From a bridge to each other region.
    Duration rejoinPeriod_ = std::chrono::seconds(5);   ///< One dead member or seed per period.
    Duration syncPeriod_ = std::chrono::seconds(10);    ///< Minimum between full table transfers.
    Duration tombstoneTime_ = std::chrono::minutes(10); ///< Retention of dead and left members.
    Duration pauseThreshold_ = std::chrono::seconds(1); ///< A longer tick delay counts as a pause.
    double suspicionFactor_ = 3.0;  ///< Suspicion lasts factor x log10(n + 1) probe periods.
    double retransmitFactor_ = 3.0; ///< Changes are sent factor x log10(n + 1) times per channel.
    std::uint32_t indirectProbes_ = 3;
    std::uint32_t updatesPerDigest_ = 8;
    std::uint32_t wholeRegionLimit_ = 24; ///< Up to this size the scope is the whole region.
    std::uint32_t bridgesPerRegion_ = 2;
};

} // namespace cardamombay::membership
