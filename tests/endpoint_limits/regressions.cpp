// Tests that all entry VMs together keep to the endpoints' rate limits and make use of them.
#include "limit_simulation.hpp"

#include <cstdio>

#include <criterion/criterion.h>

using namespace cardamombay;
using namespace cardamombay::endpoint_limits;

namespace {

/// Below this limit, requests are seconds apart, so the used share depends on when the measurement
/// ends.
constexpr double minJudgedLimit = 1;
constexpr double minUsed = 0.8;

void check(const char *name, const Scenario &scenario, std::uint64_t seed)
{
    LimitSimulation simulation(scenario, seed);
    const auto all = simulation.run();
    print(name, scenario, all);
    std::printf("reservations asked for: %.1f a second\n",
                simulation.reservations() / toSeconds(simulation.time()));
    for (const auto &groupResult : all) {
        cr_expect_leq(groupResult.maxOverTarget_, 1, "limit %g", groupResult.limit_);
        cr_expect_leq(groupResult.maxOverBound_, 1, "limit %g", groupResult.limit_);
        cr_expect_gt(groupResult.used_, 0, "limit %g", groupResult.limit_);
        if (groupResult.limit_ >= minJudgedLimit)
            cr_expect_geq(groupResult.used_, minUsed, "limit %g", groupResult.limit_);
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
    check("uneven callers",
          {.entries_ = 74, .limits_ = {0.3, 3.4, 20}, .reachedEntriesShare_ = 0.1}, 4);
}

Test(endpoint_limits, limits_are_used_however_many_callers_are_refused)
{
    for (const double loadFactor : {4.0, 10.0, 30.0})
        check("many callers", {.entries_ = 3, .limits_ = {3, 3}, .asked_ = loadFactor}, 5);
}
