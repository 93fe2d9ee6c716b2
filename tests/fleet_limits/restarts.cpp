// Tests rate limits with real gateway processes that are killed and paused.
#include "fleet_platform/limit_checks.hpp"

#include <thread>

#include <criterion/criterion.h>

using namespace cardamombay;
using namespace cardamombay::test;
using std::chrono::milliseconds;
using std::chrono::seconds;

Test(limits, hold_again_after_gateways_were_killed_and_paused)
{
    Deployment deployment;
    limitAll(deployment);
    const Crowd crowd(deployment);
    std::this_thread::sleep_for(seconds(2));
    auto &harness = deployment.harness();
    harness.kill(deployment.gateway(0));
    harness.pause(deployment.gateway(1));
    deployment.startGateway(0);
    std::this_thread::sleep_for(milliseconds(1500));
    harness.resume(deployment.gateway(1));
    std::this_thread::sleep_for(seconds(3));
    limitAll(deployment);
    std::this_thread::sleep_for(seconds(8));
    check(deployment, seconds(8));
}
