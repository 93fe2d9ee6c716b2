/// \file
/// \brief Whether and when a lost VM comes back.
/// \details Pure estimates; times are durations since the loss, probabilities lie between 0 and 1.
/// It decides nothing.
#pragma once

#include <cardamombay/config/configuration.hpp>
#include <cardamombay/core/time.hpp>

#include <span>

namespace cardamombay::planning {

/// \brief Expectation of the return of lost VMs.
struct ReturnEstimate
{
    double probability_ = 0; ///< That all of them return.
    Duration timeLeft_{};    ///< Expected time until all are back, if they return.
};

/// \brief Return times taken as exponential, with a share of VMs that never return.
/// \details The longer a VM is away, the likelier it is one of those that never return.
class ReturnModel
{
public:
    explicit ReturnModel(const config::PlannerPolicy &policy)
        : probability_(policy.returnProbability_)
        , returnTime_(policy.returnTime_)
    {
    }

    /// \brief Outlook for VMs that are lost for \p lostFor each, independently of each other.
    [[nodiscard]] ReturnEstimate independent(std::span<const Duration> lostFor) const;

    /// \brief Outlook for VMs lost to one cause \p lostFor ago, such as their switch.
    [[nodiscard]] ReturnEstimate together(Duration lostFor) const;

private:
    [[nodiscard]] double probabilityAfter(Duration lostFor) const;

    double probability_;
    Duration returnTime_;
};

} // namespace cardamombay::planning
