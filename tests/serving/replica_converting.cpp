// Conversion of groups into groups of a model with more demand.
#include "support/planner_bench.hpp"

#include <criterion/criterion.h>

using namespace cardamombay;
using namespace cardamombay::serving;
using namespace cardamombay::support;

namespace {

/// Open groups of four for model "m", which has surplus capacity, and open groups of two for model
/// "n", which is overloaded.
struct ShiftedBench : PlannerBench
{
    ShiftedBench()
    {
        profile_.models_[0].members_ = 4;
        profile_.models_[1].members_ = 2;
        input_.demand_ = {{ModelName("m"), 0.5}, {ModelName("n"), 4}};
        input_.mix_ = &mix_;
        for (int i = 0; i < 3; ++i) {
            addLarge("m." + std::to_string(i), "d" + std::to_string(i));
            addGroup("n." + std::to_string(i), "e", MemberState::Open);
        }
    }

    void addLarge(const std::string &name, const std::string &domain)
    {
        for (std::uint32_t rank = 0; rank < 4; ++rank) {
            const auto state = rank == 0 ? MemberState::Open : MemberState::Ready;
            engines_.push_back(engineIn(name + "-" + std::to_string(rank), domain, GroupName(name),
                                        1, rank, state));
        }
    }

    /// Stages \p model on the hosts of the engines of group "m.<index>".
    void stage(int index, const std::string &model)
    {
        const auto prefix = "m." + std::to_string(index) + "-";
        for (auto &engine : engines_) {
            if (engine.id_.text().starts_with(prefix))
                engine.staged_ = {ModelName(model)};
        }
    }

    void setHead(int index, MemberState state)
    {
        const auto head = "m." + std::to_string(index) + "-0";
        for (auto &engine : engines_) {
            if (engine.id_ == VmId(head))
                engine.membership_->state_ = state;
        }
    }

    DemandMix mix_;
};

std::size_t loadsOf(const Plan &plan, const std::string &model)
{
    return static_cast<std::size_t>(
        std::count_if(plan.begin(), plan.end(), [&model](const PlannedOrder &one) {
            const auto *stage = std::get_if<StageOrder>(&one.order_);
            return stage != nullptr && stage->model_ == ModelName(model);
        }));
}

} // namespace

Test(replica_converting, group_is_closed_if_all_its_engines_have_the_target_model)
{
    ShiftedBench bench;
    bench.stage(1, "n");
    cr_assert_eq(targetsOf<CloseOrder>(bench.plan()), Names{"m.1-0"});
}

Test(replica_converting, group_continues_to_serve_while_its_engines_load_the_target_model)
{
    ShiftedBench bench;
    bench.profile_.fullSpeedLoads_ = 20;
    const auto plan = bench.plan();
    cr_assert(targetsOf<CloseOrder>(plan).empty());
    cr_assert_eq(loadsOf(plan, "n"), 4);
}

Test(replica_converting, half_of_the_concurrent_loads_are_kept_for_engines_without_a_model)
{
    ShiftedBench bench;
    bench.profile_.fullSpeedLoads_ = 4;
    cr_assert_eq(loadsOf(bench.plan(), "n"), 2);
}

/// The selection is repeated with each plan: the group that is already closing must be selected
/// again, and no second one.
Test(replica_converting, closing_group_remains_the_only_one_selected)
{
    ShiftedBench bench;
    bench.stage(0, "n");
    bench.stage(1, "n");
    bench.setHead(1, MemberState::Closing);
    cr_assert(targetsOf<CloseOrder>(bench.plan()).empty());
}

Test(replica_converting, drained_group_is_dissolved_and_not_reopened)
{
    ShiftedBench bench;
    bench.stage(1, "n");
    bench.setHead(1, MemberState::Ready);
    const auto plan = bench.plan();
    cr_assert_eq(targetsOf<LeaveOrder>(plan), Names{"m.1-0"});
    cr_assert(targetsOf<OpenOrder>(plan).empty());
}

Test(replica_converting, freed_engines_form_groups_of_the_target_model)
{
    ShiftedBench bench;
    bench.stage(1, "n");
    for (auto &engine : bench.engines_) {
        if (engine.id_.text().starts_with("m.1-"))
            engine.membership_.reset();
    }
    const auto plan = bench.plan();
    std::set<GroupName> groups;
    for (const auto &order : plan) {
        if (const auto *join = std::get_if<JoinOrder>(&order.order_)) {
            cr_assert_eq(join->model_, ModelName("n"));
            groups.insert(join->group_);
        }
    }
    cr_assert_eq(groups.size(), 2);
}

Test(replica_converting, nothing_is_converted_while_the_demand_is_unknown)
{
    ShiftedBench bench;
    bench.stage(1, "n");
    bench.input_.demand_.clear();
    cr_assert(bench.plan().empty());
}

Test(replica_converting, engines_keep_their_models_without_a_model_mix)
{
    ShiftedBench bench;
    bench.stage(1, "n");
    bench.input_.mix_ = nullptr;
    cr_assert(bench.plan().empty());
}

/// A host keeps only one model across a restart. Guards against staging the other model before the
/// demand is known: engines of a domain that was unreachable for 7 s returned with only that model,
/// and the large model remained short of capacity.
Test(replica_converting, hosts_keep_the_model_of_their_group_until_the_demand_is_known)
{
    ShiftedBench bench;
    bench.input_.isFirstStart_ = true;
    bench.input_.demand_.clear();
    bench.addLarge("m.9", "d1");
    cr_assert_eq(loadsOf(bench.plan(), "n"), 0);
}

/// Guards against conversions that first load for 12 s.
Test(replica_converting, hosts_of_each_group_stage_the_other_model_before_the_first_traffic)
{
    ShiftedBench bench;
    bench.input_.isFirstStart_ = true;
    bench.input_.mayPrepareConversions_ = true;
    bench.input_.demand_.clear();
    const auto plan = bench.plan();
    cr_assert_eq(loadsOf(plan, "n"), 12);
    cr_assert_eq(loadsOf(plan, "m"), 6);
}

Test(replica_converting, preparing_takes_at_most_half_of_the_loads_once_traffic_has_come)
{
    ShiftedBench bench;
    bench.input_.mayPrepareConversions_ = true;
    bench.profile_.fullSpeedLoads_ = 6;
    cr_assert_eq(targetsOf<StageOrder>(bench.plan()).size(), 3);
}

/// Guards against staging a model whose groups would leave engines over.
Test(replica_converting, hosts_stage_no_model_that_their_engines_cannot_be_converted_to)
{
    ShiftedBench bench;
    bench.profile_.models_[0].members_ = 4;
    bench.profile_.models_[1].members_ = 3;
    bench.input_.isFirstStart_ = true;
    bench.input_.mayPrepareConversions_ = true;
    bench.input_.demand_.clear();
    cr_assert_eq(loadsOf(bench.plan(), "n"), 0);
}

Test(replica_converting, engines_of_a_converted_group_are_kept_for_the_target_model)
{
    ShiftedBench bench;
    bench.stage(1, "n");
    for (const auto &order : bench.plan()) {
        if (std::holds_alternative<CloseOrder>(order.order_))
            cr_assert_eq(order.takenFor_, ModelName("n"));
    }
    for (auto &engine : bench.engines_) {
        if (engine.id_.text().starts_with("m.1-"))
            engine.membership_.reset();
    }
    // The demand has turned before the engines are free.
    bench.input_.demand_ = {{ModelName("m"), 9}, {ModelName("n"), 0.1}};
    const auto plan = bench.plan();
    cr_assert_eq(targetsOf<JoinOrder>(plan).size(), 4);
    for (const auto &order : plan) {
        if (const auto *join = std::get_if<JoinOrder>(&order.order_))
            cr_assert_eq(join->model_, ModelName("n"));
    }
}

Test(replica_converting, reason_for_each_decision_is_reported)
{
    ShiftedBench bench;
    std::vector<std::string> outcomes;
    bench.input_.reportMix_ = [&](std::string_view outcome, std::span<const ModelLoad> models) {
        outcomes.emplace_back(outcome);
        cr_assert_eq(models.size(), 2);
    };
    bench.stage(1, "n");
    (void)bench.plan();
    cr_assert_eq(outcomes, std::vector<std::string>{"m.1 becomes n"});
    outcomes.clear();
    bench.input_.demand_ = {{ModelName("m"), 2}, {ModelName("n"), 1}};
    (void)bench.plan();
    cr_assert_eq(outcomes, std::vector<std::string>{"no conversion is beneficial"});
    outcomes.clear();
    bench.input_.mayPrepareConversions_ = true;
    bench.input_.demand_ = {{ModelName("m"), 0.1}, {ModelName("n"), 0.4}};
    (void)bench.plan();
    cr_assert_eq(outcomes, std::vector<std::string>{"the demand is too low for a ratio"});
}

/// Guards against a leftover engine that could complete groups of only one model.
Test(replica_converting, spare_of_both_models_replaces_a_lost_member_of_either)
{
    for (const auto *lost : {"m", "n"}) {
        ShiftedBench bench;
        bench.input_.mayPrepareConversions_ = true;
        bench.input_.demand_ = {{ModelName("m"), 4}, {ModelName("n"), 1}};
        for (const auto *name : {"spare-0", "spare-1"}) {
            auto spare = loadedEngine(name, "d9", "m");
            spare.staged_ = {ModelName("n")};
            bench.engines_.push_back(spare);
        }
        bench.addGroup("n.9", "d9", MemberState::Open);
        bench.addLarge("m.9", "d9");
        const int survivors = lost == std::string("m") ? 3 : 1;
        for (int i = 0; i < survivors; ++i)
            bench.engines_.push_back(loadedEngine("s" + std::to_string(i), "d9", lost));
        const auto plan = bench.plan();
        std::size_t joined = 0;
        for (const auto &order : plan) {
            if (const auto *join = std::get_if<JoinOrder>(&order.order_)) {
                cr_assert_eq(join->model_, ModelName(lost));
                joined += order.engine_.text().starts_with("spare") ? 1 : 0;
            }
        }
        cr_assert_geq(joined, 1);
    }
}
