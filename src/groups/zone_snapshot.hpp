/// \file
/// \brief Engine VMs of an availability zone at one tick, with the newest known state of each.
#pragma once

#include "order_sender.hpp"

#include <cardamombay/groups/plan_input.hpp>

#include <map>
#include <vector>

namespace cardamombay::groups::impl {

/// \brief State of a member relative to its formation.
enum class MemberStatus {
    Lost,          ///< No recent report.
    Unassigned,    ///< Reports no assignment.
    Loading,       ///< Reports this formation; still loading.
    Ready,         ///< Reports this formation; ready with the right model.
    Mismatched,    ///< Reports this formation, but has failed, stopped or has another model.
    OtherFormation ///< Reports another formation.
};

/// \brief One VM of the zone.
struct ZoneVm
{
    platform::VmRecord record_;
    VmObservation observation_; ///< The newer of the watcher's and the VM's direct reply.

    [[nodiscard]] bool isHealthy() const { return observation_.isFresh_ && observation_.state_; }
    [[nodiscard]] bool isIdle() const
    {
        return isHealthy() && !observation_.state_->assignment_
               && observation_.state_->phase_ == endpoint::EnginePhase::Idle;
    }
};

/// \brief Snapshot of the zone's engine VMs.
class ZoneSnapshot
{
public:
    ZoneSnapshot(const PlanInput &input, const OrderSender &sender, TimePoint now,
                 const ManagerSettings &settings);

    [[nodiscard]] const std::map<VmId, ZoneVm> &vms() const { return vms_; }
    /// \brief The VM with that identifier, or null if it is not in the VM list.
    [[nodiscard]] const ZoneVm *vm(const VmId &vm) const;
    /// \brief Status of \p member relative to \p row.
    [[nodiscard]] MemberStatus memberStatus(const GroupRow &row, const VmId &member) const;
    /// \brief Number of members with status \p wanted.
    [[nodiscard]] std::size_t count(const GroupRow &row, MemberStatus wanted) const;

private:
    std::map<VmId, ZoneVm> vms_;
};

} // namespace cardamombay::groups::impl
