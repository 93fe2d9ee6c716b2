// Endpoints that ask an entry VM for a pause, or say that they leave, get nothing more from it.
#include "cooldown_play.hpp"

#include <criterion/criterion.h>

using namespace cardamombay;
using namespace cardamombay::endpoint_cooldowns;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

void check(const char *name, const Scene &scene, std::uint64_t seed)
{
    CooldownPlay play(scene, seed);
    const auto seen = play.run();
    print(name, scene, seen);
    cr_expect_leq(seen.mostInCooldown_, 2U);
    cr_expect_eq(seen.inSpite_, 0U);
    cr_expect_leq(seen.latestLeaving_, milliseconds(100));
}

} // namespace

Test(endpoint_cooldowns, seven_entry_vms_leave_groups_alone_that_ask_for_it)
{
    for (const auto cooldown : {milliseconds(600), milliseconds(3000), milliseconds(30000)})
        check("even callers",
              {.entries_ = 7, .cooldown_ = cooldown, .need_ = seconds(6), .asked_ = 150}, 1);
}

Test(endpoint_cooldowns, seventy_four_entry_vms_leave_groups_alone_that_ask_for_it)
{
    check("even callers",
          {.entries_ = 74,
           .groups_ = 40,
           .cooldown_ = seconds(3),
           .need_ = seconds(6),
           .asked_ = 500},
          2);
}

Test(endpoint_cooldowns, groups_are_left_alone_beside_limits_and_leavings)
{
    check("limits and leavings",
          {.entries_ = 7,
           .cooldown_ = seconds(3),
           .need_ = seconds(5),
           .asked_ = 150,
           .limits_ = {3, 20},
           .leaving_ = 3},
          3);
}

/// Callers are hardly refused while a third of the groups turns entry VMs away, one or all.
Test(endpoint_cooldowns, callers_are_served_by_other_groups_meanwhile)
{
    for (const std::size_t refused : {0, 1}) {
        const Scene scene{.entries_ = 74,
                          .groups_ = 40,
                          .cooling_ = 13,
                          .cooldown_ = seconds(3),
                          .need_ = seconds(15),
                          .asked_ = 200,
                          .refusesOnly_ = refused};
        CooldownPlay play(scene, 4);
        const auto seen = play.run();
        print(refused == 0 ? "all are turned away" : "one is turned away", scene, seen);
        cr_expect_geq(static_cast<double>(seen.served_), 0.99 * static_cast<double>(seen.asked_));
        cr_expect_eq(seen.inSpite_, 0U);
    }
}

Test(endpoint_cooldowns, cooldowns_hold_while_datagrams_are_lost_and_entry_vms_are_paused)
{
    for (std::uint64_t seed = 1; seed <= 10; ++seed) {
        const Scene scene{.entries_ = 7,
                          .cooldown_ = seconds(3),
                          .need_ = seconds(5),
                          .asked_ = 100,
                          .lossShare_ = 0.3,
                          .length_ = seconds(12),
                          .limits_ = {3},
                          .leaving_ = 2};
        CooldownPlay play(scene, seed);
        Random random(seed);
        play.fault_ = [&] {
            if (random.below(100) == 0)
                play.fleet_.node(random.below(7)).clock_.setPaused(random.below(2) == 0);
        };
        const auto seen = play.run();
        print("faults", scene, seen);
        cr_expect_eq(seen.inSpite_, 0U, "seed %lu", seed);
        cr_expect_leq(seen.latestLeaving_, milliseconds(100), "seed %lu", seed);
    }
}
