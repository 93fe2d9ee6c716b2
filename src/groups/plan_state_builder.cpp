#include "plan_state_builder.hpp"

#include <algorithm>

namespace cardamombay::groups::impl {

using planning::PlannedGroup;
using planning::PlannedService;
using planning::PlannedVm;

namespace {

PlannedVm summarize(const ZoneVm &vm, const PlanStateSources &sources)
{
    const auto *row = sources.input_.groupCache_->vm(vm.record_.id_);
    PlannedVm summary;
    summary.vm_ = vm.record_.id_;
    summary.domain_ = vm.record_.domain_;
    summary.isHealthy_ = vm.isHealthy();
    summary.isLeaving_ = vm.observation_.isLeaving_;
    summary.isStraggler_ = vm.observation_.isStraggler_;
    summary.isIdle_ = vm.isIdle();
    summary.isAssigned_
        = (row != nullptr && !row->content_.isFree()) || sources.writer_.isReserved(vm.record_.id_);
    if (!summary.isHealthy_) {
        const TimePoint since = std::max(vm.observation_.heardAt_, sources.tenureSince_);
        summary.lostFor_ = std::max(sources.now_ - since, Duration::zero());
    }
    return summary;
}

/// Infers the phase of a group that another planner manages from its row and its members' reports.
GroupPhase inferPhase(const GroupRow &row, const ZoneSnapshot &snapshot)
{
    if (!row.isActive())
        return row.phase_;
    if (snapshot.count(row, MemberStatus::Lost) > 0)
        return GroupPhase::Degraded;
    const bool isReady = snapshot.count(row, MemberStatus::Ready) == row.members_.size();
    return isReady ? GroupPhase::Serving : GroupPhase::Loading;
}

/// True if all members are healthy, but not all are ready in this formation.
bool needsReset(const GroupRow &row, const ZoneSnapshot &snapshot)
{
    return snapshot.count(row, MemberStatus::Lost) == 0
           && snapshot.count(row, MemberStatus::Ready) < row.members_.size();
}

PlannedGroup summarize(const GroupRow &row, const PlanStateSources &sources)
{
    PlannedGroup summary;
    summary.group_ = row.group_;
    summary.service_ = row.service_;
    summary.domain_ = row.domain_;
    summary.members_ = row.members_;
    summary.vmsPerReplica_ = row.vmsPerReplica_;
    summary.model_ = row.model_;
    summary.isBusy_ = sources.writer_.isBusy(row.group_);
    const auto machine = sources.machines_.find(row.group_);
    if (machine == sources.machines_.end()) {
        summary.phase_ = inferPhase(row, sources.snapshot_);
        return summary;
    }
    summary.phase_ = machine->second.phase();
    summary.timeInPhase_ = sources.now_ - machine->second.phaseSince();
    summary.needsReset_ = needsReset(row, sources.snapshot_);
    return summary;
}

std::uint32_t declaredReplicas(const config::Service &service, const AvailabilityZone &zone)
{
    std::uint32_t replicas = 0;
    for (const config::SiteCapacity &capacity : service.capacity_) {
        if (capacity.zone_ == zone)
            replicas += capacity.replicas_;
    }
    return replicas;
}

} // namespace

planning::PlanState buildPlanState(const PlanStateSources &sources)
{
    planning::PlanState state;
    state.domain_ = sources.domain_;
    state.zone_ = sources.input_.zone_;
    state.policy_ = sources.input_.configuration_->planner_;
    for (const auto &[id, vm] : sources.snapshot_.vms())
        state.vms_.push_back(summarize(vm, sources));
    for (const auto &[id, row] : sources.input_.groupCache_->groups()) {
        if (row.content_.zone_ == state.zone_ && !row.content_.isFreeSlot())
            state.groups_.push_back(summarize(row.content_, sources));
    }
    for (const auto &[group, service] : sources.writer_.formingSlots()) {
        const auto *row = sources.input_.groupCache_->group(group);
        if (row == nullptr || row->content_.isFreeSlot())
            state.pending_.push_back({group, service});
    }
    for (const config::Service &service : sources.input_.configuration_->services_) {
        if (service.kind_ != config::ServiceKind::Model)
            continue;
        state.services_.push_back(PlannedService{
            service.name_, declaredReplicas(service, state.zone_), service.vmsPerReplica_,
            service.priority_, service.loadTime_, service.model_});
    }
    return state;
}

} // namespace cardamombay::groups::impl
