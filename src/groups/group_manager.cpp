#include <cardamombay/groups/group_manager.hpp>

#include "domain_view.hpp"
#include "group_lives.hpp"
#include "member_orders.hpp"
#include "order_desk.hpp"
#include "plan_survey.hpp"
#include "row_writer.hpp"

#include <cardamombay/groups/events.hpp>
#include <cardamombay/planning/return_history.hpp>

#include <map>
#include <string>
#include <utility>

namespace cardamombay::groups {

using impl::DomainView;
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
        , planner_(std::move(planner))
        , desk_(clock, orders, lease, decisions, settings_)
        , writer_(clock, store, lease, decisions, settings_, self, incarnation)
        , members_(desk_, writer_, lease.domain())
        , lives_(clock, decisions, settings_, lease.domain(), std::move(program), desk_, members_,
                 writer_)
        , returns_(lease.domain())
    {
    }

    void tick(const PlanInput &input);
    [[nodiscard]] std::vector<GroupStatus> groups() const { return lives_.statuses(); }

private:
    /// \name Tenure
    /// \{
    [[nodiscard]] bool hasTenure(const PlanInput &input);
    void beginTenure();
    void dropTenure();
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
    planning::Planner planner_;
    impl::OrderDesk desk_;
    impl::RowWriter writer_;
    impl::MemberOrders members_;
    impl::GroupLives lives_;
    planning::ReturnHistory returns_;
    std::map<GroupId, std::string> noted_;
    Epoch tenure_;
    TimePoint tenureSince_{};
};

void GroupManager::Impl::tick(const PlanInput &input)
{
    const bool knowsVms = !input.vms_.empty();
    if (!hasTenure(input) || !knowsVms)
        return;
    members_.setConfiguration(input.configuration_);
    writer_.setBoard(input.groupCache_);
    lives_.follow(*input.groupCache_);
    const DomainView view(input, desk_, clock_.now(), settings_);
    lives_.advance(view, input.configuration_->planner_.concurrentLoads_);
    for (const auto &[group, life] : lives_.all())
        members_.bring(life, view);
    members_.releaseStrays(*input.groupCache_, view);
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
    if (input.configuration_ && input.groupCache_->completeTo() >= lease_.epochVersion())
        return true;
    input.groupCache_->refresh();
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
    noted_.clear();
    desk_.clear();
    writer_.clear();
    returns_.clear();
}

/// Frees VM rows of the domain whose formation is over, such as after the slot moved away.
void GroupManager::Impl::freeOldRows(const PlanInput &input)
{
    constexpr std::size_t mostAtOnce = 64;
    std::vector<VmId> over;
    for (const auto &[id, row] : input.groupCache_->vms()) {
        const bool isOwn = row.content_.domain_ == lease_.domain();
        if (!isOwn || row.content_.isFree() || writer_.isReserved(id))
            continue;
        const auto *group = input.groupCache_->group(row.content_.group_);
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
        {input, view, writer_, lives_.all(), lease_.domain(), clock_.now(), tenureSince_});
    returns_.observe(state, clock_.now());
    state.policy_ = returns_.adjusted(state.policy_);
    for (const PlanDecision &decision : planner_.plan(state)) {
        note(decision);
        carryOut(decision, input);
    }
}

void GroupManager::Impl::carryOut(const PlanDecision &decision, const PlanInput &input)
{
    if (!lease_.isHeldFor(settings_.orderMargin_) || writer_.isBusy(decision.group_))
        return;
    GroupStateMachine *life = lives_.find(decision.group_);
    switch (decision.action_) {
    case PlanAction::Wait:
        return;
    case PlanAction::Form:
    case PlanAction::Replace:
    case PlanAction::Move:
        form(decision, input);
        return;
    case PlanAction::Drain:
        if (life != nullptr)
            writer_.drain(life->row(), decision.reason_);
        return;
    case PlanAction::Dissolve:
        if (life == nullptr)
            return;
        life->handle("dissolve-requested", clock_.now());
        writer_.dissolve(life->row(), decision.reason_);
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
