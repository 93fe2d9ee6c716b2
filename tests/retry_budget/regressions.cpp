// Tests that the retries of a fleet stay within its budget, as counted at the endpoints, and that
// callers who need one get it.
#include "retry_simulation.hpp"

#include <criterion/criterion.h>

#include <cstdio>
#include <cstdlib>
#include <memory>
#include <numeric>
#include <span>
#include <sstream>

using namespace cardamombay;
using namespace cardamombay::retry_budget;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

/// Set to "FIRST COUNT" to play more seeds.
constexpr auto seedsVariable = "CARDAMOMBAY_SEEDS";

std::vector<std::uint64_t> seeds()
{
    std::uint64_t first = 1;
    std::uint64_t count = 1;
    if (const auto *wanted = std::getenv(seedsVariable))
        std::istringstream(wanted) >> first >> count;
    std::vector<std::uint64_t> result(count);
    std::iota(result.begin(), result.end(), first);
    return result;
}

/// Share of the budget that callers get where they need more and nothing disturbs the fleet.
constexpr double usedWithoutDisturbance = 0.75;
/// The same with half of the entry VMs just started.
constexpr double usedAfterRestarts = 0.6;

void print(const char *name, std::uint64_t seed, const Results &results)
{
    std::printf("%s, seed %llu: %zu requests, %zu served, %zu retries, most %.3f of the budget "
                "(from %.2f s), mean %.3f, least %.3f\n",
                name, static_cast<unsigned long long>(seed), results.requests_, results.served_,
                results.retries_, results.mostUsed_, toSeconds(results.mostUsedAt_),
                results.meanUsed_, results.leastUsed_);
}

using Disturbance = std::function<void(RetrySimulation &)>;

Results play(const char *name, const Scenario &scenario, std::uint64_t seed,
             const Disturbance &disturb = {})
{
    RetrySimulation simulation(scenario, seed);
    if (disturb)
        disturb(simulation);
    const auto results = simulation.run();
    print(name, seed, results);
    return results;
}

void expectWithinBudget(const char *name, const Scenario &scenario, const Disturbance &disturb)
{
    for (const auto seed : seeds()) {
        const auto results = play(name, scenario, seed, disturb);
        cr_expect_leq(results.mostUsed_, 1.0, "%s, seed %llu", name,
                      static_cast<unsigned long long>(seed));
    }
}

std::vector<std::size_t> entriesFrom(const RetrySimulation &simulation, std::size_t first,
                                     std::size_t step)
{
    std::vector<std::size_t> result;
    for (auto entry = first; entry < simulation.fleet_.size(); entry += step)
        result.push_back(entry);
    return result;
}

void killHalfRepeatedly(RetrySimulation &simulation)
{
    for (int i = 0; i < 6; ++i)
        simulation.at(seconds(2 + 4 * i),
                      [&simulation, i] { simulation.kill(entriesFrom(simulation, i % 2, 2)); });
}

void restartInTurn(RetrySimulation &simulation)
{
    for (std::size_t i = 0; i < 40; ++i) {
        simulation.at(milliseconds(2000 + 700 * static_cast<std::int64_t>(i)), [&simulation, i] {
            simulation.restartInOrder(i % simulation.fleet_.size());
        });
    }
}

/// Each leaves half a second after the one before, before the first one is back.
void restartOverlapping(RetrySimulation &simulation)
{
    simulation.scenario().gracePeriod_ = seconds(4);
    for (const auto round : {4, 16}) {
        for (std::size_t i = 0; i < 8; ++i) {
            simulation.at(seconds(round) + milliseconds(500 * static_cast<std::int64_t>(i)),
                          [&simulation, i] { simulation.restartInOrder(i); });
        }
    }
}

void killAll(RetrySimulation &simulation, std::span<const Duration> times)
{
    for (const auto time : times)
        simulation.at(time, [&simulation] { simulation.kill(entriesFrom(simulation, 0, 1)); });
}

std::set<std::size_t> firstHalf(const RetrySimulation &simulation)
{
    std::set<std::size_t> result;
    for (std::size_t entry = 0; entry < simulation.fleet_.size() / 2; ++entry)
        result.insert(entry);
    return result;
}

void cutInHalves(RetrySimulation &simulation)
{
    simulation.at(seconds(4), [&simulation] { simulation.cut(firstHalf(simulation)); });
    simulation.at(seconds(22), [&simulation] { simulation.heal(); });
}

/// An entry VM is killed while it is cut off, and comes back when the cut is over.
void killWhileCutOff(RetrySimulation &simulation)
{
    for (std::size_t i = 0; i < 3; ++i) {
        const auto begin = seconds(3 + 8 * static_cast<std::int64_t>(i));
        simulation.at(begin, [&simulation, i] { simulation.cut({i}); });
        simulation.at(begin + seconds(5), [&simulation, i] { simulation.kill({i}); });
        simulation.at(begin + milliseconds(5300), [&simulation] { simulation.heal(); });
    }
}

/// Kills, restarts, cuts, pauses and added entry VMs at random, several at the same time.
void disturbAtRandom(RetrySimulation &simulation, std::uint64_t seed)
{
    auto random = std::make_shared<Random>(seed);
    for (Duration time = seconds(1); time < seconds(28);
         time += milliseconds(200 + random->below(1000))) {
        const auto kind = random->below(7);
        const auto entry = random->below(simulation.fleet_.size());
        simulation.at(time, [&simulation, random, kind, entry] {
            switch (kind) {
            case 0:
                simulation.kill({entry});
                break;
            case 1:
                simulation.kill(entriesFrom(simulation, entry % 2, 2));
                break;
            case 2:
                simulation.cut({entry});
                break;
            case 3:
                simulation.heal();
                break;
            case 4:
                simulation.pause(entry, seconds(2));
                break;
            case 5:
                simulation.add("a");
                break;
            default:
                simulation.restartInOrder(entry);
            }
        });
    }
}

} // namespace

Test(retry_budget, calm_fleet_uses_its_budget)
{
    for (const auto seed : seeds()) {
        const auto results = play("calm", {}, seed);
        cr_expect_leq(results.mostUsed_, 1.0);
        cr_expect_geq(results.meanUsed_, usedWithoutDisturbance);
    }
}

Test(retry_budget, one_entry_vm_that_needs_all_retries_gets_them)
{
    for (const auto seed : seeds()) {
        Scenario scenario;
        scenario.failingEntries_ = {3};
        scenario.entryShare_ = 0.5;
        const auto results = play("one needs all", scenario, seed);
        cr_expect_leq(results.mostUsed_, 1.0);
        cr_expect_geq(results.leastUsed_, 0.6);
    }
}

Test(retry_budget, half_of_the_fleet_just_started_uses_the_budget)
{
    for (const auto seed : seeds()) {
        const auto results = play("half just started", {}, seed, [](RetrySimulation &simulation) {
            simulation.at(seconds(12),
                          [&simulation] { simulation.kill(entriesFrom(simulation, 0, 2)); });
        });
        cr_expect_leq(results.mostUsed_, 1.0);
        cr_expect_geq(results.leastUsed_, usedAfterRestarts);
    }
}

Test(retry_budget, killed_entry_vms_do_not_refill_the_budget)
{
    expectWithinBudget("half killed", {}, killHalfRepeatedly);
}

Test(retry_budget, entry_vms_restarted_in_turn_do_not_refill_the_budget)
{
    expectWithinBudget("restarted in turn", {}, restartInTurn);
}

Test(retry_budget, entry_vms_that_leave_together_do_not_refill_the_budget)
{
    expectWithinBudget("overlapping restarts", {}, restartOverlapping);
}

Test(retry_budget, fleet_killed_as_a_whole_does_not_refill_the_budget)
{
    constexpr Duration times[] = {seconds(6), seconds(13), seconds(20)};
    expectWithinBudget("all killed", {},
                       [&times](RetrySimulation &simulation) { killAll(simulation, times); });
}

/// Quota that was saved until then is spent just before the processes end.
Test(retry_budget, fleet_killed_after_a_burst_does_not_refill_the_budget)
{
    Scenario scenario;
    scenario.failsFrom_ = seconds(11);
    constexpr Duration times[] = {seconds(14)};
    expectWithinBudget("all killed after a burst", scenario,
                       [&times](RetrySimulation &simulation) { killAll(simulation, times); });
    expectWithinBudget("half killed after a burst", scenario, [](RetrySimulation &simulation) {
        simulation.at(milliseconds(12500),
                      [&simulation] { simulation.kill(entriesFrom(simulation, 0, 2)); });
        simulation.at(milliseconds(14500),
                      [&simulation] { simulation.kill(entriesFrom(simulation, 1, 2)); });
    });
    expectWithinBudget("restarted in turn after a burst", scenario, restartInTurn);
}

Test(retry_budget, halves_of_the_fleet_do_not_spend_the_budget_twice)
{
    expectWithinBudget("cut in halves", {}, cutInHalves);
}

Test(retry_budget, entry_vm_killed_behind_a_cut_does_not_refill_its_quota)
{
    expectWithinBudget("killed behind a cut", {}, killWhileCutOff);
}

Test(retry_budget, entry_vms_started_without_the_store_share_no_reserve)
{
    Scenario scenario;
    scenario.isStoreDown_ = true;
    constexpr Duration times[] = {seconds(2)};
    expectWithinBudget("killed while the store is down", scenario,
                       [&times](RetrySimulation &simulation) { killAll(simulation, times); });
}

Test(retry_budget, lost_datagrams_do_not_refill_the_budget)
{
    Scenario scenario;
    scenario.lossShare_ = 1.0 / 3;
    expectWithinBudget("a third lost, half killed", scenario, killHalfRepeatedly);
    expectWithinBudget("a third lost, restarted in turn", scenario, restartInTurn);
}

Test(retry_budget, disturbances_at_random_stay_within_the_budget)
{
    for (const auto seed : seeds()) {
        Scenario scenario;
        scenario.lossShare_ = seed % 2 == 0 ? 0.2 : 0.01;
        scenario.failsFrom_ = seed % 3 == 0 ? seconds(10) : seconds(0);
        const auto results = play("random", scenario, seed, [seed](RetrySimulation &simulation) {
            disturbAtRandom(simulation, seed);
        });
        cr_expect_leq(results.mostUsed_, 1.0, "seed %llu", static_cast<unsigned long long>(seed));
    }
}

/// Set to play a larger fleet.
constexpr auto entriesVariable = "CARDAMOMBAY_ENTRIES";

Test(retry_budget, large_fleet_with_a_small_reserve_stays_within_the_budget)
{
    Scenario scenario;
    scenario.entries_ = 74;
    if (const auto *wanted = std::getenv(entriesVariable))
        scenario.entries_ = std::stoul(wanted);
    scenario.zones_ = 5;
    scenario.groups_ = 60;
    scenario.callersPerSecond_ = 400;
    scenario.reserve_ = 4.5;
    scenario.length_ = seconds(20);
    const auto results = play("large fleet, half killed", scenario, 1, killHalfRepeatedly);
    cr_expect_leq(results.mostUsed_, 1.0);
    const auto calm = play("large fleet, calm", scenario, 1);
    cr_expect_leq(calm.mostUsed_, 1.0);
    cr_expect_geq(calm.meanUsed_, usedWithoutDisturbance);
}
