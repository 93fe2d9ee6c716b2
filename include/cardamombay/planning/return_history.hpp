/// \file
/// \brief Estimates from observed losses how likely and how fast lost VMs return.
/// \details Adjusts the configured expectation by what the planner has observed during its tenure
/// of the lease.
#pragma once

#include <cardamombay/config/configuration.hpp>
#include <cardamombay/core/ids.hpp>
#include <cardamombay/core/time.hpp>
#include <cardamombay/planning/plan_state.hpp>

#include <cstdint>
#include <map>
#include <set>

namespace cardamombay::planning {

/// \brief Losses and returns of the VMs of one fabric domain during a tenure.
/// \details The configured values count as a few prior observations, so that a new planner starts
/// from them. A loss of more than half of the domain is ignored: it has a common cause and says
/// nothing about individual VMs.
class ReturnHistory
{
public:
    explicit ReturnHistory(FabricDomain domain)
        : domain_(std::move(domain))
    {
    }

    /// \brief Records the health of the domain's VMs at \p now.
    void observe(const PlanState &state, TimePoint now);

    /// \brief \p policy with return probability and return time adjusted by the observations.
    [[nodiscard]] config::PlannerPolicy adjusted(config::PlannerPolicy policy) const;

    /// \brief Discards all observations, at the start or end of a tenure.
    void clear();

    [[nodiscard]] std::uint32_t returned() const { return returned_; }
    [[nodiscard]] std::uint32_t notReturned() const { return notReturned_; }

private:
    void recordUnhealthy(const PlannedVm &vm, TimePoint now);
    void recordHealthy(const PlannedVm &vm, TimePoint now);

    FabricDomain domain_;
    std::set<VmId> seenHealthy_;     ///< Seen healthy, and not lost since.
    std::map<VmId, TimePoint> lost_; ///< Lost VMs with the time of loss.
    std::uint32_t returned_ = 0;
    std::uint32_t notReturned_ = 0; ///< Lost for so long that they count as not returning.
    Duration totalReturnTime_{};    ///< Sum over the VMs that returned.
};

} // namespace cardamombay::planning
