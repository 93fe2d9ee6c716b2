// Real gateways before endpoints that limit the rate of requests.
#include "fleet_platform/limit_checks.hpp"

#include <thread>

#include <criterion/criterion.h>

using namespace cardamombay;
using namespace cardamombay::test;
using std::chrono::seconds;

Test(limits, gateways_together_keep_to_the_limits_of_endpoints_and_use_them)
{
    const Deployment deployment;
    limitAll(deployment);
    Crowd crowd(deployment);
    std::this_thread::sleep_for(seconds(3));
    limitAll(deployment);
    std::this_thread::sleep_for(seconds(8));
    check(deployment, seconds(8));
    cr_assert_gt(crowd.served_, 0);
    cr_assert_gt(crowd.refused_, 0);
    cr_assert_eq(crowd.others_, 0);
}
