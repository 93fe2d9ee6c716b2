/// \file
/// \brief Timing parameters of the planner lease.
/// \details The margins ensure that a holder stops before another process may acquire the lease.
#pragma once

#include <cardamombay/core/time.hpp>

namespace cardamombay::leases {

/// \brief Timing parameters of a planner lease, each measured on the clock of a single process.
struct LeaseSettings
{
    Duration duration_ = std::chrono::seconds(12);       ///< Lease time granted by each renewal.
    Duration margin_ = std::chrono::seconds(1);          ///< Clock drift allowance on both sides.
    Duration renewEvery_ = std::chrono::seconds(4);      ///< Also the read interval of candidates.
    Duration rankDelay_ = std::chrono::seconds(4);       ///< Extra takeover delay per rank.
    Duration maxOrderTransit_ = std::chrono::seconds(3); ///< Maximum time an order is in transit.
    Duration writeDeadline_
        = std::chrono::seconds(2); ///< For one write, its retries and lost answers.
    Duration retryDelay_ = std::chrono::milliseconds(500); ///< Initial backoff after a failure.
    Duration longestRetryDelay_ = std::chrono::seconds(5);
};

} // namespace cardamombay::leases
