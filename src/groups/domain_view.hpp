/// \file
/// \brief The VMs of an availability zone at one tick, with the newest state known of each.
#pragma once

#include "order_desk.hpp"

#include <cardamombay/groups/plan_input.hpp>

#include <map>
#include <vector>

namespace cardamombay::groups::impl {

/// \brief How a member stands to the formation it belongs to.
enum class MemberStanding {
    Lost,       ///< Not heard of.
    Unassigned, ///< Reports no assignment.
    Loading,    ///< Reports this formation, still loading.
    Ready,      ///< Reports this formation, ready, with the right model.
    Void,       ///< Reports this formation, but failed, stopped or with another model.
    Foreign     ///< Reports another formation.
};

/// \brief One VM of the zone.
struct ZoneVm
{
    platform::VmRecord record_;
    VmObservation observation_; ///< Newest of the view's and the own answers.

    [[nodiscard]] bool isHealthy() const { return observation_.isFresh_ && observation_.state_; }
    [[nodiscard]] bool isIdle() const
    {
        return isHealthy() && !observation_.state_->assignment_
               && observation_.state_->phase_ == endpoint::EnginePhase::Idle;
    }
};

/// \brief Snapshot of the zone's VMs.
class DomainView
{
public:
    DomainView(const PlanInput &input, const OrderDesk &desk, TimePoint now,
               const ManagerSettings &settings);

    [[nodiscard]] const std::map<VmId, ZoneVm> &vms() const { return vms_; }
    /// \brief The VM of that name, or null if it is not in the VM list.
    [[nodiscard]] const ZoneVm *vm(const VmId &vm) const;
    /// \brief How \p member of \p row stands.
    [[nodiscard]] MemberStanding standing(const GroupRow &row, const VmId &member) const;
    /// \brief Number of members with that standing.
    [[nodiscard]] std::size_t count(const GroupRow &row, MemberStanding wanted) const;

private:
    std::map<VmId, ZoneVm> vms_;
};

} // namespace cardamombay::groups::impl
