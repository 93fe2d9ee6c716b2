#include "group_tracker.hpp"

#include <algorithm>
#include <utility>

namespace cardamombay::groups::impl {

GroupTracker::GroupTracker(Clock &clock, DecisionSink &decisions, const ManagerSettings &settings,
                           const FabricDomain &domain, GroupProgramPtr program, OrderSender &sender,
                           MemberOrders &members, RowWriter &writer)
    : clock_(clock)
    , decisions_(decisions)
    , settings_(settings)
    , domain_(domain)
    , program_(std::move(program))
    , sender_(sender)
    , members_(members)
    , writer_(writer)
{
}

void GroupTracker::clear()
{
    machines_.clear();
    missing_.clear();
}

GroupStateMachine *GroupTracker::find(const GroupId &group)
{
    const auto found = machines_.find(group);
    return found == machines_.end() ? nullptr : &found->second;
}

void GroupTracker::sync(const GroupCache &groupCache)
{
    for (const auto &[group, row] : groupCache.groups()) {
        const bool isOwn = row.content_.domain_ == domain_;
        if (isOwn && !row.content_.isFreeSlot())
            trackRow(row.content_);
        else
            machines_.erase(group);
    }
}

void GroupTracker::trackRow(const GroupRow &row)
{
    const TimePoint now = clock_.now();
    auto machine = machines_.find(row.group_);
    if (machine != machines_.end() && machine->second.row().generation_ != row.generation_)
        machine = machines_.erase(machine);
    if (machine == machines_.end() || machine->first != row.group_)
        machine = machines_.emplace(row.group_, GroupStateMachine(row, program_, decisions_, now))
                      .first;
    machine->second.setRow(row);
    const GroupPhase phase = machine->second.phase();
    const bool isEnding = phase == GroupPhase::Draining || phase == GroupPhase::Dissolving;
    if (row.phase_ == GroupPhase::Draining && !isEnding)
        machine->second.handle("drain-committed", now);
}

void GroupTracker::advance(const ZoneSnapshot &snapshot, std::uint32_t concurrentLoads)
{
    for (auto &[group, machine] : machines_)
        advanceOne(machine, snapshot, concurrentLoads);
}

void GroupTracker::advanceOne(GroupStateMachine &machine, const ZoneSnapshot &snapshot,
                              std::uint32_t concurrentLoads)
{
    raiseMemberEvents(machine, snapshot);
    switch (machine.phase()) {
    case GroupPhase::Forming:
        if (loadingGroups() < std::max(concurrentLoads, 1U))
            machine.handle("load-permitted", clock_.now());
        return;
    case GroupPhase::Verifying:
        verifyMembers(machine, snapshot);
        return;
    case GroupPhase::Degraded:
        stopSurvivors(machine);
        return;
    case GroupPhase::Draining:
        finishDraining(machine, snapshot);
        return;
    case GroupPhase::Dissolving:
        if (!writer_.isBusy(machine.row().group_) && !writer_.isBackingOff())
            writer_.dissolve(machine.row(), "drained");
        return;
    case GroupPhase::Loading:
    case GroupPhase::Serving:
    case GroupPhase::Dissolved:
        return;
    }
}

/// Raises the events that follow from what the members report.
void GroupTracker::raiseMemberEvents(GroupStateMachine &machine, const ZoneSnapshot &snapshot)
{
    const GroupRow &row = machine.row();
    const std::size_t ready = snapshot.count(row, MemberStatus::Ready);
    std::vector<VmId> &missing = missing_[row.group_];
    missing.clear();
    for (const VmId &member : row.members_) {
        if (snapshot.memberStatus(row, member) != MemberStatus::Ready)
            missing.push_back(member);
    }
    const bool isStarted
        = machine.phase() == GroupPhase::Verifying || machine.phase() == GroupPhase::Serving;
    const bool isMismatched = isStarted ? ready < row.members_.size()
                                        : snapshot.count(row, MemberStatus::Mismatched) > 0;
    if (snapshot.count(row, MemberStatus::Lost) > 0) {
        machine.setCause("member-lost");
        machine.handle("member-lost", clock_.now());
    } else if (isMismatched) {
        machine.setCause("member-mismatched");
        machine.handle("member-mismatched", clock_.now());
    } else if (ready == row.members_.size()) {
        machine.handle("members-ready", clock_.now());
    }
}

/// Probes every member once more before the group counts as serving.
void GroupTracker::verifyMembers(GroupStateMachine &machine, const ZoneSnapshot &snapshot)
{
    bool isConfirmed = true;
    for (const VmId &member : machine.row().members_) {
        const DirectReply *reply = sender_.latestReply(member);
        const bool isRecent = reply != nullptr && reply->askedAt_ >= machine.verifyingSince();
        const bool isMatch = isRecent && machine.row().isMatchedBy(reply->state_);
        isConfirmed &= isMatch;
        if (const ZoneVm *vm = snapshot.vm(member); !isRecent && vm != nullptr)
            members_.probe(*vm, machine.row().group_);
    }
    if (isConfirmed)
        machine.handle("verified", clock_.now());
}

void GroupTracker::stopSurvivors(GroupStateMachine &machine)
{
    if (clock_.now() >= machine.phaseSince() + settings_.stopSurvivorsAfter_)
        machine.handle("stop-due", clock_.now());
}

void GroupTracker::finishDraining(GroupStateMachine &machine, const ZoneSnapshot &snapshot)
{
    if (clock_.now() < machine.phaseSince() + settings_.drainPropagationTime_)
        return;
    const GroupRow &row = machine.row();
    const bool isDrained
        = std::all_of(row.members_.begin(), row.members_.end(),
                      [&](const VmId &member) { return hasDrained(machine, snapshot, member); });
    if (isDrained)
        machine.handle("drained", clock_.now());
}

/// True if a load report made after the last request could have arrived shows no requests. A group
/// with a lost member has none in flight.
bool GroupTracker::hasDrained(const GroupStateMachine &machine, const ZoneSnapshot &snapshot,
                              const VmId &member) const
{
    if (snapshot.count(machine.row(), MemberStatus::Lost) > 0)
        return true;
    const VmObservation &observation = snapshot.vm(member)->observation_;
    const endpoint::LoadReport &load = observation.state_->load_;
    const TimePoint takenAt = observation.heardAt_ - load.lag_;
    const bool isRecent = takenAt >= machine.phaseSince() + settings_.drainPropagationTime_;
    return isRecent && load.running_ == 0 && load.queued_ == 0;
}

std::size_t GroupTracker::loadingGroups() const
{
    return static_cast<std::size_t>(
        std::count_if(machines_.begin(), machines_.end(), [](const auto &entry) {
            return entry.second.phase() == GroupPhase::Loading;
        }));
}

std::vector<GroupStatus> GroupTracker::statuses() const
{
    std::vector<GroupStatus> statuses;
    for (const auto &[group, machine] : machines_) {
        const auto missing = missing_.find(group);
        statuses.push_back({machine.row(), machine.phase(), machine.phaseSince(),
                            missing == missing_.end() ? std::vector<VmId>{} : missing->second});
    }
    return statuses;
}

} // namespace cardamombay::groups::impl
