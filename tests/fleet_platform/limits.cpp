// Real gateways before endpoints that limit the rate of requests.
#include "crowd.hpp"

#include <algorithm>
#include <cstdio>
#include <thread>

#include <criterion/criterion.h>

using namespace cardamombay;
using namespace cardamombay::test;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

constexpr double limitOfPlain = 3;
constexpr double limitOfEngines = 2;

std::size_t mostWithin(const std::vector<std::int64_t> &arrivals, std::int64_t window)
{
    std::size_t most = 0;
    for (std::size_t first = 0, last = 0; last < arrivals.size(); ++last) {
        while (arrivals[last] - arrivals[first] > window)
            ++first;
        most = std::max(most, last - first + 1);
    }
    return most;
}

/// All endpoints name their limits, and count from then on.
void limitAll(const Deployment &deployment)
{
    for (const auto *plain : {"p-0", "p-1"})
        deployment.tell(std::string("limit/") + plain, std::to_string(limitOfPlain));
    for (const auto &[id, port] : deployment.report().ports_) {
        if (id.starts_with("e-"))
            deployment.tell("limit/" + id, std::to_string(limitOfEngines));
    }
}

/// What the users' platform allows in four seconds.
double allowed(double perSecond)
{
    return 1.5 * 4 * perSecond + 5;
}

void check(const Deployment &deployment, Duration time)
{
    std::size_t atPlain = 0;
    for (const auto &[id, arrivals] : deployment.report().arrivals_) {
        const bool isPlain = id.starts_with("p-");
        const auto most = mostWithin(arrivals, 4000);
        cr_expect_leq(static_cast<double>(most), allowed(isPlain ? limitOfPlain : limitOfEngines),
                      "%s got %zu", id.c_str(), most);
        atPlain += isPlain ? arrivals.size() : 0;
    }
    const auto share = static_cast<double>(atPlain) / (2 * limitOfPlain * toSeconds(time));
    std::printf("share of the plain endpoints' limits that was used: %.2f\n", share);
    cr_expect_geq(share, 0.6);
}

} // namespace

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
