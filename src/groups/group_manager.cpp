#include <cardamombay/groups/group_manager.hpp>

#include "group_tracker.hpp"
#include "member_orders.hpp"
#include "order_sender.hpp"
#include "plan_state_builder.hpp"
#include "row_writer.hpp"
#include "zone_snapshot.hpp"

#include <cardamombay/groups/events.hpp>
#include <cardamombay/planning/return_history.hpp>

#include <map>
#include <string>
#include <utility>

namespace cardamombay::groups {

using impl::ZoneSnapshot;
using planning::PlanAction;
using planning::PlanDecision;

/// Implementation of a manager; state is discarded at the end of a tenure.
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
        , sender_(clock, orders, lease, decisions, settings_)
        , writer_(clock, store, lease, decisions, settings_, self, incarnation)
        , members_(sender_, writer_, lease.domain())
        , tracker_(clock, decisions, settings_, lease.domain(), std::move(program), sender_,
                   members_, writer_)
        , returns_(lease.domain())
    {
    }

    void tick(const PlanInput &input);
    [[nodiscard]] std::vector<GroupStatus> groups() const { return tracker_.statuses(); }

private:
    /// \name Tenure
    /// \{
    [[nodiscard]] bool hasTenure(const PlanInput &input);
    void beginTenure();
    void endTenure();
    /// \}

    /// \name Rows
    /// \{
    void freeStaleRows(const PlanInput &input);
    void plan(const PlanInput &input, const ZoneSnapshot &snapshot);
    void execute(const PlanDecision &decision, const PlanInput &input);
    void form(const PlanDecision &decision, const PlanInput &input);
    void recordDecision(const PlanDecision &decision);
    /// \}

    Clock &clock_;
    leases::LeaseKeeper &lease_;
    DecisionSink &decisions_;
    ManagerSettings settings_;
    planning::Planner planner_;
    impl::OrderSender sender_;
    impl::RowWriter writer_;
    impl::MemberOrders members_;
    impl::GroupTracker tracker_;
    planning::ReturnHistory returns_;
    std::map<GroupId, std::string> recordedChoices_;
    Epoch tenure_;
    TimePoint tenureSince_{};
};

void GroupManager::Impl::tick(const PlanInput &input)
{
    const bool hasVms = !input.vms_.empty();
    if (!hasTenure(input) || !hasVms)
        return;
    members_.setConfiguration(input.configuration_);
    writer_.setGroupCache(input.groupCache_);
    tracker_.sync(*input.groupCache_);
    const ZoneSnapshot snapshot(input, sender_, clock_.now(), settings_);
    tracker_.advance(snapshot, input.configuration_->planner_.concurrentLoads_);
    for (const auto &[group, machine] : tracker_.all())
        members_.sendDueOrders(machine, snapshot);
    members_.releaseStale(*input.groupCache_, snapshot);
    if (writer_.isBackingOff())
        return;
    freeStaleRows(input);
    if (clock_.now() >= tenureSince_ + settings_.warmUpTime_)
        plan(input, snapshot);
}

/// True if the lease is held and the cache has every commit of previous lease holders.
bool GroupManager::Impl::hasTenure(const PlanInput &input)
{
    if (!lease_.isHeld()) {
        endTenure();
        return false;
    }
    if (tenure_ != lease_.epoch())
        beginTenure();
    if (input.configuration_ && input.groupCache_->syncedVersion() >= lease_.epochVersion())
        return true;
    input.groupCache_->refresh();
    return false;
}

void GroupManager::Impl::beginTenure()
{
    endTenure();
    tenure_ = lease_.epoch();
    tenureSince_ = clock_.now();
    decisions_.record({clock_.now(),
                       events::tenureBegun,
                       lease_.domain().text(),
                       "plan",
                       {{"epoch", std::to_string(tenure_.value())}},
                       {}});
}

void GroupManager::Impl::endTenure()
{
    tenure_ = Epoch{};
    tracker_.clear();
    recordedChoices_.clear();
    sender_.clear();
    writer_.clear();
    returns_.clear();
}

/// Frees VM rows of the domain that name a former formation, such as after the slot has moved.
void GroupManager::Impl::freeStaleRows(const PlanInput &input)
{
    constexpr std::size_t maxRowsPerTick = 64;
    std::vector<VmId> stale;
    for (const auto &[id, row] : input.groupCache_->vms()) {
        const bool isOwn = row.content_.domain_ == lease_.domain();
        if (!isOwn || row.content_.isFree() || writer_.isReserved(id))
            continue;
        const auto *group = input.groupCache_->group(row.content_.group_);
        if (group == nullptr || group->content_.generation_ < row.content_.generation_)
            continue; // Its group row is not cached yet.
        const bool isCurrent = group->content_.generation_ == row.content_.generation_
                               && !group->content_.isFreeSlot();
        if (!isCurrent && stale.size() < maxRowsPerTick)
            stale.push_back(id);
    }
    if (!stale.empty())
        writer_.freeVms(stale);
}

void GroupManager::Impl::plan(const PlanInput &input, const ZoneSnapshot &snapshot)
{
    planning::PlanState state = impl::buildPlanState(
        {input, snapshot, writer_, tracker_.all(), lease_.domain(), clock_.now(), tenureSince_});
    returns_.observe(state, clock_.now());
    state.policy_ = returns_.adjusted(state.policy_);
    for (const PlanDecision &decision : planner_.plan(state)) {
        recordDecision(decision);
        execute(decision, input);
    }
}

void GroupManager::Impl::execute(const PlanDecision &decision, const PlanInput &input)
{
    if (!lease_.isHeldFor(settings_.orderMargin_) || writer_.isBusy(decision.group_))
        return;
    GroupStateMachine *machine = tracker_.find(decision.group_);
    switch (decision.action_) {
    case PlanAction::Wait:
        return;
    case PlanAction::Form:
    case PlanAction::Replace:
    case PlanAction::Move:
        form(decision, input);
        return;
    case PlanAction::Drain:
        if (machine != nullptr)
            writer_.drain(machine->row(), decision.reason_);
        return;
    case PlanAction::Dissolve:
        if (machine == nullptr)
            return;
        machine->handle("dissolve-requested", clock_.now());
        writer_.dissolve(machine->row(), decision.reason_);
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

/// Records a decision, except for a Wait that repeats the group's last recorded decision.
void GroupManager::Impl::recordDecision(const PlanDecision &decision)
{
    std::string choice = std::string(nameOf(decision.action_)) + " " + decision.reason_;
    std::string &last = recordedChoices_[decision.group_];
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
