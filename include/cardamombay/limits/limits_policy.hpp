/// \file
/// \brief Settings of admission.
#pragma once

#include <cardamombay/core/time.hpp>

#include <cstdint>

namespace cardamombay::limits {

/// \brief Settings of admission.
struct LimitsPolicy
{
    std::uint32_t queueLimit_ = 256; ///< Waiting requests of one team for one service.
    double waitMargin_ = 0.6;        ///< Expected wait over the queue timeout that is still let in.
    std::uint32_t entryFloor_ = 1;   ///< Slots every entry VM may use, whatever its share.
    Duration outageGrace_ = std::chrono::milliseconds(500); ///< Wait for capacity that blinked.
    Duration minimumRetryAfter_ = std::chrono::seconds(1);
    Duration maximumRetryAfter_ = std::chrono::seconds(30);
    Duration shareLife_ = std::chrono::milliseconds(200); ///< Shares are worked out this often.
};

} // namespace cardamombay::limits
