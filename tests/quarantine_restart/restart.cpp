// Real gateways before a stand-in of the users' platform: a request that ends engines, and a
// restart of all gateways.
#include "support/fleet_platform_deployment.hpp"

#include <thread>

#include <criterion/criterion.h>

using namespace cardamombay;
using namespace cardamombay::test;
using std::chrono::seconds;

namespace {

constexpr std::size_t wholeStream = 20;

/// Crashes in total and of each endpoint, for messages of failed tests.
std::string crashCounts(const EngineReport &report)
{
    std::string result = std::to_string(report.crashes_);
    for (const auto &[endpoint, count] : report.endpointCrashes_)
        result += ' ' + endpoint + '=' + std::to_string(count);
    return result;
}

} // namespace

/// What users saw is told in tests/crashing_requests/regressions.cpp; here with real processes.
Test(quarantine_restart, request_that_ends_engines_is_quarantined_also_after_a_restart_of_all)
{
    Deployment deployment;
    for (int i = 0; i < 12; ++i)
        (void)deployment.stream(static_cast<std::size_t>(i) % Deployment::gatewayCount,
                                "pill-" + std::to_string(i), "m", "key-a", "/stream/pill");
    const auto before = deployment.report();
    const auto crashes = before.crashes_;
    cr_assert_geq(crashes, 3, "before: %s", crashCounts(before).c_str());
    cr_assert_leq(crashes, 5, "before: %s", crashCounts(before).c_str());
    cr_assert_eq(deployment.stream(0, "pill-x", "m", "key-a", "/stream/pill").status_, 503);
    cr_assert_not(deployment.logLinesContaining(0, "event=request-quarantined").empty());
    // Its engines are back for others.
    cr_assert(support::waitUntil(
        [&] { return countSequentialEvents(deployment.stream(1, "other").body_) == wholeStream; }));
    std::this_thread::sleep_for(seconds(1));
    for (std::size_t number = 0; number < Deployment::gatewayCount; ++number)
        deployment.harness().kill(deployment.gateway(number));
    for (std::size_t number = 0; number < Deployment::gatewayCount; ++number)
        deployment.startGateway(number);
    cr_assert(support::waitUntil([&] {
        for (std::size_t number = 0; number < Deployment::gatewayCount; ++number) {
            if (!deployment.isReady(number)
                || countSequentialEvents(deployment.stream(number, "again").body_) != wholeStream)
                return false;
        }
        return true;
    }));
    for (std::size_t number = 0; number < Deployment::gatewayCount; ++number)
        cr_assert_eq(deployment.stream(number, "pill-again", "m", "key-a", "/stream/pill").status_,
                     503);
    const auto after = deployment.report();
    cr_assert_eq(after.crashes_, crashes, "before: %s; after: %s", crashCounts(before).c_str(),
                 crashCounts(after).c_str());
}
