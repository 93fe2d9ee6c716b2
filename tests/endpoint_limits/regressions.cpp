// Limits of the rate that endpoints name: kept by all entry VMs together, and used.
#include "limit_play.hpp"

#include <cstdio>

#include <criterion/criterion.h>

using namespace cardamombay;
using namespace cardamombay::endpoint_limits;

namespace {

/// An endpoint that takes so few requests gets the next one seconds later, so that the share that
/// is used depends on the moment.
constexpr double leastJudgedLimit = 1;
constexpr double leastUsed = 0.8;

void check(const char *name, const Scene &scene, std::uint64_t seed)
{
    LimitPlay play(scene, seed);
    const auto all = play.run();
    print(name, scene, all);
    std::printf("reservations asked for: %.1f a second\n",
                play.reservations() / toSeconds(play.time()));
    for (const auto &got : all) {
        cr_expect_leq(got.mostOverAim_, 1, "limit %g", got.limit_);
        cr_expect_leq(got.mostOverRule_, 1, "limit %g", got.limit_);
        cr_expect_gt(got.used_, 0, "limit %g", got.limit_);
        if (got.limit_ >= leastJudgedLimit)
            cr_expect_geq(got.used_, leastUsed, "limit %g", got.limit_);
    }
}

} // namespace

Test(endpoint_limits, seven_entry_vms_together_keep_to_the_limits_and_use_them)
{
    check("even callers", {.entries_ = 7, .limits_ = {0.3, 1.9, 20, 50}}, 1);
}

Test(endpoint_limits, seventy_four_entry_vms_together_keep_to_the_limits_and_use_them)
{
    check("even callers", {.entries_ = 74, .limits_ = {0.3, 1.9, 20, 50}}, 2);
}

Test(endpoint_limits, a_fleet_of_195_keeps_to_the_limits_and_uses_them)
{
    check("even callers", {.entries_ = 195, .limits_ = {0.3, 1.9, 20, 50}}, 3);
}

Test(endpoint_limits, limits_are_used_if_callers_come_to_few_entry_vms)
{
    check("uneven callers", {.entries_ = 74, .limits_ = {0.3, 3.4, 20}, .callersAtShare_ = 0.1}, 4);
}

Test(endpoint_limits, limits_are_used_however_many_callers_are_refused)
{
    for (const double asked : {4.0, 10.0, 30.0})
        check("many callers", {.entries_ = 3, .limits_ = {3, 3}, .asked_ = asked}, 5);
}
