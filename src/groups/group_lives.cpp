#include "group_lives.hpp"

#include <algorithm>
#include <utility>

namespace cardamombay::groups::impl {

GroupLives::GroupLives(Clock &clock, DecisionSink &decisions, const ManagerSettings &settings,
                       const FabricDomain &domain, GroupProgramPtr program, OrderDesk &desk,
                       MemberOrders &members, RowWriter &writer)
    : clock_(clock)
    , decisions_(decisions)
    , settings_(settings)
    , domain_(domain)
    , program_(std::move(program))
    , desk_(desk)
    , members_(members)
    , writer_(writer)
{
}

void GroupLives::clear()
{
    lives_.clear();
    missing_.clear();
}

GroupStateMachine *GroupLives::find(const GroupId &group)
{
    const auto found = lives_.find(group);
    return found == lives_.end() ? nullptr : &found->second;
}

void GroupLives::follow(const GroupCache &board)
{
    for (const auto &[group, row] : board.groups()) {
        const bool isOwn = row.content_.domain_ == domain_;
        if (isOwn && !row.content_.isFreeSlot())
            followRow(row.content_);
        else
            lives_.erase(group);
    }
}

void GroupLives::followRow(const GroupRow &row)
{
    const TimePoint now = clock_.now();
    auto life = lives_.find(row.group_);
    if (life != lives_.end() && life->second.row().generation_ != row.generation_)
        life = lives_.erase(life);
    if (life == lives_.end() || life->first != row.group_)
        life = lives_.emplace(row.group_, GroupStateMachine(row, program_, decisions_, now)).first;
    life->second.setRow(row);
    const GroupPhase phase = life->second.phase();
    const bool isEnding = phase == GroupPhase::Draining || phase == GroupPhase::Dissolving;
    if (row.phase_ == GroupPhase::Draining && !isEnding)
        life->second.handle("drain-committed", now);
}

void GroupLives::advance(const DomainView &view, std::uint32_t concurrentLoads)
{
    for (auto &[group, life] : lives_)
        advanceOne(life, view, concurrentLoads);
}

void GroupLives::advanceOne(GroupStateMachine &life, const DomainView &view,
                            std::uint32_t concurrentLoads)
{
    noteMembers(life, view);
    switch (life.phase()) {
    case GroupPhase::Forming:
        if (loadingGroups() < std::max(concurrentLoads, 1U))
            life.handle("load-permitted", clock_.now());
        return;
    case GroupPhase::Verifying:
        confirm(life, view);
        return;
    case GroupPhase::Degraded:
        stopSurvivors(life);
        return;
    case GroupPhase::Draining:
        finishDraining(life, view);
        return;
    case GroupPhase::Dissolving:
        if (!writer_.isBusy(life.row().group_) && !writer_.isPausing())
            writer_.dissolve(life.row(), "drained");
        return;
    case GroupPhase::Loading:
    case GroupPhase::Serving:
    case GroupPhase::Dissolved:
        return;
    }
}

/// Raises the events that follow from what the members report.
void GroupLives::noteMembers(GroupStateMachine &life, const DomainView &view)
{
    const GroupRow &row = life.row();
    const std::size_t ready = view.count(row, MemberStanding::Ready);
    std::vector<VmId> &missing = missing_[row.group_];
    missing.clear();
    for (const VmId &member : row.members_) {
        if (view.standing(row, member) != MemberStanding::Ready)
            missing.push_back(member);
    }
    const bool isStarted
        = life.phase() == GroupPhase::Verifying || life.phase() == GroupPhase::Serving;
    const bool isContradicted
        = isStarted ? ready < row.members_.size() : view.count(row, MemberStanding::Void) > 0;
    if (view.count(row, MemberStanding::Lost) > 0) {
        life.setCause("member-lost");
        life.handle("member-lost", clock_.now());
    } else if (isContradicted) {
        life.setCause("member-mismatched");
        life.handle("member-mismatched", clock_.now());
    } else if (ready == row.members_.size()) {
        life.handle("members-ready", clock_.now());
    }
}

/// Asks every member once more before the group counts as serving.
void GroupLives::confirm(GroupStateMachine &life, const DomainView &view)
{
    bool isConfirmed = true;
    for (const VmId &member : life.row().members_) {
        const OwnAnswer *answer = desk_.answer(member);
        const bool isRecent = answer != nullptr && answer->askedAt_ >= life.askedSince();
        const bool isMatch = isRecent && life.row().isMatchedBy(answer->state_);
        isConfirmed &= isMatch;
        if (const ZoneVm *vm = view.vm(member); !isRecent && vm != nullptr)
            members_.ask(*vm, life.row().group_);
    }
    if (isConfirmed)
        life.handle("verified", clock_.now());
}

void GroupLives::stopSurvivors(GroupStateMachine &life)
{
    if (clock_.now() >= life.phaseSince() + settings_.stopSurvivorsAfter_)
        life.handle("stop-due", clock_.now());
}

void GroupLives::finishDraining(GroupStateMachine &life, const DomainView &view)
{
    if (clock_.now() < life.phaseSince() + settings_.vetoSpread_)
        return;
    const GroupRow &row = life.row();
    const bool isDrained
        = std::all_of(row.members_.begin(), row.members_.end(),
                      [&](const VmId &member) { return hasDrained(life, view, member); });
    if (isDrained)
        life.handle("drained", clock_.now());
}

/// True if a report of the load made after no more work could arrive shows none. A group with a
/// lost member has nothing in flight.
bool GroupLives::hasDrained(const GroupStateMachine &life, const DomainView &view,
                            const VmId &member) const
{
    if (view.count(life.row(), MemberStanding::Lost) > 0)
        return true;
    const VmObservation &observation = view.vm(member)->observation_;
    const endpoint::LoadReport &load = observation.state_->load_;
    const TimePoint takenAt = observation.heardAt_ - load.lag_;
    const bool isRecent = takenAt >= life.phaseSince() + settings_.vetoSpread_;
    return isRecent && load.running_ == 0 && load.queued_ == 0;
}

std::size_t GroupLives::loadingGroups() const
{
    return static_cast<std::size_t>(
        std::count_if(lives_.begin(), lives_.end(), [](const auto &entry) {
            return entry.second.phase() == GroupPhase::Loading;
        }));
}

std::vector<GroupStatus> GroupLives::statuses() const
{
    std::vector<GroupStatus> statuses;
    for (const auto &[group, life] : lives_) {
        const auto missing = missing_.find(group);
        statuses.push_back({life.row(), life.phase(), life.phaseSince(),
                            missing == missing_.end() ? std::vector<VmId>{} : missing->second});
    }
    return statuses;
}

} // namespace cardamombay::groups::impl
