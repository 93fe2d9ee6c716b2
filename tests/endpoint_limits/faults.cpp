// Tests rate limits under entry VM pauses, message loss and limit changes.
#include "limit_simulation.hpp"

#include <cstdio>
#include <cstdlib>

#include <criterion/criterion.h>

using namespace cardamombay;
using namespace cardamombay::endpoint_limits;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

void checkBound(const std::vector<GroupResult> &all, double minUsed, std::uint64_t seed = 0)
{
    for (const auto &groupResult : all) {
        cr_expect_leq(groupResult.maxOverBound_, 1, "limit %g, seed %lu", groupResult.limit_, seed);
        if (groupResult.limit_ >= 1)
            cr_expect_geq(groupResult.used_, minUsed, "limit %g, seed %lu", groupResult.limit_,
                          seed);
    }
}

/// Runs several rounds in which entry VMs are paused or datagrams lost.
std::vector<GroupResult> runWithFaults(const Scenario &scenario, std::uint64_t seed)
{
    LimitSimulation simulation(scenario, seed);
    Random random(seed);
    simulation.pass(seconds(4));
    (void)simulation.takeResults();
    for (int round = 0; round < 6; ++round) {
        std::vector<std::size_t> paused;
        if (random.below(3) > 0) {
            paused.push_back(random.below(scenario.entries_));
            if (random.below(2) == 0)
                paused.push_back(simulation.owner(random.below(scenario.limits_.size())));
        }
        simulation.fleet_.faults_.lossShare_ = random.below(2) == 0 ? 0.3 : 0.01;
        for (const auto index : paused)
            simulation.fleet_.node(index % scenario.entries_).clock_.setPaused(true);
        simulation.pass(milliseconds(300 + random.below(3500)));
        for (const auto index : paused)
            simulation.fleet_.node(index % scenario.entries_).clock_.setPaused(false);
        simulation.fleet_.faults_.lossShare_ = 0.01;
        simulation.pass(milliseconds(random.below(1500)));
    }
    return simulation.takeResults();
}

std::uint64_t seedCount()
{
    const auto *text = std::getenv("LIMIT_SEEDS");
    return text == nullptr ? 10 : std::strtoull(text, nullptr, 10);
}

} // namespace

Test(endpoint_limits_in_trouble, one_in_ten_datagrams_lost_exceeds_no_limit)
{
    const Scenario scenario{.entries_ = 7, .limits_ = {0.3, 1.9, 20, 50}, .lossShare_ = 0.1};
    LimitSimulation simulation(scenario, 5);
    const auto all = simulation.run();
    print("lost datagrams", scenario, all);
    for (const auto &groupResult : all)
        cr_expect_leq(groupResult.maxOverTarget_, 1, "limit %g", groupResult.limit_);
    checkBound(all, 0.8);
}

Test(endpoint_limits_in_trouble, paused_owner_is_replaced_and_takes_its_place_again)
{
    for (const std::size_t entries : {7, 74}) {
        const Scenario scenario{.entries_ = entries, .limits_ = {20}};
        LimitSimulation simulation(scenario, 6);
        simulation.pass(seconds(4));
        auto &owner = simulation.fleet_.node(simulation.owner(0));
        (void)simulation.takeResults();
        owner.clock_.setPaused(true);
        simulation.pass(seconds(8));
        const auto paused = simulation.takeResults();
        print("owner paused", scenario, paused);
        checkBound(paused, 0.6);
        owner.clock_.setPaused(false);
        simulation.pass(seconds(8));
        const auto back = simulation.takeResults();
        print("owner back", scenario, back);
        checkBound(back, 0.8);
    }
}

/// Guards against an endpoint that gets nothing since its owner runs on a loaded machine.
Test(endpoint_limits_in_trouble, limit_is_used_although_its_owner_is_paused_again_and_again)
{
    const Scenario scenario{.entries_ = 7, .limits_ = {3, 20}};
    for (const auto pause : {milliseconds(350), milliseconds(450), milliseconds(600)}) {
        for (const auto running : {milliseconds(300), milliseconds(600), milliseconds(1200)}) {
            LimitSimulation simulation(scenario, 6);
            simulation.pass(seconds(4));
            auto &owner = simulation.fleet_.node(simulation.owner(0));
            (void)simulation.takeResults();
            for (Duration passed{}; passed < seconds(12); passed += pause + running) {
                owner.clock_.setPaused(true);
                simulation.pass(pause);
                owner.clock_.setPaused(false);
                simulation.pass(running);
            }
            const auto all = simulation.takeResults();
            std::printf("pauses of %lld ms, %lld ms apart: ", static_cast<long long>(pause.count()),
                        static_cast<long long>(running.count()));
            print("owner paused", scenario, all);
            checkBound(all, 0.6);
        }
    }
}

Test(endpoint_limits_in_trouble, limit_that_falls_and_rises_is_followed)
{
    Scenario scenario{.entries_ = 74, .limits_ = {20, 20}};
    LimitSimulation simulation(scenario, 7);
    simulation.pass(seconds(4));
    simulation.setLimit(0, 2);
    simulation.pass(seconds(3));
    (void)simulation.takeResults();
    simulation.pass(seconds(10));
    const auto fallen = simulation.takeResults();
    print("fallen", scenario, fallen);
    checkBound(fallen, 0.8);
    simulation.setLimit(0, 40);
    simulation.pass(seconds(3));
    (void)simulation.takeResults();
    simulation.pass(seconds(10));
    const auto risen = simulation.takeResults();
    print("risen", scenario, risen);
    checkBound(risen, 0.8);
}

Test(endpoint_limits_in_trouble, groups_are_used_without_bound_once_they_name_no_limit)
{
    const Scenario scenario{.entries_ = 74, .limits_ = {2, 20}, .asked_ = 5};
    LimitSimulation simulation(scenario, 8);
    simulation.pass(seconds(4));
    simulation.setLimit(0, -1);
    simulation.pass(seconds(3));
    (void)simulation.takeResults();
    simulation.pass(seconds(5));
    const auto all = simulation.takeResults();
    cr_assert_geq(all[0].used_,
                  50); // Relative to 1 request per second, the reference without a limit.
}

Test(endpoint_limits_in_trouble, callers_get_an_answer_or_a_refusal_in_time)
{
    const Scenario scenario{.entries_ = 74, .limits_ = {0.3, 1.9}, .asked_ = 10};
    LimitSimulation simulation(scenario, 9);
    simulation.pass(seconds(6));
    cr_assert_leq(simulation.waiting(), 60);
    simulation.setLimit(0, 0);
    simulation.setLimit(1, 0);
    simulation.pass(seconds(3));
    cr_assert_eq(simulation.waiting(), 0);
}

Test(endpoint_limits_in_trouble, random_faults_exceed_no_limit, .timeout = 0)
{
    double most = 0;
    double least = 1;
    for (std::uint64_t seed = 1; seed <= seedCount(); ++seed) {
        const Scenario scenario{.entries_ = seed % 2 == 0 ? 7U : 74U, .limits_ = {0.3, 1.9, 20}};
        const auto all = runWithFaults(scenario, seed);
        for (const auto &groupResult : all) {
            most = std::max(most, groupResult.maxOverBound_);
            if (groupResult.limit_ >= 1)
                least = std::min(least, groupResult.used_);
        }
        checkBound(all, 0.4, seed);
    }
    std::printf("random faults: most in 4 s %.2f of what is allowed, least used %.2f\n", most,
                least);
}
