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

    /// Makes the engines of group \p name leave it; they keep its model in memory.
    void freeGroup(const std::string &name)
    {
        for (auto &engine : engines_) {
            if (!engine.membership_ || engine.membership_->group_ != GroupName(name))
                continue;
            engine.model_ = modelOf(engine.membership_->group_);
            engine.membership_.reset();
        }
    }

    /// Sets the state of the head of group \p name.
    void setHead(const std::string &name, MemberState state)
    {
        for (auto &engine : engines_) {
            if (engine.id_ == VmId(name + "-0"))
                engine.membership_->state_ = state;
        }
    }

    void addLargeGroupElsewhere()
    {
        for (std::uint32_t rank = 0; rank < 4; ++rank)
            engines_.push_back(engineIn("m.9-" + std::to_string(rank), "e", GroupName("m.9"), 1,
                                        rank, rank == 0 ? MemberState::Open : MemberState::Ready));
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

/// Guards against engines that form small groups again while the larger group waits for further
/// ones: the same groups closed and formed over and over.
Test(replica_reclaiming, engines_of_a_closed_group_wait_for_those_that_are_still_closing)
{
    MixedBench bench;
    bench.addSurvivors(1);
    for (const auto *name : {"n.1", "n.2", "n.3", "n.4"})
        bench.addReclaimableGroup(name);
    bench.input_.demand_ = {{ModelName("m"), 1}, {ModelName("n"), 1}};
    cr_assert_eq(targetsOf<CloseOrder>(bench.plan()), (Names{"n.1-0", "n.2-0"}));
    bench.setHead("n.2", MemberState::Closing);
    bench.freeGroup("n.1");
    cr_assert(targetsOf<JoinOrder>(bench.plan()).empty());
    bench.freeGroup("n.2");
    const auto joins = joinsOf(bench.plan());
    cr_assert_eq(joins.at(ModelName("m")).begin()->second, 4);
    cr_assert_eq(joins.count(ModelName("n")), 0);
}

/// Guards against a choice that changes with the demand between the close order and the time at
/// which the engines are free.
Test(replica_reclaiming, engines_taken_for_a_larger_group_form_it_although_the_demand_has_changed)
{
    MixedBench bench;
    bench.addSurvivors(2);
    for (const auto *name : {"n.1", "n.2", "n.3"})
        bench.addReclaimableGroup(name);
    bench.addLargeGroupElsewhere();
    bench.input_.demand_ = {{ModelName("m"), 2}, {ModelName("n"), 2}};
    cr_assert_eq(targetsOf<CloseOrder>(bench.plan()), Names{"n.1-0"});
    bench.freeGroup("n.1");
    bench.input_.demand_ = {{ModelName("m"), 0.01}, {ModelName("n"), 9}};
    const auto joins = joinsOf(bench.plan());
    cr_assert_eq(joins.at(ModelName("m")).begin()->second, 4);
    cr_assert_eq(joins.count(ModelName("n")), 0);
}

/// Guards against engines that stay idle if the larger group cannot form.
Test(replica_reclaiming, taken_engines_serve_any_model_after_a_time)
{
    MixedBench bench;
    bench.addSurvivors(2);
    for (const auto *name : {"n.1", "n.2", "n.3"})
        bench.addReclaimableGroup(name);
    bench.addLargeGroupElsewhere();
    bench.input_.demand_ = {{ModelName("m"), 2}, {ModelName("n"), 2}};
    cr_assert_eq(targetsOf<CloseOrder>(bench.plan()), Names{"n.1-0"});
    bench.freeGroup("n.1");
    std::erase_if(bench.engines_,
                  [](const Endpoint &engine) { return engine.id_.text().starts_with("s"); });
    bench.input_.demand_ = {{ModelName("m"), 0.01}, {ModelName("n"), 9}};
    bench.now_ += KeptEngines::keepTime - std::chrono::milliseconds(1);
    cr_assert(targetsOf<JoinOrder>(bench.plan()).empty());
    bench.now_ += std::chrono::milliseconds(1);
    cr_assert_eq(joinsOf(bench.plan()).count(ModelName("n")), 1);
}

/// Guards against several domains that each take groups of the same model at the same time: no run
/// counted the larger groups that the others were about to form.
Test(replica_reclaiming, model_keeps_half_of_its_groups_while_several_domains_reclaim)
{
    MixedBench bench;
    bench.input_.demand_ = {{ModelName("m"), 4}, {ModelName("n"), 0.5}};
    for (int domain = 0; domain < 4; ++domain) {
        const auto name = std::to_string(domain);
        bench.engines_.push_back(loadedEngine("s" + name, name, "m"));
        for (int i = 0; i < 2; ++i) {
            bench.addGroup("n." + std::to_string(domain * 2 + i), name, MemberState::Open);
            for (auto *engine = &bench.engines_.back() - 1; engine <= &bench.engines_.back();
                 ++engine)
                engine->staged_ = {ModelName("m")};
        }
    }
    cr_assert_eq(targetsOf<CloseOrder>(bench.plan()).size(), 4);
    // The other groups are not taken before the engines of the first ones serve.
    for (const auto *name : {"n.0", "n.1", "n.2", "n.3"})
        bench.freeGroup(name);
    for (auto &engine : bench.engines_) {
        if (engine.domain_ == FabricDomain("0"))
            bench.input_.pending_.insert(engine.id_);
    }
    cr_assert(targetsOf<CloseOrder>(bench.plan()).empty());
}
