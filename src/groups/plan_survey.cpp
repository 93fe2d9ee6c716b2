#include "plan_survey.hpp"

#include <algorithm>

namespace cardamombay::groups::impl {

using planning::PlannedGroup;
using planning::PlannedService;
using planning::PlannedVm;

namespace {

PlannedVm summaryOf(const ZoneVm &vm, const SurveySources &sources)
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

/// Phase of a group that another planner carries, as far as it can be told from outside.
GroupPhase outerPhase(const GroupRow &row, const DomainView &view)
{
    if (!row.isActive())
        return row.phase_;
    if (view.count(row, MemberStanding::Lost) > 0)
        return GroupPhase::Degraded;
    const bool isReady = view.count(row, MemberStanding::Ready) == row.members_.size();
    return isReady ? GroupPhase::Serving : GroupPhase::Loading;
}

/// True if all members are there, but not all of them as the formation needs them.
bool needsReset(const GroupRow &row, const DomainView &view)
{
    return view.count(row, MemberStanding::Lost) == 0
           && view.count(row, MemberStanding::Ready) < row.members_.size();
}

PlannedGroup summaryOf(const GroupRow &row, const SurveySources &sources)
{
    PlannedGroup summary;
    summary.group_ = row.group_;
    summary.service_ = row.service_;
    summary.domain_ = row.domain_;
    summary.members_ = row.members_;
    summary.vmsPerReplica_ = row.vmsPerReplica_;
    summary.model_ = row.model_;
    summary.isBusy_ = sources.writer_.isBusy(row.group_);
    const auto life = sources.lives_.find(row.group_);
    if (life == sources.lives_.end()) {
        summary.phase_ = outerPhase(row, sources.view_);
        return summary;
    }
    summary.phase_ = life->second.phase();
    summary.timeInPhase_ = sources.now_ - life->second.phaseSince();
    summary.needsReset_ = needsReset(row, sources.view_);
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

planning::PlanState surveyOf(const SurveySources &sources)
{
    planning::PlanState state;
    state.domain_ = sources.domain_;
    state.zone_ = sources.input_.zone_;
    state.policy_ = sources.input_.configuration_->planner_;
    for (const auto &[id, vm] : sources.view_.vms())
        state.vms_.push_back(summaryOf(vm, sources));
    for (const auto &[id, row] : sources.input_.groupCache_->groups()) {
        if (row.content_.zone_ == state.zone_ && !row.content_.isFreeSlot())
            state.groups_.push_back(summaryOf(row.content_, sources));
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
