// Groups that span fabric domains, and their consolidation within one domain.
#include "support/planner_bench.hpp"

#include <criterion/criterion.h>

using namespace cardamombay;
using namespace cardamombay::serving;
using namespace cardamombay::support;

namespace {

/// Model "m" with groups of four; the demand is unknown.
PlannerBench fourMembers()
{
    PlannerBench bench;
    bench.profile_.models_.resize(1);
    bench.profile_.models_.front().members_ = 4;
    bench.profile_.crossDomainFactor_ = 2.5;
    return bench;
}

/// Adds a group of model "m" whose members are in \p domains, in rank order.
void addFar(PlannerBench &bench, std::uint64_t epoch, const std::vector<std::string> &domains,
            MemberState state = MemberState::Open)
{
    const auto group = groupNameOf(ModelName("m"), epoch);
    for (std::uint32_t rank = 0; rank < domains.size(); ++rank) {
        auto engine = engineIn(group.text() + "-" + std::to_string(rank), domains[rank], group,
                               epoch, rank, rank == 0 ? state : MemberState::Ready);
        engine.staged_ = {ModelName("m")};
        bench.engines_.push_back(std::move(engine));
    }
}

} // namespace

Test(cross_domain_groups, groups_that_together_fill_one_domain_are_closed_together)
{
    auto bench = fourMembers();
    addFar(bench, 1, {"a", "a", "b", "c"});
    addFar(bench, 2, {"a", "a", "d", "e"});
    // The only groups of a model are not closed.
    cr_assert(bench.plan().empty());
    addFar(bench, 3, {"x", "x", "x", "x"});
    addFar(bench, 4, {"y", "y", "y", "y"});
    cr_assert_eq(targetsOf<CloseOrder>(bench.plan()), (Names{"m.1-0", "m.2-0"}));
}

Test(cross_domain_groups, spares_wait_while_their_domain_is_consolidated)
{
    auto bench = fourMembers();
    addFar(bench, 1, {"a", "a", "b", "c"}, MemberState::Closing);
    for (const auto *spare : {"s1", "s2"})
        bench.engines_.push_back(loadedEngine(spare, "a", "m"));
    for (const auto *spare : {"s3", "s4"})
        bench.engines_.push_back(loadedEngine(spare, "b", "m"));
    cr_assert(targetsOf<JoinOrder>(bench.plan()).empty());
}

Test(cross_domain_groups, number_of_groups_closed_at_once_is_limited)
{
    auto bench = fourMembers();
    addFar(bench, 1, {"a", "a", "c", "d"});
    addFar(bench, 2, {"a", "a", "c", "d"});
    addFar(bench, 3, {"e", "e", "f", "g"});
    addFar(bench, 4, {"e", "e", "f", "g"});
    addFar(bench, 5, {"x", "x", "x", "x"});
    // The capacity is 2.6 groups; two closing cross-domain groups account for 0.8 of it.
    cr_assert_eq(targetsOf<CloseOrder>(bench.plan()).size(), 2);
}

Test(cross_domain_groups, groups_that_cannot_fill_a_domain_are_not_closed)
{
    auto bench = fourMembers();
    addFar(bench, 1, {"a", "a", "b", "c"});
    addFar(bench, 2, {"d", "a", "e", "f"});
    cr_assert(bench.plan().empty());
}

Test(cross_domain_groups, recently_freed_engines_wait_for_others_of_their_domain)
{
    auto bench = fourMembers();
    for (const auto *engine : {"a", "b", "c", "d"})
        bench.engines_.push_back(loadedEngine(engine, engine, "m"));
    bench.input_.recentlyFreed_ = {VmId("c")};
    cr_assert(targetsOf<JoinOrder>(bench.plan()).empty());
    // A complete group within one domain is formed immediately.
    for (const auto *engine : {"e", "f", "g"})
        bench.engines_.push_back(loadedEngine(engine, "c", "m"));
    cr_assert_eq(targetsOf<JoinOrder>(bench.plan()), (Names{"c", "e", "f", "g"}));
    bench.engines_.resize(4);
    bench.input_.recentlyFreed_.clear();
    cr_assert_eq(targetsOf<JoinOrder>(bench.plan()).size(), 4);
}

Test(group_heads, members_join_another_group_directly_after_their_head_has_left)
{
    auto bench = fourMembers();
    addFar(bench, 1, {"a", "a", "a", "a"}, MemberState::Broken);
    cr_assert_eq(targetsOf<LeaveOrder>(bench.plan()), Names{"m.1-0"});
    bench.engines_[0].membership_.reset();
    bench.engines_[0].model_ = ModelName("m");
    const auto plan = bench.plan();
    cr_assert(targetsOf<LeaveOrder>(plan).empty());
    cr_assert_eq(targetsOf<JoinOrder>(plan), (Names{"m.1-0", "m.1-1", "m.1-2", "m.1-3"}));
}

Test(group_heads, members_of_an_unlisted_head_leave_before_joining_another_group)
{
    auto bench = fourMembers();
    addFar(bench, 1, {"a", "a", "a", "a"});
    cr_assert(bench.plan().empty());
    bench.engines_.erase(bench.engines_.begin());
    bench.engines_.push_back(loadedEngine("spare", "a", "m"));
    const auto plan = bench.plan();
    cr_assert_eq(targetsOf<LeaveOrder>(plan), (Names{"m.1-1", "m.1-2", "m.1-3"}));
    cr_assert(targetsOf<JoinOrder>(plan).empty());
}

/// Guards against spares that stay in slow groups after the shortage for which these have formed.
Test(cross_domain_groups, group_that_is_not_needed_is_closed_if_spares_serve_both_models)
{
    for (const bool mayPrepare : {false, true}) {
        auto bench = fourMembers();
        addFar(bench, 1, {"a", "b", "c", "f"});
        for (const auto *domain : {"x", "y", "z"})
            addFar(bench, bench.engines_.size(), {domain, domain, domain, domain});
        bench.input_.mayPrepareConversions_ = mayPrepare;
        bench.input_.demand_ = {{ModelName("m"), 1.8}};
        const auto expected = mayPrepare ? Names{"m.1-0"} : Names{};
        cr_assert_eq(targetsOf<CloseOrder>(bench.plan()), expected);
        // Once its requests are completed, its engines leave it.
        bench.engines_.front().membership_->state_ = MemberState::Ready;
        cr_assert_eq(targetsOf<LeaveOrder>(bench.plan()), expected);
        // It is kept while the model lacks capacity.
        bench.engines_.front().membership_->state_ = MemberState::Open;
        bench.input_.demand_ = {{ModelName("m"), 1.9}};
        cr_assert(targetsOf<CloseOrder>(bench.plan()).empty());
    }
}
