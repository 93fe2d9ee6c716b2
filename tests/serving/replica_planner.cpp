// Orders that the planner gives for a list of engines.
#include "support/planner_bench.hpp"

#include <criterion/criterion.h>

using namespace cardamombay;
using namespace cardamombay::serving;
using namespace cardamombay::support;

Test(replica_planner, complete_ready_group_is_opened_and_open_group_is_left_unchanged)
{
    PlannerBench bench;
    bench.addGroup("m.1", "d", MemberState::Ready);
    bench.addGroup("m.2", "d", MemberState::Open);
    const auto plan = bench.plan();
    cr_assert_eq(plan.size(), 1);
    cr_assert_eq(targetsOf<OpenOrder>(plan), Names{"m.1-0"});
}

Test(replica_planner, group_is_not_opened_before_all_members_are_ready)
{
    PlannerBench bench;
    bench.addGroup("m.1", "d", MemberState::Ready);
    bench.engines_[1].membership_->state_ = MemberState::Joining;
    cr_assert(bench.plan().empty());
}

Test(replica_planner, group_with_unlisted_member_is_closed_and_completes_its_requests)
{
    PlannerBench bench;
    bench.addGroup("m.1", "d", MemberState::Open);
    bench.engines_.pop_back();
    const auto plan = bench.plan();
    cr_assert_eq(targetsOf<CloseOrder>(plan), Names{"m.1-0"});
    cr_assert_eq(plan.size(), 1);
    bench.engines_[0].membership_->state_ = MemberState::Closing;
    cr_assert(bench.plan().empty());
}

Test(replica_planner, rest_of_a_group_leaves_when_it_has_stalled)
{
    for (const auto state : {MemberState::Open, MemberState::Closing}) {
        PlannerBench bench;
        bench.addGroup("m.1", "d", state);
        bench.engines_.pop_back();
        bench.input_.stalledHeads_ = {VmId("m.1-0")};
        cr_assert_eq(targetsOf<LeaveOrder>(bench.plan()), Names{"m.1-0"});
    }
}

Test(replica_planner, unresponsive_member_counts_as_lost)
{
    PlannerBench bench;
    bench.addGroup("m.1", "d", MemberState::Open);
    bench.input_.unresponsive_ = {VmId("m.1-1")};
    cr_assert_eq(targetsOf<LeaveOrder>(bench.plan()), Names{"m.1-0"});
}

Test(replica_planner, members_leave_a_lost_head_before_they_join_another_group)
{
    PlannerBench bench;
    bench.addGroup("m.1", "d", MemberState::Open);
    bench.engines_.erase(bench.engines_.begin());
    bench.engines_.push_back(loadedEngine("s", "d", "m"));
    const auto plan = bench.plan();
    cr_assert_eq(targetsOf<LeaveOrder>(plan), Names{"m.1-1"});
    cr_assert(targetsOf<JoinOrder>(plan).empty());
}

Test(replica_planner, engine_still_listed_in_a_group_is_never_ordered_into_another)
{
    for (const auto state : {MemberState::Joining, MemberState::Ready, MemberState::Open,
                             MemberState::Closing, MemberState::Broken}) {
        PlannerBench bench;
        bench.addGroup("m.1", "d", state);
        bench.engines_.pop_back();
        bench.engines_.push_back(loadedEngine("s", "d", "m"));
        cr_assert(targetsOf<JoinOrder>(bench.plan()).empty());
    }
}

Test(replica_planner, draining_member_closes_its_group_without_aborting_requests)
{
    PlannerBench bench;
    bench.addGroup("m.1", "d", MemberState::Open);
    bench.engines_[1].isDraining_ = true;
    const auto plan = bench.plan();
    cr_assert_eq(plan.size(), 1);
    cr_assert_not(std::get<CloseOrder>(plan.front().order_).abortsRequests_);
}

Test(replica_planner, staged_spares_of_a_domain_form_a_group_with_a_new_epoch)
{
    PlannerBench bench;
    bench.engines_ = {spareEngine("a", "d", "m"), spareEngine("b", "d", "m")};
    const auto plan = bench.plan();
    cr_assert_eq(targetsOf<JoinOrder>(plan), (Names{"a", "b"}));
    const auto &join = std::get<JoinOrder>(plan.front().order_);
    cr_assert_eq(join.epoch_, 11);
    cr_assert_eq(join.group_, GroupName("m.11"));
    cr_assert_eq(join.members_.size(), 2);
}

Test(replica_planner, draining_and_pending_engines_are_not_selected)
{
    PlannerBench bench;
    bench.engines_
        = {loadedEngine("a", "d", "m"), loadedEngine("b", "d", "m"), loadedEngine("c", "d", "m")};
    bench.engines_[0].isDraining_ = true;
    bench.input_.pending_ = {VmId("b")};
    cr_assert(bench.plan().empty());
}

Test(replica_planner, spares_form_cross_domain_group_if_no_domain_has_enough)
{
    PlannerBench bench;
    bench.engines_ = {spareEngine("a", "d", "m"), spareEngine("b", "e", "m")};
    cr_assert_eq(targetsOf<JoinOrder>(bench.plan()), (Names{"a", "b"}));
}

Test(replica_planner, cross_domain_groups_are_closed_one_at_a_time)
{
    PlannerBench bench;
    bench.addGroup("m.1", "d", MemberState::Open, "e");
    bench.addGroup("m.2", "d", MemberState::Open, "e");
    bench.engines_.push_back(spareEngine("s", "d", "m"));
    cr_assert_eq(targetsOf<CloseOrder>(bench.plan()).size(), 1);
    bench.engines_[0].membership_->state_ = MemberState::Closing;
    cr_assert(targetsOf<CloseOrder>(bench.plan()).empty());
}

Test(replica_planner, first_start_assigns_domains_to_models_in_turn)
{
    PlannerBench bench;
    bench.input_.isFirstStart_ = true;
    for (const auto *domain : {"d", "e"}) {
        for (int i = 0; i < 2; ++i)
            bench.engines_.push_back(spareEngine(std::string(domain) + std::to_string(i), domain));
    }
    std::map<ModelName, int> joins;
    for (const auto &order : bench.plan())
        ++joins[std::get<JoinOrder>(order.order_).model_];
    cr_assert_eq(joins[ModelName("m")], 2);
    cr_assert_eq(joins[ModelName("n")], 2);
}

Test(replica_planner, first_start_assigns_more_domains_to_the_model_with_larger_groups)
{
    PlannerBench bench;
    bench.input_.isFirstStart_ = true;
    auto profile = *gatewayConfiguration().services_.front().engine_;
    profile.models_[0].members_ = 4;
    profile.models_[0].share_ = 0.57;
    profile.models_[1].members_ = 3;
    profile.models_[1].share_ = 0.43;
    bench.profile_ = profile;
    for (int domain = 0; domain < 6; ++domain) {
        for (int i = 0; i < 9; ++i) {
            const auto name = std::to_string(domain);
            bench.engines_.push_back(spareEngine(name + "-" + std::to_string(i), name));
        }
    }
    std::map<ModelName, std::set<GroupName>> groups;
    for (const auto &order : bench.plan()) {
        if (const auto *join = std::get_if<JoinOrder>(&order.order_))
            groups[join->model_].insert(join->group_);
    }
    cr_assert_eq(groups[ModelName("m")].size(), 8);
    cr_assert_eq(groups[ModelName("n")].size(), 6);
}

Test(replica_planner, number_of_loads_is_limited_by_the_weight_store)
{
    PlannerBench bench;
    for (const auto *engine : {"a", "b", "c", "d"})
        bench.input_.loading_.emplace(VmId(engine), ModelName("m"));
    for (int i = 0; i < 9; ++i)
        bench.engines_.push_back(spareEngine("s" + std::to_string(i), "d"));
    cr_assert_eq(targetsOf<StageOrder>(bench.plan()).size(), 2);
}

Test(replica_planner, spare_engine_loads_the_staged_model_in_a_warm_up_group_and_is_free_again)
{
    PlannerBench bench;
    bench.engines_ = {spareEngine("s", "d", "m")};
    auto plan = bench.plan();
    cr_assert_eq(targetsOf<JoinOrder>(plan), Names{"s"});
    const auto join = std::get<JoinOrder>(plan.front().order_);
    cr_assert_eq(join.members_, std::vector<VmId>{VmId("s")});
    cr_assert(isWarmUp(join.group_));
    cr_assert_eq(modelOf(join.group_), ModelName("m"));
    bench.engines_ = {engineIn("s", "d", join.group_, join.epoch_, 0, MemberState::Joining)};
    cr_assert(bench.plan().empty());
    bench.engines_[0].membership_->state_ = MemberState::Ready;
    plan = bench.plan();
    cr_assert_eq(targetsOf<LeaveOrder>(plan), Names{"s"});
    cr_assert_eq(plan.size(), 1);
    bench.engines_ = {loadedEngine("s", "d", "m")};
    cr_assert(bench.plan().empty());
}

Test(replica_planner, warm_up_group_is_never_opened_even_if_groups_have_one_member)
{
    PlannerBench bench;
    bench.profile_.models_[0].members_ = 1;
    bench.engines_
        = {engineIn("s", "d", warmUpNameOf(ModelName("m"), 7), 7, 0, MemberState::Ready)};
    cr_assert(targetsOf<OpenOrder>(bench.plan()).empty());
}

Test(replica_planner, group_is_formed_before_spares_are_warmed_up)
{
    PlannerBench bench;
    bench.engines_
        = {spareEngine("a", "d", "m"), spareEngine("b", "d", "m"), loadedEngine("c", "d", "m")};
    std::map<GroupName, std::size_t> joins;
    for (const auto &order : bench.plan())
        ++joins[std::get<JoinOrder>(order.order_).group_];
    cr_assert_eq(joins.size(), 2);
    for (const auto &[group, members] : joins)
        cr_assert_eq(members, isWarmUp(group) ? 1 : 2);
}

Test(replica_planner, group_whose_members_are_still_being_listed_is_not_dissolved)
{
    // Either the head or the other member may be listed first.
    for (const std::uint32_t rank : {0U, 1U}) {
        PlannerBench bench;
        const GroupName group("m.1");
        bench.engines_ = {engineIn("first", "d", group, 1, rank, MemberState::Joining),
                          spareEngine("second", "d", "m")};
        bench.input_.pending_ = {VmId("second")};
        bench.input_.joining_ = {{VmId("second"), group}};
        cr_assert(bench.plan().empty());
    }
}
