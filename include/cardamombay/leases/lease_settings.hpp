/// \file
/// \brief Durations of a planner lease.
/// \details Values only. The margins among them make the holder stop before others may take the
/// lease.
#pragma once

#include <cardamombay/core/time.hpp>

namespace cardamombay::leases {

/// \brief Durations of a planner lease; all are measured on the clock of one process.
struct LeaseSettings
{
    Duration duration_ = std::chrono::seconds(12);     ///< What a renewal buys.
    Duration margin_ = std::chrono::seconds(1);        ///< Clock drift; both sides allow for it.
    Duration renewEvery_ = std::chrono::seconds(4);    ///< Also the pause between contender reads.
    Duration rankDelay_ = std::chrono::seconds(4);     ///< Head start of each candidate rank.
    Duration orderFlight_ = std::chrono::seconds(3);   ///< Longest time an order is under way.
    Duration writeDeadline_ = std::chrono::seconds(2); ///< Tries of one write, lost answers too.
    Duration retryDelay_ = std::chrono::milliseconds(500); ///< First delay after a failure.
    Duration longestRetryDelay_ = std::chrono::seconds(5);
};

} // namespace cardamombay::leases
