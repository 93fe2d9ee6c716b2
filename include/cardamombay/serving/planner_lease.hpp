/// \file
/// \brief Times of the planner's lease.
#pragma once

#include <cardamombay/leases/lease_settings.hpp>

namespace cardamombay::serving {

/// \brief Times with which a planner that died is replaced within about two and a half seconds:
/// what a renewal buys, and the looks of the next candidate. Each renewal and look is a call to the
/// store, three a second for a fleet.
[[nodiscard]] inline leases::LeaseSettings plannerLeaseTimes()
{
    leases::LeaseSettings times;
    times.duration_ = std::chrono::milliseconds(1800);
    times.margin_ = std::chrono::milliseconds(150);
    times.renewEvery_ = std::chrono::milliseconds(600);
    times.rankDelay_ = std::chrono::milliseconds(150);
    times.maxOrderTransit_ = Duration::zero(); // Fencing numbers stop late orders.
    times.writeDeadline_ = std::chrono::milliseconds(1000);
    times.retryDelay_ = std::chrono::milliseconds(150);
    times.longestRetryDelay_ = std::chrono::milliseconds(800);
    return times;
}

} // namespace cardamombay::serving
