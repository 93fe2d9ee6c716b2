// Real gateways before a stand-in of the users' platform: groups, streams, changes, stops, losses.
#include "support/fleet_platform_deployment.hpp"

#include <atomic>
#include <thread>

#include <criterion/criterion.h>

using namespace cardamombay;
using namespace cardamombay::test;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

constexpr std::size_t wholeStream = 20;

/// Callers at one gateway, one stream after the other, until they are stopped.
class Callers
{
public:
    Callers(const Deployment &deployment, std::size_t gateway, std::string name)
        : thread_([this, &deployment, gateway, name = std::move(name)] {
            for (int i = 0; !isStopped_; ++i) {
                const auto id = name + "-" + std::to_string(i);
                const auto result = deployment.stream(gateway, id);
                if (result.status_ == 200 && result.isWhole_
                    && countSequentialEvents(result.body_) == wholeStream)
                    ++whole_;
                else if (result.status_ == 503 || result.status_ == 0)
                    ++notRun_;
                else
                    ++broken_;
            }
        })
    {
    }
    ~Callers() { stop(); }
    Callers(const Callers &) = delete;
    Callers &operator=(const Callers &) = delete;

    void stop()
    {
        isStopped_ = true;
        if (thread_.joinable())
            thread_.join();
    }

    std::atomic<int> whole_ = 0;
    std::atomic<int> notRun_ = 0;
    std::atomic<int> broken_ = 0;

private:
    std::atomic<bool> isStopped_ = false;
    std::thread thread_;
};

} // namespace

Test(fleet_platform, streams_come_whole_and_calls_run_once)
{
    const Deployment deployment;
    for (std::size_t gateway = 0; gateway < Deployment::gatewayCount; ++gateway) {
        const auto result = deployment.stream(gateway, "s-" + std::to_string(gateway));
        cr_assert_eq(countSequentialEvents(result.body_), wholeStream);
        cr_assert_neq(result.field("X-Response-Seal"), "");
        const auto once = deployment.call(gateway, "/once/1", "o-" + std::to_string(gateway));
        cr_assert_eq(once.status_, 200);
        cr_assert_eq(once.body_, "team-a");
    }
    const auto report = deployment.report();
    cr_assert(report.violations_.empty(), "%s", report.violations_.front().c_str());
    for (const auto &[id, runs] : report.runs_) {
        if (id.starts_with("o-"))
            cr_assert_eq(runs, 1);
    }
}

Test(fleet_platform, configuration_is_in_force_everywhere_and_taken_keys_end)
{
    const Deployment deployment;
    cr_assert_eq(deployment.call(0, "/extra/1", "a").status_, 404);
    deployment.configure(2, "/extra/");
    const auto isServed = [&deployment] {
        for (std::size_t gateway = 0; gateway < Deployment::gatewayCount; ++gateway) {
            if (deployment.call(gateway, "/extra/1", "b").status_ != 200)
                return false;
        }
        return true;
    };
    cr_assert(support::waitUntil(isServed, seconds(2)));
    deployment.configure(3, "/extra/", false);
    const auto isRefused = [&deployment] {
        for (std::size_t gateway = 0; gateway < Deployment::gatewayCount; ++gateway) {
            if (deployment.call(gateway, "/extra/1", "c").status_ != 401
                || deployment.call(gateway, "/extra/1", "d", "key-c").status_ != 200)
                return false;
        }
        return true;
    };
    cr_assert(support::waitUntil(isRefused, seconds(2)));
}

Test(fleet_platform, gateway_that_is_asked_to_stop_cuts_off_no_request)
{
    Deployment deployment;
    Callers callers(deployment, 1, "t");
    cr_assert(support::waitUntil([&callers] { return callers.whole_ > 2; }));
    deployment.harness().terminate(deployment.gateway(1));
    cr_assert(support::waitUntil([&deployment] { return !deployment.isReady(1); }));
    cr_assert_eq(deployment.harness().waitForExit(deployment.gateway(1)), 0);
    callers.stop();
    cr_assert_eq(callers.broken_, 0);
    cr_assert_eq(deployment.logLinesContaining(1, "event=daemon-stopped").size(), 1);
}

Test(fleet_platform, streams_outlive_a_member_that_falls_silent)
{
    const Deployment deployment;
    Callers first(deployment, 0, "a");
    Callers second(deployment, 1, "b");
    Callers third(deployment, 2, "c");
    for (const auto *engine : {"e-0-0", "e-0-3", "e-1-1"}) {
        std::this_thread::sleep_for(seconds(1));
        deployment.tell(std::string("silence/") + engine);
        std::this_thread::sleep_for(milliseconds(1500));
        deployment.tell(std::string("expire/") + engine);
    }
    std::this_thread::sleep_for(seconds(1));
    const int before = first.whole_ + second.whole_ + third.whole_;
    cr_assert(support::waitUntil(
        [&] { return first.whole_ + second.whole_ + third.whole_ > before + 3; }));
    for (auto *callers : {&first, &second, &third}) {
        callers->stop();
        cr_assert_eq(callers->broken_, 0);
        cr_assert_gt(callers->whole_, 3);
    }
    const auto report = deployment.report();
    cr_assert(report.violations_.empty(), "%s", report.violations_.front().c_str());
}

Test(fleet_platform, killed_planner_is_replaced_and_a_restarted_gateway_serves)
{
    Deployment deployment;
    for (std::size_t gateway = 0; gateway < Deployment::gatewayCount; ++gateway) {
        if (deployment.logLinesContaining(gateway, "event=planner-lease-gained").empty())
            continue;
        deployment.harness().kill(deployment.gateway(gateway));
        deployment.tell("silence/e-0-0");
        deployment.tell("expire/e-0-0");
        const auto other = (gateway + 1) % Deployment::gatewayCount;
        cr_assert(support::waitUntil([&] {
            return countSequentialEvents(deployment.stream(other, "k").body_) == wholeStream
                   && countSequentialEvents(deployment.stream(other, "k", "n").body_)
                          == wholeStream;
        }));
        deployment.startGateway(gateway);
        cr_assert(support::waitUntil([&] { return deployment.isReady(gateway); }));
        cr_assert_eq(countSequentialEvents(deployment.stream(gateway, "k").body_), wholeStream);
        break;
    }
    cr_assert(deployment.report().violations_.empty());
}

Test(fleet_platform, keys_are_not_trusted_while_the_store_is_away_for_long)
{
    const Deployment deployment;
    deployment.tell("outage/503");
    cr_assert_eq(deployment.call(0, "/once/1", "e").status_, 200);
    const auto isRefused = [&deployment] {
        return deployment.call(0, "/once/1", "f").status_ == 503 && !deployment.isReady(0);
    };
    cr_assert(support::waitUntil(isRefused, seconds(8)));
    deployment.tell("outage/0");
    cr_assert(support::waitUntil(
        [&deployment] { return deployment.call(0, "/once/1", "g").status_ == 200; }, seconds(3)));
}
