/// \file
/// \brief Settings of admission control.
#pragma once

#include <cardamombay/core/time.hpp>

#include <cstdint>

namespace cardamombay::limits {

/// \brief Settings of admission control.
struct LimitsPolicy
{
    std::uint32_t queueLimit_ = 256; ///< Queued requests of one team for one service.
    /// \brief Longest expected wait of a request of a team that already has its share, as a
    /// fraction of the queue timeout; requests that would wait longer are refused.
    double maximumWaitFraction_ = 0.6;
    std::uint32_t minimumSlotsPerEntry_ = 1; ///< Slots of every entry VM, whatever its share.
    /// \brief Requests are still queued while the capacity has been zero for less than this.
    Duration outageGrace_ = std::chrono::milliseconds(500);
    Duration minimumRetryAfter_ = std::chrono::seconds(1);
    Duration maximumRetryAfter_ = std::chrono::seconds(30);
    Duration shareMaxAge_ = std::chrono::milliseconds(200); ///< Older shares are recomputed.
};

} // namespace cardamombay::limits
