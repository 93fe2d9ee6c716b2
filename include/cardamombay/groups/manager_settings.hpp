/// \file
/// \brief Timing parameters of the group manager.
#pragma once

#include <cardamombay/core/time.hpp>

namespace cardamombay::groups {

/// \brief Timing parameters of the group manager.
struct ManagerSettings
{
    /// Remaining lease time needed to send an order, so that it arrives before another planner's.
    Duration orderMargin_ = std::chrono::seconds(2);
    /// Interval at which an order without visible effect is sent again.
    Duration resendInterval_ = std::chrono::seconds(2);
    /// How long the reply to an order or probe counts as a fresh observation.
    Duration replyFreshFor_ = std::chrono::seconds(3);
    /// Time in Degraded after which the remaining members are ordered to drain.
    Duration stopSurvivorsAfter_ = std::chrono::seconds(60);
    /// Time until all routers know that a group drains and send it no more requests.
    Duration drainPropagationTime_ = std::chrono::seconds(3);
    /// Least pause after a commit failed for any reason but a conflict; a random pause of up to the
    /// same length is added.
    Duration minCommitBackoff_ = std::chrono::seconds(1);
    /// Time for which a new planner only observes before it plans.
    Duration warmUpTime_ = std::chrono::seconds(5);
};

} // namespace cardamombay::groups
