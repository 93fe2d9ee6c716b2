#include "planning_run.hpp"

#include <cardamombay/core/hash.hpp>

#include <algorithm>
#include <utility>

namespace cardamombay::planning::impl {

using groups::GroupPhase;

namespace {

bool isEnding(const PlannedGroup &group)
{
    return group.phase_ == GroupPhase::Draining || group.phase_ == GroupPhase::Dissolving;
}

std::uint64_t slotRank(const GroupId &slot, const FabricDomain &domain)
{
    return rendezvousWeight(slot.text(), domain.text());
}

} // namespace

PlanningRun::PlanningRun(const PlanState &state, const RepairPolicy &policy)
    : state_(state)
    , policy_(policy)
{
}

std::vector<PlanDecision> PlanningRun::decide()
{
    countSpares();
    countGroups();
    for (const VmDemand &demand : demands())
        satisfy(demand);
    endRetiringGroups();
    endSurplusGroups();
    moveLostGroups();
    return std::move(decisions_);
}

void PlanningRun::countSpares()
{
    std::vector<const PlannedVm *> own;
    for (const PlannedVm &vm : state_.vms_) {
        const bool isOwnVm = vm.domain_ == state_.domain_;
        if (vm.isSpare() && isOwnVm)
            own.push_back(&vm);
        else if (vm.isSpare())
            ++sparesElsewhere_[vm.domain_];
        else if (isOwnVm && vm.isHealthy_ && !vm.isLeaving_ && !vm.isAssigned_)
            ++incomingSpares_;
    }
    std::stable_sort(own.begin(), own.end(), [](const PlannedVm *one, const PlannedVm *other) {
        return one->isStraggler_ && !other->isStraggler_;
    });
    std::transform(own.begin(), own.end(), std::back_inserter(spares_),
                   [](const PlannedVm *vm) { return vm->vm_; });
    for (const PlannedGroup &group : state_.groups_) {
        if (isOwn(group) && isEnding(group))
            incomingSpares_ += group.members_.size() - lostMembers(group).size();
    }
}

void PlanningRun::countGroups()
{
    for (const PlannedGroup &group : state_.groups_) {
        ServiceCounts &counts = serviceCounts_[group.service_];
        if (isEnding(group)) {
            ++counts.draining_;
        } else if (isRetiring(group)) {
            ++counts.retiring_;
        } else {
            ++counts.active_;
            counts.serving_ += group.phase_ == GroupPhase::Serving ? 1 : 0;
        }
    }
    for (const PendingSlot &slot : state_.pending_)
        ++serviceCounts_[slot.service_].active_;
}

bool PlanningRun::isOwn(const PlannedGroup &group) const
{
    return group.domain_ == state_.domain_;
}

bool PlanningRun::hasLeavingMember(const PlannedGroup &group) const
{
    return std::any_of(group.members_.begin(), group.members_.end(), [&](const VmId &member) {
        const PlannedVm *vm = state_.vm(member);
        return vm != nullptr && vm->isLeaving_;
    });
}

bool PlanningRun::isOutdated(const PlannedGroup &group) const
{
    const PlannedService *service = state_.service(group.service_);
    return service == nullptr || service->model_ != group.model_
           || service->vmsPerReplica_ != group.vmsPerReplica_;
}

bool PlanningRun::isRetiring(const PlannedGroup &group) const
{
    return hasLeavingMember(group) || isOutdated(group);
}

std::vector<const PlannedVm *> PlanningRun::lostMembers(const PlannedGroup &group) const
{
    static const PlannedVm unknown{{},    {},    false, false,
                                   false, false, false, std::chrono::hours(24)};
    std::vector<const PlannedVm *> lost;
    for (const VmId &member : group.members_) {
        const PlannedVm *vm = state_.vm(member);
        if (vm == nullptr)
            lost.push_back(&unknown); // Removed from the VM list; it will not return.
        else if (!vm->isHealthy_)
            lost.push_back(vm);
    }
    return lost;
}

bool PlanningRun::hasSparesElsewhere(std::uint32_t count) const
{
    return std::any_of(sparesElsewhere_.begin(), sparesElsewhere_.end(),
                       [&](const auto &domain) { return domain.second >= count; });
}

/// Demands in the order in which they get scarce VMs: by descending priority, then by ascending
/// fraction of replicas that serve, then broken groups before free slots.
std::vector<VmDemand> PlanningRun::demands() const
{
    std::vector<VmDemand> found;
    for (const PlannedGroup &group : state_.groups_) {
        const bool isBroken = group.phase_ == GroupPhase::Degraded && isOwn(group) && !group.isBusy_
                              && !isRetiring(group);
        if (isBroken)
            found.push_back({state_.service(group.service_), &group, group.group_, 0});
    }
    for (const PlannedService &service : state_.services_)
        addFreeSlots(service, found);
    for (VmDemand &demand : found) {
        const auto counts = serviceCounts_.find(demand.service_->service_);
        const double serving = counts == serviceCounts_.end() ? 0 : counts->second.serving_;
        demand.servingShare_ = serving / std::max<std::uint32_t>(demand.service_->replicas_, 1);
    }
    std::stable_sort(found.begin(), found.end(), [](const VmDemand &one, const VmDemand &other) {
        if (one.service_->priority_ != other.service_->priority_)
            return one.service_->priority_ > other.service_->priority_;
        return one.servingShare_ < other.servingShare_;
    });
    return found;
}

/// Adds the lowest free slot numbers, one for each missing replica. Each domain uses its own order
/// (rendezvous hashing), so that planners of several domains rarely try the same slot first.
void PlanningRun::addFreeSlots(const PlannedService &service, std::vector<VmDemand> &found) const
{
    const auto counts = serviceCounts_.find(service.service_);
    const std::uint32_t active = counts == serviceCounts_.end() ? 0 : counts->second.active_;
    if (active >= service.replicas_)
        return;
    std::set<GroupId> taken;
    for (const PlannedGroup &group : state_.groups_)
        taken.insert(group.group_);
    for (const PendingSlot &slot : state_.pending_)
        taken.insert(slot.group_);
    std::vector<GroupId> slots;
    for (std::uint32_t number = 0; slots.size() < service.replicas_ - active; ++number) {
        const GroupId slot = groups::slotId(service.service_, state_.zone_, number);
        if (!taken.contains(slot))
            slots.push_back(slot);
    }
    std::sort(slots.begin(), slots.end(), [&](const GroupId &one, const GroupId &other) {
        return slotRank(one, state_.domain_) > slotRank(other, state_.domain_);
    });
    for (const GroupId &slot : slots)
        found.push_back({&service, nullptr, slot, 0});
}

void PlanningRun::satisfy(const VmDemand &demand)
{
    if (decided_.contains(demand.slot_))
        return;
    if (demand.broken_ == nullptr)
        formSlot(demand);
    else if (lostMembers(*demand.broken_).empty())
        reform(*demand.broken_);
    else
        repair(demand);
}

void PlanningRun::formSlot(const VmDemand &demand)
{
    const std::size_t wanted = demand.service_->vmsPerReplica_;
    if (spares_.size() < wanted) {
        if (shouldPreempt(demand, wanted))
            preemptGroups(demand, wanted);
        return;
    }
    PlanDecision decision;
    decision.action_ = PlanAction::Form;
    decision.group_ = demand.slot_;
    decision.service_ = demand.service_->service_;
    decision.inputs_.push_back({"spares", std::to_string(spares_.size())});
    decision.members_ = takeSpares(wanted);
    decision.reason_ = "capacity-declared";
    ++serviceCounts_[decision.service_].active_;
    add(std::move(decision));
}

/// Forms the slot again with the same members after one of them restarted.
void PlanningRun::reform(const PlannedGroup &group)
{
    if (!group.needsReset_)
        return;
    PlanDecision decision;
    decision.action_ = PlanAction::Replace;
    decision.group_ = group.group_;
    decision.service_ = group.service_;
    decision.members_ = group.members_;
    decision.reason_ = "member-restarted";
    add(std::move(decision));
}

void PlanningRun::endRetiringGroups()
{
    for (const PlannedGroup &group : state_.groups_) {
        if (!isOwn(group) || group.isBusy_ || isEnding(group) || !isRetiring(group))
            continue;
        const PlannedService *service = state_.service(group.service_);
        const ServiceCounts &counts = serviceCounts_[group.service_];
        const bool hasReplacement = service == nullptr || counts.serving_ >= service->replicas_;
        const bool isReplacementPending = counts.active_ > counts.serving_;
        const std::uint32_t wanted = service == nullptr ? 0 : service->vmsPerReplica_;
        const bool canFormReplacement = spares_.size() + incomingSpares_ >= wanted
                                        || hasSparesElsewhere(wanted) || isReplacementPending;
        const bool isDown = group.phase_ != GroupPhase::Serving;
        if (isDown || hasReplacement)
            endGroup(group, isDown ? "not-worth-repair" : "replaced");
        else if (canFormReplacement)
            continue;
        else if (hasLeavingMember(group))
            endGroup(group, "member-leaving");
        else if (counts.draining_ == 0)
            endGroup(group, "outdated");
        serviceCounts_[group.service_].draining_ += decided_.contains(group.group_) ? 1 : 0;
    }
}

void PlanningRun::endSurplusGroups()
{
    for (const auto &[name, counts] : serviceCounts_) {
        const PlannedService *service = state_.service(name);
        const std::uint32_t declared = service == nullptr ? 0 : service->replicas_;
        if (counts.active_ <= declared)
            continue;
        std::vector<const PlannedGroup *> active;
        for (const PlannedGroup &group : state_.groups_) {
            if (group.service_ == name && !isEnding(group) && !isRetiring(group))
                active.push_back(&group);
        }
        std::stable_sort(active.begin(), active.end(),
                         [](const PlannedGroup *one, const PlannedGroup *other) {
                             return groups::slotNumber(one->group_).value_or(0)
                                    > groups::slotNumber(other->group_).value_or(0);
                         });
        active.resize(std::min<std::size_t>(active.size(), counts.active_ - declared));
        for (const PlannedGroup *group : active) {
            if (isOwn(*group) && !group->isBusy_ && !decided_.contains(group->group_))
                endGroup(*group, "surplus");
        }
    }
}

/// Moves slots from other domains of the zone to this one if all their members are lost.
void PlanningRun::moveLostGroups()
{
    for (const PlannedGroup &group : state_.groups_) {
        const PlannedService *service = state_.service(group.service_);
        const auto lost = lostMembers(group);
        const bool isLost = !isOwn(group) && !isEnding(group) && !isRetiring(group)
                            && lost.size() == group.members_.size();
        if (!isLost || service == nullptr || spares_.size() < service->vmsPerReplica_)
            continue;
        const Duration lostFor = (*std::min_element(lost.begin(), lost.end(), [](auto a, auto b) {
                                     return a->lostFor_ < b->lostFor_;
                                 }))->lostFor_;
        if (lostFor < state_.policy_.replaceGrace_)
            continue;
        RepairCase repair;
        repair.missing_ = service->vmsPerReplica_;
        repair.loadTime_ = service->loadTime_;
        repair.returnEstimate_ = ReturnModel(state_.policy_).commonCause(lostFor);
        repair.canReplace_ = true;
        const auto estimates = estimateRepairs(repair, state_.policy_);
        if (policy_.choose(estimates) != RepairStrategy::Replace)
            continue;
        PlanDecision decision;
        decision.action_ = PlanAction::Move;
        decision.group_ = group.group_;
        decision.service_ = group.service_;
        decision.members_ = takeSpares(service->vmsPerReplica_);
        decision.reason_ = "domain-lost";
        for (const RepairEstimate &estimate : estimates)
            decision.alternatives_.push_back(
                {std::string(nameOf(estimate.strategy_)), estimate.cost_});
        add(std::move(decision));
    }
}

/// Drains a serving group; any other has no requests in flight and is dissolved at once.
void PlanningRun::endGroup(const PlannedGroup &group, std::string reason)
{
    if (decided_.contains(group.group_))
        return;
    PlanDecision decision;
    decision.action_
        = group.phase_ == GroupPhase::Serving ? PlanAction::Drain : PlanAction::Dissolve;
    decision.group_ = group.group_;
    decision.service_ = group.service_;
    decision.reason_ = std::move(reason);
    add(std::move(decision));
}

void PlanningRun::add(PlanDecision decision)
{
    decided_.insert(decision.group_);
    decisions_.push_back(std::move(decision));
}

std::vector<VmId> PlanningRun::takeSpares(std::size_t count)
{
    std::vector<VmId> taken;
    while (taken.size() < count) {
        taken.push_back(spares_.back());
        spares_.pop_back();
    }
    return taken;
}

} // namespace cardamombay::planning::impl
