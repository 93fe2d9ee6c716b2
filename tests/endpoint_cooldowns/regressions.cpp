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
