// Repair of groups that lost members, and the VMs that other groups give up for it.
#include "planning_run.hpp"

#include <cardamombay/core/hash.hpp>

#include <algorithm>
#include <utility>

namespace cardamombay::planning::impl {

using groups::GroupPhase;

namespace {

std::vector<Duration> timesOf(const std::vector<const PlannedVm *> &lost)
{
    std::vector<Duration> times;
    times.reserve(lost.size());
    for (const PlannedVm *vm : lost)
        times.push_back(vm->lostFor_);
    return times;
}

Duration shortestOf(const std::vector<const PlannedVm *> &lost)
{
    const auto times = timesOf(lost);
    return times.empty() ? Duration::zero() : *std::min_element(times.begin(), times.end());
}

} // namespace

void PlanningRun::repair(const Need &need)
{
    const auto lost = lostMembers(*need.broken_);
    if (shortestOf(lost) < state_.policy_.replaceGrace_)
        return;
    PlanDecision decision;
    decision.group_ = need.slot_;
    decision.service_ = need.service_->service_;
    decision.reason_ = "member-lost";
    decision.inputs_.push_back({"missing", std::to_string(lost.size())});
    decision.inputs_.push_back({"spares", std::to_string(spares_.size())});
    decision.inputs_.push_back({"lost-for-ms", std::to_string(toMilliseconds(shortestOf(lost)))});
    const auto ways = estimateRepairs(caseOf(need), state_.policy_);
    for (const RepairEstimate &way : ways)
        decision.alternatives_.push_back({std::string(nameOf(way.way_)), way.cost_});
    carryOut(policy_.choose(ways), need, std::move(decision));
}

RepairCase PlanningRun::caseOf(const Need &need) const
{
    const PlannedGroup &group = *need.broken_;
    const ReturnModel model(state_.policy_);
    const auto lost = lostMembers(group);
    RepairCase repair;
    repair.missing_ = static_cast<std::uint32_t>(lost.size());
    repair.survivors_ = static_cast<std::uint32_t>(group.members_.size() - lost.size());
    repair.loadTime_ = need.service_->loadTime_;
    repair.outlook_ = repair.survivors_ == 0 ? model.together(shortestOf(lost))
                                             : model.independent(timesOf(lost));
    repair.canReplace_ = spares_.size() >= lost.size();
    if (repair.canReplace_)
        return repair;
    repair.canVacate_ = repair.survivors_ > 0 && hasSparesElsewhere(need.service_->vmsPerReplica_);
    const PlannedGroup *partner = mergePartner(need, lost.size());
    if (partner == nullptr || spares_.size() + coming_ >= lost.size())
        return repair;
    const auto otherLost = lostMembers(*partner);
    repair.canMerge_ = true;
    repair.otherMissing_ = static_cast<std::uint32_t>(otherLost.size());
    repair.otherSurvivors_
        = static_cast<std::uint32_t>(partner->members_.size() - otherLost.size());
    repair.otherOutlook_ = model.independent(timesOf(otherLost));
    return repair;
}

/// A broken group of the domain with no stronger claim whose survivors suffice, the one with the
/// fewest of them first.
const PlannedGroup *PlanningRun::mergePartner(const Need &need, std::size_t missing) const
{
    const PlannedGroup *best = nullptr;
    std::size_t bestSurvivors = 0;
    for (const PlannedGroup &group : state_.groups_) {
        const PlannedService *service = state_.service(group.service_);
        const auto lost = lostMembers(group);
        const std::size_t survivors = group.members_.size() - lost.size();
        const bool isCandidate
            = isOwn(group) && group.phase_ == GroupPhase::Degraded && !group.isBusy_
              && &group != need.broken_ && !lost.empty() && service != nullptr
              && service->priority_ <= need.service_->priority_ && !decided_.contains(group.group_)
              && shortestOf(lost) >= state_.policy_.replaceGrace_;
        if (!isCandidate || survivors < missing)
            continue;
        if (best == nullptr || survivors < bestSurvivors) {
            best = &group;
            bestSurvivors = survivors;
        }
    }
    return best;
}

void PlanningRun::carryOut(RepairWay way, const Need &need, PlanDecision decision)
{
    const std::size_t missing = lostMembers(*need.broken_).size();
    switch (way) {
    case RepairWay::Wait:
        decision.action_ = PlanAction::Wait;
        add(std::move(decision));
        if (isWorthDonors(need, missing))
            drainDonors(need, missing);
        return;
    case RepairWay::Replace:
        decision.action_ = PlanAction::Replace;
        decision.members_ = withSpares(*need.broken_);
        add(std::move(decision));
        return;
    case RepairWay::Vacate:
        decision.action_ = PlanAction::Dissolve;
        decision.reason_ = "vacated";
        add(std::move(decision));
        return;
    case RepairWay::Merge: {
        const PlannedGroup *partner = mergePartner(need, missing);
        decision.action_ = PlanAction::Wait;
        decision.reason_ = "merging";
        decision.inputs_.push_back({"partner", partner->group_.text()});
        add(std::move(decision));
        endGroup(*partner, "merged");
        coming_ += partner->members_.size() - lostMembers(*partner).size();
        return;
    }
    }
}

/// Members by rank, with spares in the place of the lost.
std::vector<VmId> PlanningRun::withSpares(const PlannedGroup &group)
{
    std::vector<VmId> members;
    for (const VmId &member : group.members_) {
        const PlannedVm *vm = state_.vm(member);
        const bool isThere = vm != nullptr && vm->isHealthy_;
        members.push_back(isThere ? member : takeSpares(1).front());
    }
    return members;
}

/// True if groups of lesser priority should give up VMs for \p need. One domain alone does so:
/// the first in the order of the slot among those that have such groups.
bool PlanningRun::isWorthDonors(const Need &need, std::size_t missing) const
{
    if (spares_.size() + coming_ >= missing || hasSparesElsewhere(need.service_->vmsPerReplica_))
        return false;
    std::size_t available = spares_.size() + coming_;
    std::set<FabricDomain> donors;
    for (const PlannedGroup &group : state_.groups_) {
        const PlannedService *service = state_.service(group.service_);
        const bool isDonor = service != nullptr && service->priority_ < need.service_->priority_;
        if (!isDonor)
            continue;
        donors.insert(group.domain_);
        if (isOwn(group) && !group.isBusy_)
            available += group.members_.size() - lostMembers(group).size();
    }
    if (available < missing)
        return false;
    if (need.broken_ != nullptr)
        return true;
    const auto first = std::max_element(
        donors.begin(), donors.end(), [&](const FabricDomain &one, const FabricDomain &other) {
            return rendezvousWeight(need.slot_.text(), one.text())
                   < rendezvousWeight(need.slot_.text(), other.text());
        });
    return first != donors.end() && *first == state_.domain_;
}

void PlanningRun::drainDonors(const Need &need, std::size_t missing)
{
    std::vector<const PlannedGroup *> donors;
    for (const PlannedGroup &group : state_.groups_) {
        const PlannedService *service = state_.service(group.service_);
        const bool isDonor = isOwn(group) && !group.isBusy_ && service != nullptr
                             && service->priority_ < need.service_->priority_
                             && group.phase_ != GroupPhase::Draining
                             && group.phase_ != GroupPhase::Dissolving
                             && !decided_.contains(group.group_);
        if (isDonor)
            donors.push_back(&group);
    }
    std::stable_sort(donors.begin(), donors.end(),
                     [&](const PlannedGroup *one, const PlannedGroup *other) {
                         return state_.service(one->service_)->priority_
                                < state_.service(other->service_)->priority_;
                     });
    for (const PlannedGroup *donor : donors) {
        if (spares_.size() + coming_ >= missing)
            return;
        endGroup(*donor, "scarce-vms");
        coming_ += donor->members_.size() - lostMembers(*donor).size();
    }
}

} // namespace cardamombay::planning::impl
