// Groups for the demand that comes: hosts that are prepared for conversions, and the groups that
// both models have while the demand rises, changes and a fabric domain is dark.
#include "support/shifted_demand_simulation.hpp"

#include <criterion/criterion.h>

using namespace cardamombay;
using namespace cardamombay::serving;
using namespace cardamombay::support;

namespace {

constexpr FleetSize small171{9, 19, 8, 4, true, false, 2.5};
constexpr FleetSize large222{6, 37, 16, 4, true, false, 2.5};
constexpr FleetSize sizes[] = {small171, large222};

std::map<ModelName, double> demand(double large, double small)
{
    return {{ModelName("m"), large}, {ModelName("n"), small}};
}

/// Ratio of capacity to demand, after the loss of one group, of the model that is served worse.
double smallerCoverage(const OpenGroups &open, double large, double small)
{
    const auto afterLoss
        = [](std::size_t groups, double need) { return (static_cast<double>(groups) - 1) / need; };
    return std::min(afterLoss(open.large_, large), afterLoss(open.small_, small));
}

/// Model that the engine's host should hold beside the one in its memory.
std::string otherModel(const Endpoint &engine)
{
    return engine.model_ == ModelName("m") ? "n" : "m";
}

void printOpen(const char *text, const FleetSize &size, const OpenGroups &open)
{
    std::printf("%s, %d engines: %zu large and %zu small groups\n", text,
                size.domains_ * size.enginesPerDomain_, open.large_, open.small_);
}

std::size_t totalClosed(const ShiftedDemandSimulation &fleet)
{
    std::size_t result = 0;
    for (const auto &[reason, count] : fleet.closes_) {
        std::printf("  closed: %s: %d\n", reason.c_str(), count);
        result += static_cast<std::size_t>(count);
    }
    return result;
}

} // namespace

/// Guards against conversions that wait 12 s for a load after the demand has shifted.
Test(prepared_conversions, before_the_first_traffic_hosts_stage_the_other_model)
{
    const DemandMix mix;
    for (const auto &size : sizes) {
        const ShiftedDemandSimulation fleet(mix, 1, size);
        printOpen("after the first start", size, fleet.open());
        for (const auto &engine : fleet.engines()) {
            cr_assert_not(engine.model_.isEmpty());
            cr_assert(engine.hasStaged(ModelName(otherModel(engine))), "%s",
                      engine.id_.text().c_str());
        }
    }
}

/// Guards against planning other services differently.
Test(prepared_conversions, hosts_stage_no_other_model_without_the_flag)
{
    const DemandMix mix;
    for (auto size : sizes) {
        size.mayPrepareConversions_ = false;
        const ShiftedDemandSimulation fleet(mix, 1, size);
        for (const auto &engine : fleet.engines())
            cr_assert_not(engine.hasStaged(ModelName(otherModel(engine))));
    }
}

/// Guards against ten large groups for a demand of 4 beside 16 small groups for one of 24.
Test(prepared_conversions, groups_follow_the_demand_within_eight_seconds)
{
    const DemandMix mix;
    for (const auto &size : sizes) {
        ShiftedDemandSimulation fleet(mix, 1, size);
        const double small = size.largeGroup_ == 8 ? 24 : 36;
        const double large = size.largeGroup_ == 8 ? 4 : 2;
        fleet.run(8, demand(large, small));
        printOpen("8 s after the first request", size, fleet.open());
        const auto settled = fleet.open();
        fleet.run(20, demand(large, small));
        printOpen("28 s after the first request", size, fleet.open());
        cr_expect_geq(smallerCoverage(settled, large, small), 0.95);
        cr_expect_geq(smallerCoverage(fleet.open(), large, small), 0.95);
        cr_expect_eq(fleet.open().large_, settled.large_);
        (void)totalClosed(fleet);
    }
}

/// Guards against a wrong mix while the moving average rises from zero: the large model went from
/// 10 to 5 groups within 4 s although its callers needed more.
Test(prepared_conversions, demand_that_rises_from_zero_leads_to_no_wrong_mix)
{
    const DemandMix mix;
    struct Case
    {
        double small_;
        std::size_t large_; ///< Groups with which the smaller coverage is highest.
    };
    for (const auto &[small, large] : {Case{14, 7}, Case{18, 6}, Case{24, 5}, Case{30, 5}}) {
        ShiftedDemandSimulation fleet(mix, 1, small171);
        std::size_t fewest = 100;
        fleet.run(12, demand(4, small), [&] { fewest = std::min(fewest, fleet.open().large_); });
        std::printf("demand 4 and %.0f: ", small);
        printOpen("12 s after the first request", small171, fleet.open());
        cr_expect_eq(fewest, large);
        cr_expect_eq(fleet.open().large_, large);
    }
}

/// Guards against converting the groups of a model whose first request arrives a little later.
Test(prepared_conversions, model_whose_callers_come_later_keeps_groups_for_them)
{
    const DemandMix mix;
    for (const auto &size : sizes) {
        ShiftedDemandSimulation fleet(mix, 1, size);
        const auto before = fleet.open();
        fleet.run(0.3, demand(0, 24));
        fleet.run(4, demand(4, 24));
        cr_expect_geq(fleet.open().large_ * 2, before.large_);
    }
}

/// Guards against engines that close and form small groups again and again for a larger group.
Test(prepared_conversions, large_model_gets_its_groups_back_and_small_one_keeps_half_of_its_own)
{
    const DemandMix mix;
    for (auto size : sizes) {
        ShiftedDemandSimulation fleet(mix, 1, size);
        const double many = size.largeGroup_ == 8 ? 26 : 40;
        fleet.run(15, demand(2, many));
        const auto before = fleet.open();
        printOpen("demand for small groups", size, before);
        fleet.closes_.clear();
        fleet.formed_ = 0;
        auto last = before.small_;
        bool losesHalf = false;
        fleet.run(20, demand(6, many / 2),
                  [&] { losesHalf = losesHalf || fleet.open().small_ * 2 < last; });
        const auto after = fleet.open();
        printOpen("demand for large groups", size, after);
        std::printf("  formed %zu\n", fleet.formed_);
        cr_expect_not(losesHalf);
        cr_expect_gt(after.large_, before.large_);
        const auto larger = after.large_ - before.large_;
        const auto each = size.largeGroup_ / size.smallGroup_;
        cr_expect_leq(totalClosed(fleet), larger * each + larger);
        cr_expect_leq(fleet.formed_, larger + 2);
    }
}

/// Guards against domains that return with the other model only: the large model stayed short of
/// groups, and callers lost 0.14 of a day's worth.
Test(prepared_conversions, both_models_have_their_groups_within_5_s_after_a_dark_domain_returns)
{
    const DemandMix mix;
    for (const auto &size : sizes) {
        const double small = size.largeGroup_ == 8 ? 22 : 34;
        const double large = size.largeGroup_ == 8 ? 4 : 2;
        for (int dark = 0; dark < size.domains_; ++dark) {
            for (const auto *staged : {"", "m", "n"}) {
                ShiftedDemandSimulation fleet(mix, 1, size);
                fleet.run(15, demand(large, small));
                const auto before = fleet.open();
                fleet.darken(dark);
                fleet.run(8, demand(large, small));
                const auto without = fleet.open();
                fleet.restore(dark, staged);
                fleet.run(5, demand(large, small));
                const auto after = fleet.open();
                std::printf("%d engines, domain %d dark, staged '%s': %zu+%zu, %zu+%zu, %zu+%zu\n",
                            size.domains_ * size.enginesPerDomain_, dark, staged, before.large_,
                            before.small_, without.large_, without.small_, after.large_,
                            after.small_);
                fleet.run(5, demand(large, small));
                const auto later = fleet.open();
                std::printf("    10 s: %zu+%zu\n", later.large_, later.small_);
                cr_expect_geq(after.large_, before.large_);
                cr_expect_geq(after.small_, before.small_);
            }
        }
    }
}

/// Guards against spares that can replace a lost member of one model only.
Test(prepared_conversions, leftover_engines_are_spares_of_both_models)
{
    const DemandMix mix;
    for (const auto &size : sizes) {
        const ShiftedDemandSimulation fleet(mix, 1, size);
        std::map<FabricDomain, std::size_t> spares;
        std::map<FabricDomain, bool> hasLarge;
        for (const auto &engine : fleet.engines()) {
            spares[engine.domain_] += !engine.membership_;
            hasLarge[engine.domain_]
                |= engine.membership_ && modelOf(engine.membership_->group_) == ModelName("m");
        }
        for (const auto &[domain, count] : spares) {
            if (hasLarge[domain])
                cr_expect_eq(count, size.enginesPerDomain_ % size.largeGroup_);
        }
    }
}

/// Guards against loads for reserves that take the capacity of engines without a model.
Test(prepared_conversions, both_models_are_served_while_engines_are_lost)
{
    const DemandMix mix;
    for (auto size : sizes) {
        size.losesEngines_ = true;
        const double small = size.largeGroup_ == 8 ? 20 : 30;
        const double large = size.largeGroup_ == 8 ? 4 : 2;
        ShiftedDemandSimulation fleet(mix, 1, size);
        fleet.run(10, demand(large, small));
        std::size_t steps = 0;
        std::size_t low = 0;
        fleet.run(60, demand(large, small), [&] {
            ++steps;
            const auto open = fleet.open();
            low += static_cast<double>(open.large_) < large
                   || static_cast<double>(open.small_) < small;
        });
        printOpen("after 70 s of losses", size, fleet.open());
        std::printf("  steps with less capacity than demand: %zu of %zu; formed %zu\n", low, steps,
                    fleet.formed_);
        (void)totalClosed(fleet);
        cr_expect_leq(low, steps / 20);
    }
}

/// Guards against conversions that begin to load only after the demand has shifted; the same
/// figures without prepared hosts are in KNOWN-RED.txt.
Test(prepared_conversions, callers_find_a_place_on_prepared_hosts_after_the_mix_has_shifted)
{
    FleetSize size;
    size.mayPrepareConversions_ = true;
    const DemandMix mix;
    const auto shifted = meanWaitingShares(mix, shiftedMix, {}, 0, size);
    const auto turned = meanWaitingShares(mix, shiftedMix, originalMix, loadSeconds, size);
    for (const auto &one : {shifted, turned})
        std::printf("prepared hosts: callers without a free slot, small model %.4f, large model "
                    "%.4f; groups closed %d\n",
                    one.small_, one.large_, one.conversions_);
    for (const auto &one : {shifted, turned}) {
        cr_expect_lt(one.small_, maxWaitingShare);
        cr_expect_lt(one.large_, maxWaitingShare);
    }
}

/// Guards against engines that are ordered twice or into a group whose members are missing; the
/// simulation checks each plan.
Test(prepared_conversions, orders_satisfy_invariants_while_the_demand_swings_and_engines_are_lost)
{
    const DemandMix mix;
    for (auto size : sizes) {
        size.losesEngines_ = true;
        const double small = size.largeGroup_ == 8 ? 16 : 28;
        const double large = size.largeGroup_ == 8 ? 4 : 2;
        for (std::uint64_t seed = 1; seed <= 5; ++seed) {
            ShiftedDemandSimulation fleet(mix, seed, size);
            for (int swing = 0; swing < 4; ++swing) {
                const int dark = (swing + static_cast<int>(seed)) % size.domains_;
                fleet.run(4, demand(large * 1.5, small * 0.5));
                fleet.darken(dark);
                fleet.run(8, demand(large * 0.5, small * 1.5));
                fleet.restore(dark);
                fleet.run(5, demand(large, small));
            }
            cr_expect_geq(fleet.open().large_, 1);
            cr_expect_geq(fleet.open().small_, 4);
        }
    }
}

/// Guards against groups that close and form with each swing of the demand in the second
/// deployment.
Test(prepared_conversions, few_groups_close_while_the_demand_swings_by_half)
{
    const DemandMix mix;
    ShiftedDemandSimulation fleet(mix, 1, large222);
    fleet.run(15, demand(2, 30));
    fleet.closes_.clear();
    for (int swing = 0; swing < 4; ++swing) {
        fleet.run(7.5, demand(2, 20));
        fleet.run(7.5, demand(2, 30));
    }
    printOpen("after four swings", large222, fleet.open());
    cr_expect_leq(totalClosed(fleet), 10);
}

/// Guards against a planner that is lost while groups close for others: the next one knows only
/// what the engines report.
Test(prepared_conversions, next_planner_completes_what_a_lost_one_has_begun)
{
    const DemandMix mix;
    for (const auto &size : sizes) {
        const double many = size.largeGroup_ == 8 ? 26 : 40;
        for (const double lostAfter : {0.5, 1.0, 2.0, 3.0, 4.0}) {
            ShiftedDemandSimulation fleet(mix, 1, size);
            fleet.run(15, demand(2, many));
            const auto before = fleet.open();
            fleet.run(lostAfter, demand(6, many / 2));
            fleet.replacePlanner();
            fleet.run(20 - lostAfter, demand(6, many / 2));
            printOpen("after the next planner", size, fleet.open());
            cr_expect_gt(fleet.open().large_, before.large_);
            cr_expect_geq(smallerCoverage(fleet.open(), 6, many / 2), 1);
        }
    }
}
