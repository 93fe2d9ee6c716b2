// Real gateways before endpoints that ask for a pause, or say that they leave.
#include "fleet_platform/crowd.hpp"

#include <algorithm>
#include <cstdio>

#include <criterion/criterion.h>

using namespace cardamombay;
using namespace cardamombay::test;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

/// What three callers of each gateway may have under way when the first is turned away.
constexpr std::size_t underWay = 3 * Deployment::gatewayCount;

std::size_t arrivedAt(const Deployment &deployment, const std::string &endpoint)
{
    const auto result = deployment.report().arrivals_.at(endpoint).size();
    std::printf("%s got %zu\n", endpoint.c_str(), result);
    return result;
}

} // namespace

Test(notices, gateways_leave_an_endpoint_alone_that_asks_for_a_pause)
{
    const Deployment deployment;
    const Crowd crowd(deployment);
    std::this_thread::sleep_for(milliseconds(500));
    deployment.tell("cooldown/p-0", "3");
    std::this_thread::sleep_for(milliseconds(2400));
    const auto got = arrivedAt(deployment, "p-0");
    cr_assert_geq(got, 1);
    cr_assert_leq(got, underWay);
    cr_assert_eq(crowd.refused_, 0);
    cr_assert_eq(crowd.others_, 0);
    std::this_thread::sleep_for(milliseconds(2500));
    cr_assert_gt(arrivedAt(deployment, "p-0"), underWay);
}

Test(notices, callers_are_refused_at_once_if_all_endpoints_ask_for_a_long_pause)
{
    const Deployment deployment;
    deployment.tell("cooldown/p-0", "30");
    deployment.tell("cooldown/p-1", "30");
    (void)deployment.call(0, "/once/1", "first");
    const auto before = std::chrono::steady_clock::now();
    const auto result = deployment.call(0, "/once/1", "second");
    cr_assert_eq(result.status_, 503);
    cr_assert_lt(std::chrono::steady_clock::now() - before, milliseconds(200));
    cr_assert_leq(arrivedAt(deployment, "p-0") + arrivedAt(deployment, "p-1"), 2);
}

Test(notices, gateways_send_nothing_more_to_an_endpoint_that_says_it_leaves)
{
    const Deployment deployment;
    const Crowd crowd(deployment);
    deployment.tell("leaving/p-0");
    std::this_thread::sleep_for(milliseconds(1000));
    deployment.tell("leaving/p-0");
    std::this_thread::sleep_for(milliseconds(1500));
    cr_assert_eq(arrivedAt(deployment, "p-0"), 0);
    cr_assert_gt(crowd.served_, 0);
    cr_assert_eq(crowd.others_, 0);
}
