/// \file
/// \brief Durations of the group manager.
/// \details Values only; the waits among them keep orders of two planners and work for a group that
/// drains apart.
#pragma once

#include <cardamombay/core/time.hpp>

namespace cardamombay::groups {

/// \brief Durations of the group manager.
struct ManagerSettings
{
    Duration orderMargin_ = std::chrono::seconds(2);    ///< Rest of the lease that an order needs.
    Duration resendEvery_ = std::chrono::seconds(2);    ///< Order without visible effect.
    Duration trustAnswerFor_ = std::chrono::seconds(3); ///< Engine's answer to an own order.
    Duration stopSurvivorsAfter_ = std::chrono::seconds(60); ///< Then members are told to drain.
    Duration vetoSpread_ = std::chrono::seconds(3); ///< Until all routers know that a group drains.
    Duration commitRetry_ = std::chrono::seconds(1); ///< Least pause after the store failed.
    Duration warmUp_ = std::chrono::seconds(5);      ///< A new planner listens before it plans.
};

} // namespace cardamombay::groups
