#include <cardamombay/groups/group_manager.hpp>

#include "domain_view.hpp"
#include "member_orders.hpp"
#include "order_desk.hpp"
#include "plan_survey.hpp"
#include "row_writer.hpp"

#include <cardamombay/groups/events.hpp>
#include <cardamombay/planning/return_history.hpp>

#include <algorithm>
#include <utility>

namespace cardamombay::groups {

using impl::DomainView;
using impl::MemberStanding;
using impl::ZoneVm;
using planning::PlanAction;
using planning::PlanDecision;

/// Everything of a manager; one tenure's knowledge is dropped with the tenure.
class GroupManager::Impl
{
public:
    Impl(Clock &clock, platform::TableStore &store, endpoint::EndpointOrders &orders,
         leases::LeaseKeeper &lease, DecisionSink &decisions, ManagerSettings settings,
         const EntryId &self, Incarnation incarnation, GroupProgramPtr program,
         planning::Planner planner)
        : clock_(clock)
        , lease_(lease)
        , decisions_(decisions)
        , settings_(settings)
        , program_(std::move(program))
        , planner_(std::move(planner))
        , desk_(clock, orders, lease, decisions, settings_)
        , writer_(clock, store, lease, decisions, settings_, self, incarnation)
        , members_(desk_, writer_, lease.domain())
        , returns_(lease.domain())
    {
    }

    void tick(const PlanInput &input);
    [[nodiscard]] std::vector<GroupStatus> groups() const;

private:
    /// \name Tenure
    /// \{
    [[nodiscard]] bool hasTenure(const PlanInput &input);
    void beginTenure();
    void dropTenure();
    /// \}

    /// \name Groups
    /// \{
    void followRows(const PlanInput &input);
    void follow(const GroupRow &row);
    void advance(GroupLife &life, const DomainView &view);
    void noteMembers(GroupLife &life, const DomainView &view);
    void confirm(GroupLife &life, const DomainView &view);
    void stopSurvivors(GroupLife &life);
    void finishDraining(GroupLife &life, const DomainView &view);
    [[nodiscard]] bool hasDrained(const GroupLife &life, const DomainView &view,
                                  const VmId &member) const;
    [[nodiscard]] std::size_t loadingGroups() const;
    /// \}

    /// \name Rows
    /// \{
    void freeOldRows(const PlanInput &input);
    void plan(const PlanInput &input, const DomainView &view);
    void carryOut(const PlanDecision &decision, const PlanInput &input);
    void form(const PlanDecision &decision, const PlanInput &input);
    void note(const PlanDecision &decision);
    /// \}

    Clock &clock_;
    leases::LeaseKeeper &lease_;
    DecisionSink &decisions_;
    ManagerSettings settings_;
    GroupProgramPtr program_;
    planning::Planner planner_;
    impl::OrderDesk desk_;
    impl::RowWriter writer_;
    impl::MemberOrders members_;
    planning::ReturnHistory returns_;
    config::ConfigurationPtr configuration_;
    std::map<GroupId, GroupLife> lives_;
    std::map<GroupId, std::vector<VmId>> missing_;
    std::map<GroupId, std::string> noted_;
    Epoch tenure_;
    TimePoint tenureSince_{};
};

void GroupManager::Impl::tick(const PlanInput &input)
{
    const bool knowsVms = !input.vms_.empty();
    if (!hasTenure(input) || !knowsVms)
        return;
    configuration_ = input.configuration_;
    members_.setConfiguration(input.configuration_);
    writer_.setBoard(input.board_);
    followRows(input);
    const DomainView view(input, desk_, clock_.now(), settings_);
    for (auto &[group, life] : lives_)
        advance(life, view);
    for (const auto &[group, life] : lives_)
        members_.bring(life, view);
    members_.releaseStrays(*input.board_, view);
    if (writer_.isPausing())
        return;
    freeOldRows(input);
    if (clock_.now() >= tenureSince_ + settings_.warmUp_)
        plan(input, view);
}

/// True if the lease is held and the board has every commit of the planners before.
bool GroupManager::Impl::hasTenure(const PlanInput &input)
{
    if (!lease_.isHeld()) {
        dropTenure();
        return false;
    }
    if (tenure_ != lease_.epoch())
        beginTenure();
    if (input.configuration_ && input.board_->completeTo() >= lease_.epochVersion())
        return true;
    input.board_->refresh();
    return false;
}

void GroupManager::Impl::beginTenure()
{
    dropTenure();
    tenure_ = lease_.epoch();
    tenureSince_ = clock_.now();
    decisions_.record({clock_.now(),
                       events::tenureBegun,
                       lease_.domain().text(),
                       "plan",
                       {{"epoch", std::to_string(tenure_.value())}},
                       {}});
}

void GroupManager::Impl::dropTenure()
{
    tenure_ = Epoch{};
    lives_.clear();
    missing_.clear();
    noted_.clear();
    desk_.clear();
    writer_.clear();
    returns_.clear();
}

void GroupManager::Impl::followRows(const PlanInput &input)
{
    for (const auto &[group, row] : input.board_->groups()) {
        const bool isOwn = row.content_.domain_ == lease_.domain();
        if (isOwn && !row.content_.isFreeSlot())
            follow(row.content_);
        else
            lives_.erase(group);
    }
}

void GroupManager::Impl::follow(const GroupRow &row)
{
    const TimePoint now = clock_.now();
    auto life = lives_.find(row.group_);
    if (life != lives_.end() && life->second.row().generation_ != row.generation_)
        life = lives_.erase(life);
    if (life == lives_.end() || life->first != row.group_)
        life = lives_.emplace(row.group_, GroupLife(row, program_, decisions_, now)).first;
    life->second.setRow(row);
    const GroupPhase phase = life->second.phase();
    const bool isEnding = phase == GroupPhase::Draining || phase == GroupPhase::Dissolving;
    if (row.phase_ == GroupPhase::Draining && !isEnding)
        life->second.handle("drain-committed", now);
}

void GroupManager::Impl::advance(GroupLife &life, const DomainView &view)
{
    noteMembers(life, view);
    switch (life.phase()) {
    case GroupPhase::Forming:
        if (loadingGroups() < std::max(configuration_->planner_.concurrentLoads_, 1U))
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
void GroupManager::Impl::noteMembers(GroupLife &life, const DomainView &view)
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
void GroupManager::Impl::confirm(GroupLife &life, const DomainView &view)
{
    bool isConfirmed = true;
    for (const VmId &member : life.row().members_) {
        const impl::OwnAnswer *answer = desk_.answer(member);
        const bool isRecent = answer != nullptr && answer->askedAt_ >= life.askedSince();
        const bool isMatch = isRecent && life.row().isMatchedBy(answer->state_);
        isConfirmed &= isMatch;
        if (const ZoneVm *vm = view.vm(member); !isRecent && vm != nullptr)
            members_.ask(*vm, life.row().group_);
    }
    if (isConfirmed)
        life.handle("verified", clock_.now());
}

void GroupManager::Impl::stopSurvivors(GroupLife &life)
{
    if (clock_.now() >= life.phaseSince() + settings_.stopSurvivorsAfter_)
        life.handle("stop-due", clock_.now());
}

void GroupManager::Impl::finishDraining(GroupLife &life, const DomainView &view)
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
bool GroupManager::Impl::hasDrained(const GroupLife &life, const DomainView &view,
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

std::size_t GroupManager::Impl::loadingGroups() const
{
    return static_cast<std::size_t>(
        std::count_if(lives_.begin(), lives_.end(), [](const auto &entry) {
            return entry.second.phase() == GroupPhase::Loading;
        }));
}

/// Frees VM rows of the domain whose formation is over, such as after the slot moved away.
void GroupManager::Impl::freeOldRows(const PlanInput &input)
{
    constexpr std::size_t mostAtOnce = 64;
    std::vector<VmId> over;
    for (const auto &[id, row] : input.board_->vms()) {
        const bool isOwn = row.content_.domain_ == lease_.domain();
        if (!isOwn || row.content_.isFree() || writer_.isReserved(id))
            continue;
        const auto *group = input.board_->group(row.content_.group_);
        if (group == nullptr || group->content_.generation_ < row.content_.generation_)
            continue; // Its group row is not known yet.
        const bool isCurrent = group->content_.generation_ == row.content_.generation_
                               && !group->content_.isFreeSlot();
        if (!isCurrent && over.size() < mostAtOnce)
            over.push_back(id);
    }
    if (!over.empty())
        writer_.freeVms(over);
}

void GroupManager::Impl::plan(const PlanInput &input, const DomainView &view)
{
    planning::PlanState state = impl::surveyOf(
        {input, view, writer_, lives_, lease_.domain(), clock_.now(), tenureSince_});
    returns_.observe(state, clock_.now());
    state.policy_ = returns_.corrected(state.policy_);
    for (const PlanDecision &decision : planner_.plan(state)) {
        note(decision);
        carryOut(decision, input);
    }
}

void GroupManager::Impl::carryOut(const PlanDecision &decision, const PlanInput &input)
{
    if (!lease_.isHeldFor(settings_.orderMargin_) || writer_.isBusy(decision.group_))
        return;
    const auto life = lives_.find(decision.group_);
    switch (decision.action_) {
    case PlanAction::Wait:
        return;
    case PlanAction::Form:
    case PlanAction::Replace:
    case PlanAction::Move:
        form(decision, input);
        return;
    case PlanAction::Drain:
        if (life != lives_.end())
            writer_.drain(life->second.row(), decision.reason_);
        return;
    case PlanAction::Dissolve:
        if (life == lives_.end())
            return;
        life->second.handle("dissolve-requested", clock_.now());
        writer_.dissolve(life->second.row(), decision.reason_);
        return;
    }
}

void GroupManager::Impl::form(const PlanDecision &decision, const PlanInput &input)
{
    const config::Service *service = input.configuration_->service(decision.service_);
    if (service == nullptr)
        return;
    GroupRow row;
    row.group_ = decision.group_;
    row.service_ = decision.service_;
    row.zone_ = input.zone_;
    row.domain_ = lease_.domain();
    row.members_ = decision.members_;
    row.model_ = service->model_;
    row.vmsPerReplica_ = service->vmsPerReplica_;
    row.reason_ = decision.reason_;
    writer_.form(std::move(row));
}

/// Records a decision when it differs from the last one about the group.
void GroupManager::Impl::note(const PlanDecision &decision)
{
    std::string choice = std::string(nameOf(decision.action_)) + " " + decision.reason_;
    std::string &last = noted_[decision.group_];
    if (last == choice && decision.action_ == PlanAction::Wait)
        return;
    last = choice;
    std::vector<Detail> inputs = decision.inputs_;
    inputs.push_back({"reason", decision.reason_});
    decisions_.record({clock_.now(), events::planDecided, decision.group_.text(),
                       std::string(nameOf(decision.action_)), std::move(inputs),
                       decision.alternatives_});
}

std::vector<GroupStatus> GroupManager::Impl::groups() const
{
    std::vector<GroupStatus> statuses;
    for (const auto &[group, life] : lives_) {
        const auto missing = missing_.find(group);
        statuses.push_back({life.row(), life.phase(), life.phaseSince(),
                            missing == missing_.end() ? std::vector<VmId>{} : missing->second});
    }
    return statuses;
}

GroupManager::GroupManager(Clock &clock, platform::TableStore &store,
                           endpoint::EndpointOrders &orders, leases::LeaseKeeper &lease,
                           DecisionSink &decisions, ManagerSettings settings, const EntryId &self,
                           Incarnation incarnation, GroupProgramPtr program,
                           planning::Planner planner)
    : impl_(std::make_unique<Impl>(clock, store, orders, lease, decisions, settings, self,
                                   incarnation, std::move(program), std::move(planner)))
{
}

GroupManager::~GroupManager() = default;

void GroupManager::tick(const PlanInput &input)
{
    impl_->tick(input);
}

std::vector<GroupStatus> GroupManager::groups() const
{
    return impl_->groups();
}

} // namespace cardamombay::groups
