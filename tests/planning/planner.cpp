#include <cardamombay/planning/planner.hpp>

#include <algorithm>
#include <map>
#include <memory>
#include <string>

#include <criterion/criterion.h>

using namespace cardamombay;
using namespace cardamombay::planning;
using groups::GroupPhase;
using std::chrono::seconds;

namespace {

const FabricDomain own("fabric-0");
const FabricDomain other("fabric-1");
const AvailabilityZone zone("zone");

/// Builds the planner's input; VMs are named "<domain>-<number>" in order of creation.
class PlanStateBuilder
{
public:
    PlanStateBuilder()
    {
        state_.domain_ = own;
        state_.zone_ = zone;
    }

    void service(const std::string &name, std::uint32_t replicas, std::uint32_t priority = 100,
                 std::uint32_t vmsPerReplica = 3)
    {
        state_.services_.push_back({ServiceName(name),
                                    replicas,
                                    vmsPerReplica,
                                    priority,
                                    seconds(60),
                                    {ModelName(name), ModelVersion("1"), {}}});
    }

    void spares(std::uint32_t count, const FabricDomain &domain = own)
    {
        for (std::uint32_t each = 0; each < count; ++each)
            addVm(domain, true);
    }

    /// Adds a group whose first \p lost members have been lost for \p lostFor.
    GroupId group(const std::string &service, std::uint32_t lost = 0,
                  Duration lostFor = seconds(10), const FabricDomain &domain = own)
    {
        PlannedGroup group;
        group.group_ = groups::slotId(ServiceName(service), zone, slots_[service]++);
        group.service_ = ServiceName(service);
        group.domain_ = domain;
        group.phase_ = lost > 0 ? GroupPhase::Degraded : GroupPhase::Serving;
        group.model_ = state_.service(group.service_)->model_;
        group.vmsPerReplica_ = state_.service(group.service_)->vmsPerReplica_;
        for (std::uint32_t each = 0; each < group.vmsPerReplica_; ++each) {
            PlannedVm &vm = addVm(domain, false);
            vm.isHealthy_ = each >= lost;
            vm.lostFor_ = vm.isHealthy_ ? Duration::zero() : lostFor;
            group.members_.push_back(vm.vm_);
        }
        state_.groups_.push_back(group);
        return group.group_;
    }

    PlannedGroup &groupOf(const GroupId &id)
    {
        return *std::find_if(state_.groups_.begin(), state_.groups_.end(),
                             [&](const PlannedGroup &group) { return group.group_ == id; });
    }

    PlannedVm &vmOf(const VmId &id)
    {
        return *std::find_if(state_.vms_.begin(), state_.vms_.end(),
                             [&](const PlannedVm &vm) { return vm.vm_ == id; });
    }

    std::vector<PlanDecision> plan(const Planner &planner = Planner())
    {
        std::sort(state_.vms_.begin(), state_.vms_.end(),
                  [](const PlannedVm &one, const PlannedVm &two) { return one.vm_ < two.vm_; });
        return planner.plan(state_);
    }

    PlanState state_;

private:
    PlannedVm &addVm(const FabricDomain &domain, bool isSpare)
    {
        PlannedVm vm;
        vm.vm_ = VmId(domain.text() + "-" + std::to_string(1000 + state_.vms_.size()));
        vm.domain_ = domain;
        vm.isHealthy_ = true;
        vm.isIdle_ = isSpare;
        vm.isAssigned_ = !isSpare;
        return state_.vms_.emplace_back(vm);
    }

    std::map<std::string, std::uint32_t> slots_;
};

const PlanDecision *decisionOn(const std::vector<PlanDecision> &decisions, const GroupId &group)
{
    const auto found = std::find_if(decisions.begin(), decisions.end(),
                                    [&](const PlanDecision &each) { return each.group_ == group; });
    return found == decisions.end() ? nullptr : &*found;
}

bool isAction(const std::vector<PlanDecision> &decisions, const GroupId &group, PlanAction action)
{
    const PlanDecision *decision = decisionOn(decisions, group);
    return decision != nullptr && decision->action_ == action;
}

double costOf(const PlanDecision &decision, const std::string &name)
{
    for (const Alternative &alternative : decision.alternatives_) {
        if (alternative.name_ == name)
            return alternative.cost_;
    }
    return -1;
}

} // namespace

Test(planner, free_slots_are_formed_as_far_as_spares_reach)
{
    PlanStateBuilder builder;
    builder.service("lm", 3);
    builder.spares(7);

    const auto decisions = builder.plan();

    cr_assert_eq(decisions.size(), 2U);
    for (const auto &decision : decisions) {
        cr_assert(decision.action_ == PlanAction::Form);
        cr_assert_eq(decision.members_.size(), 3U);
    }
}

Test(planner, same_input_gives_the_same_decisions)
{
    PlanStateBuilder builder;
    builder.service("lm", 3);
    builder.spares(4);
    builder.group("lm", 1);

    const auto one = builder.plan();
    const auto two = builder.plan();

    cr_assert_eq(one.size(), two.size());
    for (std::size_t each = 0; each < one.size(); ++each) {
        cr_assert(one[each].group_ == two[each].group_);
        cr_assert(one[each].members_ == two[each].members_);
    }
}

Test(planner, nothing_is_decided_within_the_grace_period)
{
    PlanStateBuilder builder;
    builder.service("lm", 1);
    builder.group("lm", 1, seconds(1));
    builder.spares(1);

    cr_assert(builder.plan().empty());
}

Test(planner, replacement_keeps_the_ranks_of_the_survivors)
{
    PlanStateBuilder builder;
    builder.service("lm", 1);
    const GroupId group = builder.group("lm", 1);
    builder.spares(1);

    const auto decisions = builder.plan();

    cr_assert(isAction(decisions, group, PlanAction::Replace));
    const auto &members = decisionOn(decisions, group)->members_;
    const auto &before = builder.groupOf(group).members_;
    cr_assert(members[0] != before[0]);
    cr_assert(members[1] == before[1] && members[2] == before[2]);
}

Test(planner, decision_lists_the_alternatives_and_takes_the_cheapest)
{
    PlanStateBuilder builder;
    builder.service("lm", 1);
    const GroupId group = builder.group("lm", 1);
    builder.spares(1);

    const auto decisions = builder.plan();

    const PlanDecision &decision = *decisionOn(decisions, group);
    cr_assert(costOf(decision, "wait") > costOf(decision, "replace"));
    cr_assert(costOf(decision, "replace") > 0);
}

Test(planner, waits_if_a_quick_return_is_likely)
{
    PlanStateBuilder builder;
    builder.service("lm", 1);
    const GroupId group = builder.group("lm", 1, seconds(4));
    builder.spares(1);
    builder.state_.services_.front().loadTime_ = seconds(240);
    builder.state_.policy_.returnTime_ = seconds(10);
    builder.state_.policy_.returnProbability_ = 0.95;
    builder.state_.policy_.strandedWeight_ = 0.1;
    cr_assert(isAction(builder.plan(), group, PlanAction::Wait));

    // The longer a VM is lost, the less likely it is to return.
    for (PlannedVm &vm : builder.state_.vms_)
        vm.lostFor_ = vm.isHealthy_ ? Duration::zero() : seconds(120);

    cr_assert(isAction(builder.plan(), group, PlanAction::Replace));
}

Test(planner, stranded_weight_turns_a_wait_into_a_replacement)
{
    PlanStateBuilder builder;
    builder.service("lm", 1, 100, 16);
    const GroupId group = builder.group("lm", 1, seconds(4));
    builder.spares(1);
    builder.state_.services_.front().loadTime_ = seconds(200);
    builder.state_.policy_.returnTime_ = seconds(30);
    builder.state_.policy_.returnProbability_ = 0.9;
    builder.state_.policy_.strandedWeight_ = 0;
    cr_assert(isAction(builder.plan(), group, PlanAction::Wait));

    builder.state_.policy_.strandedWeight_ = 5;

    cr_assert(isAction(builder.plan(), group, PlanAction::Replace));
}

Test(planner, scarce_spare_goes_to_the_service_of_higher_priority)
{
    PlanStateBuilder builder;
    builder.service("low", 1, 10);
    builder.service("high", 1, 200);
    const GroupId low = builder.group("low", 1);
    const GroupId high = builder.group("high", 1);
    builder.spares(1);

    const auto decisions = builder.plan();

    cr_assert(isAction(decisions, high, PlanAction::Replace));
    cr_assert_not(isAction(decisions, low, PlanAction::Replace));
}

Test(planner, scarce_spare_goes_to_the_service_with_the_smaller_share_serving)
{
    PlanStateBuilder builder;
    builder.service("full", 3);
    builder.service("poor", 3);
    builder.group("full");
    builder.group("full");
    const GroupId full = builder.group("full", 1);
    const GroupId poor = builder.group("poor", 1);
    builder.spares(1);

    const auto decisions = builder.plan();

    cr_assert(isAction(decisions, poor, PlanAction::Replace));
    cr_assert_not(isAction(decisions, full, PlanAction::Replace));
}

Test(planner, group_of_lower_priority_is_preempted_when_there_is_no_spare)
{
    PlanStateBuilder builder;
    builder.service("low", 1, 10);
    builder.service("high", 1, 200);
    const GroupId low = builder.group("low");
    const GroupId high = builder.group("high", 1);

    const auto decisions = builder.plan();

    cr_assert(isAction(decisions, low, PlanAction::Drain));
    cr_assert(isAction(decisions, high, PlanAction::Wait));
}

Test(planner, group_of_the_same_priority_is_not_preempted)
{
    PlanStateBuilder builder;
    builder.service("one", 1);
    builder.service("two", 1);
    const GroupId one = builder.group("one");
    builder.group("two", 1);

    cr_assert(decisionOn(builder.plan(), one) == nullptr);
}

Test(planner, of_two_broken_groups_without_spares_one_is_dissolved_for_the_other)
{
    PlanStateBuilder builder;
    builder.service("lm", 2);
    const GroupId one = builder.group("lm", 1);
    const GroupId two = builder.group("lm", 1);

    const auto decisions = builder.plan();

    const int dissolved = (isAction(decisions, one, PlanAction::Dissolve) ? 1 : 0)
                          + (isAction(decisions, two, PlanAction::Dissolve) ? 1 : 0);
    cr_assert_eq(dissolved, 1);
}

Test(planner, slot_is_vacated_for_another_domain_that_has_the_vms)
{
    PlanStateBuilder builder;
    builder.service("lm", 1);
    builder.state_.policy_.returnProbability_ = 0.1;
    const GroupId group = builder.group("lm", 1);
    builder.spares(3, other);

    cr_assert(isAction(builder.plan(), group, PlanAction::Dissolve));
}

Test(planner, slot_of_a_lost_domain_is_moved_once)
{
    PlanStateBuilder builder;
    builder.service("lm", 1);
    builder.state_.policy_.returnProbability_ = 0.1;
    const GroupId group = builder.group("lm", 3, seconds(60), other);
    builder.spares(3);

    const auto decisions = builder.plan();

    cr_assert_eq(decisions.size(), 1U);
    cr_assert(isAction(decisions, group, PlanAction::Move));
}

Test(planner, leaving_vm_is_never_a_spare)
{
    PlanStateBuilder builder;
    builder.service("lm", 1);
    builder.spares(3);
    builder.state_.vms_.front().isLeaving_ = true;

    cr_assert(builder.plan().empty());
}

Test(planner, straggler_is_the_last_spare_to_be_taken)
{
    PlanStateBuilder builder;
    builder.service("lm", 1);
    builder.spares(4);
    const VmId straggler = builder.state_.vms_.back().vm_;
    builder.state_.vms_.back().isStraggler_ = true;

    const auto decisions = builder.plan();

    cr_assert_eq(decisions.size(), 1U);
    const auto &members = decisions.front().members_;
    cr_assert(std::find(members.begin(), members.end(), straggler) == members.end());
}

Test(planner, baseline_policies_always_wait_or_always_replace)
{
    PlanStateBuilder builder;
    builder.service("lm", 1);
    const GroupId group = builder.group("lm", 1);
    builder.spares(1);

    cr_assert(isAction(builder.plan(Planner(std::make_shared<AlwaysWaitPolicy>())), group,
                       PlanAction::Wait));
    cr_assert(isAction(builder.plan(Planner(std::make_shared<AlwaysReplacePolicy>())), group,
                       PlanAction::Replace));
}

Test(planner, group_with_a_pending_transaction_is_left_unchanged)
{
    PlanStateBuilder builder;
    builder.service("lm", 1);
    const GroupId group = builder.group("lm", 1);
    builder.spares(1);
    builder.groupOf(group).isBusy_ = true;

    cr_assert(decisionOn(builder.plan(), group) == nullptr);
}
