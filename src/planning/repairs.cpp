// Repair of groups that have lost members, and preemption of other groups to get VMs for it.
#include "planning_run.hpp"

#include <cardamombay/core/hash.hpp>

#include <algorithm>
#include <utility>

namespace cardamombay::planning::impl {

using groups::GroupPhase;

namespace {

std::vector<Duration> lostDurations(const std::vector<const PlannedVm *> &lost)
{
    std::vector<Duration> times;
    times.reserve(lost.size());
    for (const PlannedVm *vm : lost)
        times.push_back(vm->lostFor_);
    return times;
}

Duration shortestLoss(const std::vector<const PlannedVm *> &lost)
{
    const auto times = lostDurations(lost);
    return times.empty() ? Duration::zero() : *std::min_element(times.begin(), times.end());
}

} // namespace

void PlanningRun::repair(const VmDemand &demand)
{
    const auto lost = lostMembers(*demand.broken_);
    if (shortestLoss(lost) < state_.policy_.replaceGrace_)
        return;
    PlanDecision decision;
    decision.group_ = demand.slot_;
    decision.service_ = demand.service_->service_;
    decision.reason_ = "member-lost";
    decision.inputs_.push_back({"missing", std::to_string(lost.size())});
    decision.inputs_.push_back({"spares", std::to_string(spares_.size())});
    decision.inputs_.push_back({"lost-for-ms", std::to_string(toMilliseconds(shortestLoss(lost)))});
    const auto estimates = estimateRepairs(repairCase(demand), state_.policy_);
    for (const RepairEstimate &estimate : estimates)
        decision.alternatives_.push_back({std::string(nameOf(estimate.strategy_)), estimate.cost_});
    addRepair(policy_.choose(estimates), demand, std::move(decision));
}

RepairCase PlanningRun::repairCase(const VmDemand &demand) const
{
    const PlannedGroup &group = *demand.broken_;
    const ReturnModel model(state_.policy_);
    const auto lost = lostMembers(group);
    RepairCase repair;
    repair.missing_ = static_cast<std::uint32_t>(lost.size());
    repair.survivors_ = static_cast<std::uint32_t>(group.members_.size() - lost.size());
    repair.loadTime_ = demand.service_->loadTime_;
    repair.returnEstimate_ = repair.survivors_ == 0 ? model.commonCause(shortestLoss(lost))
                                                    : model.independent(lostDurations(lost));
    repair.canReplace_ = spares_.size() >= lost.size();
    if (repair.canReplace_)
        return repair;
    repair.canVacate_
        = repair.survivors_ > 0 && hasSparesElsewhere(demand.service_->vmsPerReplica_);
    const PlannedGroup *partner = mergePartner(demand, lost.size());
    if (partner == nullptr || spares_.size() + incomingSpares_ >= lost.size())
        return repair;
    const auto otherLost = lostMembers(*partner);
    repair.canMerge_ = true;
    repair.otherMissing_ = static_cast<std::uint32_t>(otherLost.size());
    repair.otherSurvivors_
        = static_cast<std::uint32_t>(partner->members_.size() - otherLost.size());
    repair.otherReturnEstimate_ = model.independent(lostDurations(otherLost));
    return repair;
}

/// The broken group of the domain, of the same or lower priority, with the fewest survivors that
/// are enough to replace the missing members; null if there is none.
const PlannedGroup *PlanningRun::mergePartner(const VmDemand &demand, std::size_t missing) const
{
    const PlannedGroup *best = nullptr;
    std::size_t bestSurvivors = 0;
    for (const PlannedGroup &group : state_.groups_) {
        const PlannedService *service = state_.service(group.service_);
        const auto lost = lostMembers(group);
        const std::size_t survivors = group.members_.size() - lost.size();
        const bool isCandidate = isOwn(group) && group.phase_ == GroupPhase::Degraded
                                 && !group.isBusy_ && &group != demand.broken_ && !lost.empty()
                                 && service != nullptr
                                 && service->priority_ <= demand.service_->priority_
                                 && !decided_.contains(group.group_)
                                 && shortestLoss(lost) >= state_.policy_.replaceGrace_;
        if (!isCandidate || survivors < missing)
            continue;
        if (best == nullptr || survivors < bestSurvivors) {
            best = &group;
            bestSurvivors = survivors;
        }
    }
    return best;
}

void PlanningRun::addRepair(RepairStrategy strategy, const VmDemand &demand, PlanDecision decision)
{
    const std::size_t missing = lostMembers(*demand.broken_).size();
    switch (strategy) {
    case RepairStrategy::Wait:
        decision.action_ = PlanAction::Wait;
        add(std::move(decision));
        if (shouldPreempt(demand, missing))
            preemptGroups(demand, missing);
        return;
    case RepairStrategy::Replace:
        decision.action_ = PlanAction::Replace;
        decision.members_ = membersWithSpares(*demand.broken_);
        add(std::move(decision));
        return;
    case RepairStrategy::Vacate:
        decision.action_ = PlanAction::Dissolve;
        decision.reason_ = "vacated";
        add(std::move(decision));
        return;
    case RepairStrategy::Merge: {
        const PlannedGroup *partner = mergePartner(demand, missing);
        decision.action_ = PlanAction::Wait;
        decision.reason_ = "merging";
        decision.inputs_.push_back({"partner", partner->group_.text()});
        add(std::move(decision));
        endGroup(*partner, "merged");
        incomingSpares_ += partner->members_.size() - lostMembers(*partner).size();
        return;
    }
    }
}

/// Members by rank, with lost members replaced by spares.
std::vector<VmId> PlanningRun::membersWithSpares(const PlannedGroup &group)
{
    std::vector<VmId> members;
    for (const VmId &member : group.members_) {
        const PlannedVm *vm = state_.vm(member);
        const bool isHealthy = vm != nullptr && vm->isHealthy_;
        members.push_back(isHealthy ? member : takeSpares(1).front());
    }
    return members;
}

/// True if groups of lower priority should be preempted for \p demand. For a free slot only one
/// domain does so: of those with such groups, the one with the highest rendezvous weight.
bool PlanningRun::shouldPreempt(const VmDemand &demand, std::size_t missing) const
{
    if (spares_.size() + incomingSpares_ >= missing
        || hasSparesElsewhere(demand.service_->vmsPerReplica_))
        return false;
    std::size_t available = spares_.size() + incomingSpares_;
    std::set<FabricDomain> victims;
    for (const PlannedGroup &group : state_.groups_) {
        const PlannedService *service = state_.service(group.service_);
        const bool isVictim = service != nullptr && service->priority_ < demand.service_->priority_;
        if (!isVictim)
            continue;
        victims.insert(group.domain_);
        if (isOwn(group) && !group.isBusy_)
            available += group.members_.size() - lostMembers(group).size();
    }
    if (available < missing)
        return false;
    if (demand.broken_ != nullptr)
        return true;
    const auto first = std::max_element(
        victims.begin(), victims.end(), [&](const FabricDomain &one, const FabricDomain &other) {
            return rendezvousWeight(demand.slot_.text(), one.text())
                   < rendezvousWeight(demand.slot_.text(), other.text());
        });
    return first != victims.end() && *first == state_.domain_;
}

void PlanningRun::preemptGroups(const VmDemand &demand, std::size_t missing)
{
    std::vector<const PlannedGroup *> victims;
    for (const PlannedGroup &group : state_.groups_) {
        const PlannedService *service = state_.service(group.service_);
        const bool isVictim = isOwn(group) && !group.isBusy_ && service != nullptr
                              && service->priority_ < demand.service_->priority_
                              && group.phase_ != GroupPhase::Draining
                              && group.phase_ != GroupPhase::Dissolving
                              && !decided_.contains(group.group_);
        if (isVictim)
            victims.push_back(&group);
    }
    std::stable_sort(victims.begin(), victims.end(),
                     [&](const PlannedGroup *one, const PlannedGroup *other) {
                         return state_.service(one->service_)->priority_
                                < state_.service(other->service_)->priority_;
                     });
    for (const PlannedGroup *victim : victims) {
        if (spares_.size() + incomingSpares_ >= missing)
            return;
        endGroup(*victim, "scarce-vms");
        incomingSpares_ += victim->members_.size() - lostMembers(*victim).size();
    }
}

} // namespace cardamombay::planning::impl
