// Real gateways before an endpoint that asks for a pause and is used again after it.
#include "fleet_platform/arrivals.hpp"

#include <criterion/criterion.h>

using namespace cardamombay;
using namespace cardamombay::test;
using std::chrono::milliseconds;

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
