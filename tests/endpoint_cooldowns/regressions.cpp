// Tests that an entry VM sends nothing more to endpoints that request a cooldown or announce their
// shutdown.
#include "cooldown_simulation.hpp"

#include <criterion/criterion.h>

using namespace cardamombay;
using namespace cardamombay::endpoint_cooldowns;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

void check(const char *name, const Scenario &scenario, std::uint64_t seed)
{
    CooldownSimulation simulation(scenario, seed);
    const auto results = simulation.run();
    print(name, scenario, results);
    cr_expect_leq(results.maxRequestsInCooldown_, 2U);
    cr_expect_eq(results.afterGrace_, 0U);
    cr_expect_leq(results.latestLeaving_, milliseconds(100));
}

} // namespace

Test(endpoint_cooldowns, seven_entry_vms_leave_groups_alone_that_ask_for_it)
{
    for (const auto cooldown : {milliseconds(600), milliseconds(3000), milliseconds(30000)})
        check("even callers",
              {.entries_ = 7, .cooldown_ = cooldown, .outage_ = seconds(6), .asked_ = 150}, 1);
}

Test(endpoint_cooldowns, seventy_four_entry_vms_leave_groups_alone_that_ask_for_it)
{
    check("even callers",
          {.entries_ = 74,
           .groups_ = 40,
           .cooldown_ = seconds(3),
           .outage_ = seconds(6),
           .asked_ = 500},
          2);
}

Test(endpoint_cooldowns, groups_are_left_alone_beside_limits_and_leavings)
{
    check("limits and leavings",
          {.entries_ = 7,
           .cooldown_ = seconds(3),
           .outage_ = seconds(5),
           .asked_ = 150,
           .limits_ = {3, 20},
           .leaving_ = 3},
          3);
}

/// At least 99% of requests are served while a third of the groups refuse one or all entry VMs.
Test(endpoint_cooldowns, callers_are_served_by_other_groups_meanwhile)
{
    for (const std::size_t refused : {0, 1}) {
        const Scenario scenario{.entries_ = 74,
                                .groups_ = 40,
                                .refusingGroups_ = 13,
                                .cooldown_ = seconds(3),
                                .outage_ = seconds(15),
                                .asked_ = 200,
                                .refusesOnly_ = refused};
        CooldownSimulation simulation(scenario, 4);
        const auto results = simulation.run();
        print(refused == 0 ? "all are turned away" : "one is turned away", scenario, results);
        cr_expect_geq(static_cast<double>(results.served_),
                      0.99 * static_cast<double>(results.asked_));
        cr_expect_eq(results.afterGrace_, 0U);
    }
}

Test(endpoint_cooldowns, cooldowns_hold_while_datagrams_are_lost_and_entry_vms_are_paused)
{
    for (std::uint64_t seed = 1; seed <= 10; ++seed) {
        const Scenario scenario{.entries_ = 7,
                                .cooldown_ = seconds(3),
                                .outage_ = seconds(5),
                                .asked_ = 100,
                                .lossShare_ = 0.3,
                                .duration_ = seconds(12),
                                .limits_ = {3},
                                .leaving_ = 2};
        CooldownSimulation simulation(scenario, seed);
        Random random(seed);
        simulation.fault_ = [&] {
            if (random.below(100) == 0)
                simulation.fleet_.node(random.below(7)).clock_.setPaused(random.below(2) == 0);
        };
        const auto results = simulation.run();
        print("faults", scenario, results);
        cr_expect_eq(results.afterGrace_, 0U, "seed %lu", seed);
        cr_expect_leq(results.latestLeaving_, milliseconds(100), "seed %lu", seed);
    }
}
