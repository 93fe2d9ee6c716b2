#include "support/caller_crowd.hpp"

#include <algorithm>
#include <functional>
#include <span>
#include <thread>

#include <criterion/criterion.h>
#include <criterion/logging.h>

using namespace cardamombay;
using namespace cardamombay::support;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

constexpr std::uint32_t callers = 8;
constexpr std::uint64_t seed = 11;

FleetPlan planWithSpares()
{
    FleetPlan plan;
    plan.enginesPerDomain_ = 6; // Two replicas of two VMs each, and two spare VMs.
    plan.plainsPerZone_ = 2;
    return plan;
}

void wait(Duration time)
{
    std::this_thread::sleep_for(time);
}

/// Number of idempotent streams that were cut off at their caller.
std::size_t countCutStreams(std::span<const CallRecord> calls)
{
    return static_cast<std::size_t>(
        std::count_if(calls.begin(), calls.end(), [](const auto &record) {
            const bool isBroken = record.status_ == 200 && !(record.isWhole_ && record.hasEnd_);
            return isBroken && !record.isNonIdempotent_;
        }));
}

/// Runs callers while \p injectFaults injects faults and until calls succeed again, then checks the
/// records.
std::vector<CallRecord> checkDuring(FleetPlan plan,
                                    const std::function<void(Fleet &)> &injectFaults)
{
    Fleet fleet(PROGRAM_FOLDER, SOURCE_FOLDER, std::move(plan));
    fleet.start();
    CallerCrowd crowd(fleet, seed, callers);
    cr_assert(waitUntil([&] { return crowd.successes() > 50; }));

    injectFaults(fleet);

    const auto before = crowd.successes();
    const bool hasRecovered = waitUntil([&] { return crowd.successes() > before + 50; });
    auto calls = crowd.stop();
    const auto violations = compareLedgers(fleet.runs(), calls);
    cr_log_info("seed %llu, %s", static_cast<unsigned long long>(seed), summarize(calls).c_str());
    cr_expect(hasRecovered, "calls did not succeed again after the faults");
    cr_assert(violations.empty(), "seed %llu, %s\n%s", static_cast<unsigned long long>(seed),
              summarize(calls).c_str(), describe(violations).c_str());
    return calls;
}

} // namespace

Test(ledger, holds_without_any_fault)
{
    checkDuring(planWithSpares(), [](Fleet &) { wait(seconds(2)); });
}

Test(ledger, holds_when_engines_are_killed_and_come_back)
{
    const auto calls = checkDuring(planWithSpares(), [](Fleet &fleet) {
        for (const std::size_t index : {0, 3, 1}) {
            fleet.harness().kill(fleet.engines()[index].process_);
            wait(milliseconds(1500));
            fleet.restart(fleet.engines()[index]);
        }
    });
    cr_assert_eq(countCutStreams(calls), 0, "streams with a seed were not resumed elsewhere");
}

Test(ledger, holds_when_engines_are_paused_and_resumed)
{
    const auto calls = checkDuring(planWithSpares(), [](Fleet &fleet) {
        for (const std::size_t index : {0, 2}) {
            fleet.harness().pause(fleet.engines()[index].process_);
            wait(seconds(4));
            fleet.harness().resume(fleet.engines()[index].process_);
            wait(milliseconds(500));
        }
    });
    cr_assert_eq(countCutStreams(calls), 0, "streams with a seed were not resumed elsewhere");
}

Test(ledger, holds_when_entry_vms_are_killed_and_replaced)
{
    checkDuring(planWithSpares(), [](Fleet &fleet) {
        for (const std::size_t index : {0, 1}) {
            fleet.harness().kill(fleet.entries()[index].process_);
            wait(seconds(1));
            fleet.restart(fleet.entries()[index]);
            wait(seconds(2));
        }
    });
}

Test(ledger, holds_when_an_entry_vm_is_paused_past_its_lease)
{
    auto plan = planWithSpares();
    plan.settings_ = "[intervals]\nlease_term = \"6s\"\n";
    checkDuring(plan, [](Fleet &fleet) {
        fleet.harness().pause(fleet.entries()[0].process_);
        wait(seconds(9));
        fleet.harness().resume(fleet.entries()[0].process_);
        wait(seconds(1));
    });
}

Test(ledger, holds_when_the_store_is_down_and_loses_answers)
{
    checkDuring(planWithSpares(), [](Fleet &fleet) {
        Caller platform(fleet.platform().address_);
        platform.post("/test/faults", R"({"lose_answers":true})");
        wait(seconds(2));
        platform.post("/test/faults", R"({"lose_answers":false,"down":true})");
        wait(seconds(3));
        platform.post("/test/faults", R"({"down":false})");
    });
}

Test(ledger, holds_when_endpoints_misbehave)
{
    checkDuring(planWithSpares(), [](Fleet &fleet) {
        for (const char *kind : {"wrong-attempt", "no-attempt", "truncated", "cut",
                                 "duplicated-events", "skipped-event", "refuse"}) {
            const std::string body = std::string(R"({"count":6,"kind":")") + kind + "\"}";
            for (auto *nodes : {&fleet.engines(), &fleet.plains()}) {
                for (const auto &node : *nodes)
                    Caller(node.address_).post("/test/behaviour", body);
            }
            wait(milliseconds(700));
        }
    });
}

Test(ledger, graceful_shutdown_of_an_entry_vm_cuts_off_no_call)
{
    Fleet fleet(PROGRAM_FOLDER, SOURCE_FOLDER, planWithSpares());
    fleet.start();
    CallerCrowd crowd(fleet, seed, callers);
    cr_assert(waitUntil([&] { return crowd.successes() > 50; }));

    fleet.harness().terminate(fleet.entries()[0].process_);
    const int status = fleet.harness().waitForExit(fleet.entries()[0].process_);
    const auto calls = crowd.stop();

    std::size_t cut = 0;
    for (const auto &record : calls)
        cut += record.status_ == 200 && !(record.isWhole_ && record.hasEnd_) ? 1 : 0;
    const auto violations = compareLedgers(fleet.runs(), calls);
    cr_expect_eq(status, 0);
    cr_expect_eq(cut, 0, "%s", summarize(calls).c_str());
    cr_assert(violations.empty(), "%s", describe(violations).c_str());
}
