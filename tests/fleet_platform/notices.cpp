// Real gateways before endpoints that ask for a pause, or say that they leave.
#include "fleet_platform/arrivals.hpp"

#include <algorithm>
#include <cstdio>

#include <criterion/criterion.h>

using namespace cardamombay;
using namespace cardamombay::test;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

/// Log lines of a gateway since it knows that \p endpoint leaves.
std::vector<std::string> linesSinceTold(const Deployment &deployment, std::size_t gateway,
                                        const std::string &endpoint)
{
    auto lines = deployment.logLinesContaining(gateway, "event=");
    const auto told = std::find_if(lines.begin(), lines.end(), [&](const auto &line) {
        return line.find("event=endpoint-says-leaving endpoint=" + endpoint) != std::string::npos;
    });
    lines.erase(lines.begin(), told);
    return lines;
}

std::size_t gatewaysTold(const Deployment &deployment, const std::string &endpoint)
{
    std::size_t result = 0;
    for (std::size_t number = 0; number < Deployment::gatewayCount; ++number)
        result += linesSinceTold(deployment, number, endpoint).empty() ? 0 : 1;
    return result;
}

/// Requests that a gateway sent to \p endpoint although it knew that it leaves. The answer that
/// tells it is known before its own request is finished, and each gateway has one caller of the
/// plain route: the first plain request that is finished after the line is the one that told.
std::size_t sentAfterTold(const Deployment &deployment, std::size_t gateway,
                          const std::string &endpoint)
{
    auto lines = linesSinceTold(deployment, gateway, endpoint);
    std::erase_if(lines, [](const auto &line) {
        return line.find("event=request-finished ") == std::string::npos
               || line.find(" route=once ") == std::string::npos;
    });
    if (!lines.empty())
        lines.erase(lines.begin());
    const auto result = std::count_if(lines.begin(), lines.end(), [&](const auto &line) {
        return line.find(" endpoint=" + endpoint + " ") != std::string::npos;
    });
    std::printf("gateway %zu: %zu plain requests finished since told, %zu at %s\n", gateway,
                lines.size(), static_cast<std::size_t>(result), endpoint.c_str());
    return static_cast<std::size_t>(result);
}

} // namespace

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
    const bool isTold
        = support::waitUntil([&] { return gatewaysTold(deployment, "p-0") > 0; }, seconds(10));
    std::this_thread::sleep_for(milliseconds(2500));
    // A gateway learns it only from an answer to itself, and may take long to come to p-0: one
    // request of each, which is the one that tells it, is allowed at any time.
    const auto got = arrivedAt(deployment, "p-0");
    cr_expect(isTold);
    cr_expect_leq(got, Deployment::gatewayCount);
    cr_expect(
        support::waitUntil([&] { return gatewaysTold(deployment, "p-0") >= got; }, seconds(10)));
    for (std::size_t number = 0; number < Deployment::gatewayCount; ++number)
        cr_expect_eq(sentAfterTold(deployment, number, "p-0"), 0);
    cr_assert_gt(crowd.served_, 0);
    cr_assert_eq(crowd.others_, 0);
}
