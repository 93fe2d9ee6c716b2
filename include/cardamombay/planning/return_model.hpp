/// \file
/// \brief Probability and expected time of the return of lost VMs.
/// \details Times are durations since the loss, probabilities lie between 0 and 1.
#pragma once

#include <cardamombay/config/configuration.hpp>
#include <cardamombay/core/time.hpp>

#include <span>

namespace cardamombay::planning {

/// \brief Expected return of a set of lost VMs.
struct ReturnEstimate
{
    double probability_ = 0; ///< Probability that all of them return.
    Duration timeLeft_{};    ///< Expected time until the last returns, if all do.
};

/// \brief Model with exponential return times, in which a fraction of the VMs never returns.
/// \details The longer a VM has been lost, the more likely it is one that never returns.
class ReturnModel
{
public:
    explicit ReturnModel(const config::PlannerPolicy &policy)
        : probability_(policy.returnProbability_)
        , returnTime_(policy.returnTime_)
    {
    }

    /// \brief Estimate for VMs that were lost independently, each \p lostFor ago.
    [[nodiscard]] ReturnEstimate independent(std::span<const Duration> lostFor) const;

    /// \brief Estimate for VMs lost \p lostFor ago to a common cause, such as a failed switch.
    [[nodiscard]] ReturnEstimate commonCause(Duration lostFor) const;

private:
    [[nodiscard]] double probabilityAfter(Duration lostFor) const;

    double probability_;
    Duration returnTime_;
};

} // namespace cardamombay::planning
