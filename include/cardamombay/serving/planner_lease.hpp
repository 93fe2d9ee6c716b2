/// \file
/// \brief Timing of the planner lease.
#pragma once

#include <cardamombay/leases/lease_settings.hpp>

namespace cardamombay::serving {

/// \brief Lease settings with which a failed planner is replaced within about 2.5 s: the lease
/// duration plus the polling delay of the next candidate. Each renewal and each poll is a call to
/// the store, three per second for a whole fleet.
[[nodiscard]] inline leases::LeaseSettings plannerLeaseTimes()
{
    leases::LeaseSettings times;
    times.duration_ = std::chrono::milliseconds(1800);
    times.margin_ = std::chrono::milliseconds(150);
    times.renewEvery_ = std::chrono::milliseconds(600);
    times.rankDelay_ = std::chrono::milliseconds(150);
    times.maxOrderTransit_ = Duration::zero(); // Late orders are rejected by their fencing token.
    times.writeDeadline_ = std::chrono::milliseconds(1000);
    times.retryDelay_ = std::chrono::milliseconds(150);
    times.longestRetryDelay_ = std::chrono::milliseconds(800);
    return times;
}

} // namespace cardamombay::serving
