// Fabric domains with groups of several sizes: which groups form there, and how engines of smaller
// groups are reclaimed to repair larger ones.
#include "support/planner_bench.hpp"

#include <map>
#include <set>

#include <criterion/criterion.h>

using namespace cardamombay;
using namespace cardamombay::serving;
using namespace cardamombay::support;

namespace {

/// Model "m" with groups of four and model "n" with groups of two.
struct MixedBench : PlannerBench
{
    MixedBench()
    {
        profile_.models_[0].members_ = 4;
        profile_.models_[1].members_ = 2;
        input_.demand_ = {{ModelName("m"), 1}, {ModelName("n"), 1}};
    }

    /// Adds a group of "n" in domain "d" whose engines have "m" on their hosts.
    void addReclaimableGroup(const std::string &name, MemberState head = MemberState::Open)
    {
        addGroup(name, "d", head);
        for (auto *engine = &engines_.back() - 1; engine <= &engines_.back(); ++engine)
            engine->staged_ = {ModelName("m")};
    }

    void addSurvivors(int count)
    {
        for (int i = 0; i < count; ++i)
            engines_.push_back(loadedEngine("s" + std::to_string(i), "d", "m"));
    }
};

std::map<ModelName, std::map<GroupName, std::size_t>> joinsOf(const Plan &plan)
{
    std::map<ModelName, std::map<GroupName, std::size_t>> result;
    for (const auto &order : plan) {
        if (const auto *join = std::get_if<JoinOrder>(&order.order_))
            ++result[join->model_][join->group_];
    }
    return result;
}

} // namespace

Test(replica_reclaiming, domains_filled_by_groups_of_both_sizes_serve_both_models)
{
    MixedBench bench;
    bench.input_.isFirstStart_ = true;
    for (int domain = 0; domain < 3; ++domain) {
        for (int i = 0; i < 8; ++i) {
            const auto name = std::to_string(domain);
            bench.engines_.push_back(spareEngine(name + "-" + std::to_string(i), name));
        }
    }
    const auto joins = joinsOf(bench.plan());
    cr_assert_eq(joins.at(ModelName("m")).size(), 3);
    cr_assert_eq(joins.at(ModelName("n")).size(), 6);
    for (const auto &[group, members] : joins.at(ModelName("m")))
        cr_assert_eq(members, 4);
}

Test(replica_reclaiming, small_groups_form_only_after_the_large_group_of_their_domain)
{
    MixedBench bench;
    bench.input_.isFirstStart_ = true;
    for (int i = 0; i < 8; ++i)
        bench.engines_.push_back(spareEngine("d" + std::to_string(i), "d"));
    for (int i = 0; i < 3; ++i)
        bench.engines_.push_back(spareEngine("e" + std::to_string(i), "e"));
    for (const auto &engine : targetsOf<JoinOrder>(bench.plan()))
        cr_assert_eq(engine.front(), 'd');
}

Test(replica_reclaiming, engines_of_small_groups_keep_the_large_model_on_their_hosts)
{
    MixedBench bench;
    bench.addSurvivors(4);
    bench.addGroup("n.1", "d", MemberState::Open);
    const auto plan = bench.plan();
    cr_assert_eq(targetsOf<StageOrder>(plan), (Names{"n.1-0", "n.1-1"}));
    for (const auto &order : plan) {
        if (const auto *stage = std::get_if<StageOrder>(&order.order_))
            cr_assert_eq(stage->model_, ModelName("m"));
    }
}

Test(replica_reclaiming, domain_with_one_model_stages_no_other_model)
{
    MixedBench bench;
    bench.addGroup("n.1", "d", MemberState::Open);
    cr_assert(bench.plan().empty());
}

Test(replica_reclaiming, small_group_is_closed_to_complete_a_large_one)
{
    MixedBench bench;
    bench.addSurvivors(3);
    bench.addReclaimableGroup("n.1");
    bench.addReclaimableGroup("n.2");
    auto plan = bench.plan();
    cr_assert_eq(targetsOf<CloseOrder>(plan), Names{"n.1-0"});
    cr_assert_not(std::get<CloseOrder>(plan.front().order_).abortsRequests_);
    cr_assert_eq(plan.size(), 1);

    // No further order is given while the group completes its requests.
    bench.engines_[3].membership_->state_ = MemberState::Closing;
    cr_assert(bench.plan().empty());

    // Then its engines leave instead of serving again.
    bench.engines_[3].membership_->state_ = MemberState::Ready;
    plan = bench.plan();
    cr_assert_eq(targetsOf<LeaveOrder>(plan), (Names{"n.1-0"}));
    cr_assert(targetsOf<OpenOrder>(plan).empty());
    cr_assert(targetsOf<JoinOrder>(plan).empty());

    for (auto *engine : {&bench.engines_[3], &bench.engines_[4]}) {
        engine->membership_.reset();
        engine->model_ = ModelName("n");
    }
    const auto joins = joinsOf(bench.plan());
    cr_assert_eq(joins.at(ModelName("m")).begin()->second, 4);
    cr_assert_not(joins.contains(ModelName("n")));
}

Test(replica_reclaiming, no_group_is_reclaimed_if_its_model_would_then_be_served_worse)
{
    MixedBench bench;
    bench.addSurvivors(3);
    bench.addReclaimableGroup("n.1");
    bench.addReclaimableGroup("n.2");
    bench.input_.demand_ = {{ModelName("m"), 0.1}, {ModelName("n"), 4}};
    bench.addGroup("m.3", "e", MemberState::Open);
    bench.addGroup("m.3", "e", MemberState::Open);
    bench.engines_[bench.engines_.size() - 2].id_ = VmId("m.3-2");
    bench.engines_[bench.engines_.size() - 2].membership_->rank_ = 2;
    bench.engines_.back().id_ = VmId("m.3-3");
    bench.engines_.back().membership_->rank_ = 3;
    cr_assert(targetsOf<CloseOrder>(bench.plan()).empty());
}

Test(replica_reclaiming, survivors_waiting_for_reclaimed_engines_form_no_cross_domain_group)
{
    MixedBench bench;
    bench.addSurvivors(3);
    bench.addReclaimableGroup("n.1");
    bench.addReclaimableGroup("n.2");
    bench.engines_.push_back(loadedEngine("far", "e", "m"));
    cr_assert(targetsOf<JoinOrder>(bench.plan()).empty());
}

Test(replica_reclaiming, engine_without_a_model_loads_the_model_whose_group_it_completes)
{
    MixedBench bench;
    bench.addSurvivors(1);
    bench.engines_.push_back(loadedEngine("n-left", "d", "n"));
    bench.engines_.push_back(spareEngine("new", "d"));
    bench.input_.demand_ = {{ModelName("m"), 2}, {ModelName("n"), 2}};
    for (const auto &order : bench.plan()) {
        if (const auto *stage = std::get_if<StageOrder>(&order.order_))
            cr_assert_eq(stage->model_, ModelName("n"));
    }
}

Test(replica_reclaiming, engine_with_a_model_in_memory_is_not_warmed_up_for_another)
{
    MixedBench bench;
    auto engine = loadedEngine("n-left", "d", "n");
    engine.staged_ = {ModelName("m")};
    bench.engines_ = {engine};
    cr_assert(targetsOf<JoinOrder>(bench.plan()).empty());
}
