/// \file
/// \brief Learns from observed losses whether and when lost VMs come back.
/// \details Decides how far the configured expectation is corrected by what a planner saw. It never
/// decides on a repair and keeps nothing beyond a tenure of the lease.
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
/// \details The configured values count as a few observations, so that a new planner begins with
/// them. A loss of more than half of the domain has one cause and teaches nothing about single VMs.
class ReturnHistory
{
public:
    explicit ReturnHistory(FabricDomain domain)
        : domain_(std::move(domain))
    {
    }

    /// \brief Takes in the VMs as they are at \p now.
    void observe(const PlanState &state, TimePoint now);

    /// \brief \p policy with the expectation of returns corrected by what was observed.
    [[nodiscard]] config::PlannerPolicy corrected(config::PlannerPolicy policy) const;

    /// \brief Forgets everything, as at the begin of a tenure.
    void clear();

    [[nodiscard]] std::uint32_t returned() const { return returned_; }
    [[nodiscard]] std::uint32_t gone() const { return gone_; }

private:
    void noteLost(const PlannedVm &vm, TimePoint now);
    void noteHealthy(const PlannedVm &vm, TimePoint now);

    FabricDomain domain_;
    std::set<VmId> known_;           ///< Were healthy in this tenure.
    std::map<VmId, TimePoint> lost_; ///< Lost since.
    std::uint32_t returned_ = 0;
    std::uint32_t gone_ = 0; ///< Away for so long that they count as never returning.
    Duration awayTime_{};    ///< Sum over those that returned.
};

} // namespace cardamombay::planning
