// Guards against a part of a prompt that crashes every endpoint that begins an answer on it, in
// requests that are otherwise all different.
#include "support/part_callers.hpp"

#include <criterion/criterion.h>

using namespace cardamombay;
using namespace cardamombay::crashing;
using namespace cardamombay::support;
using std::chrono::milliseconds;
using std::chrono::seconds;

Test(prompt_parts, different_requests_with_a_deadly_part_stop_reaching_endpoints)
{
    assertContained(simulateAll(deadlyLoad(), 20, "deadly part, 7 entry VMs"));
}

Test(prompt_parts, deadly_part_is_found_if_endpoints_crash_before_the_head_of_the_answer)
{
    auto load = deadlyLoad();
    load.deadly_.sendsHead_ = false;
    assertContained(simulateAll(load, 20, "deadly part, no head of an answer"));
}

Test(prompt_parts, deadly_part_is_found_at_a_low_rate)
{
    auto load = deadlyLoad();
    load.deadly_.requestsPerSecond_ = 1;
    load.deadly_.lasts_ = seconds(30);
    load.length_ = seconds(35);
    assertContained(simulateAll(load, 10, "deadly part, one request a second"));
}

Test(prompt_parts, deadly_first_part_is_found)
{
    auto load = deadlyLoad();
    load.deadly_.isFirst_ = true;
    assertContained(simulateAll(load, 20, "deadly first part"));
}

Test(prompt_parts, rare_part_beside_the_deadly_one_is_not_quarantined)
{
    auto load = deadlyLoad();
    load.deadly_.hasRareCompanion_ = true;
    assertContained(simulateAll(load, 20, "rare part beside the deadly one"));
}

Test(prompt_parts, part_that_becomes_deadly_is_found)
{
    auto load = deadlyLoad();
    load.deadly_.wasSound_ = true;
    load.callersPerSecond_ = 24;
    assertContained(simulateAll(load, 20, "part that was sound before"));
}

Test(prompt_parts, deadly_part_is_found_among_long_answers)
{
    auto load = deadlyLoad();
    load.answersLast_ = milliseconds(3300);
    load.callersPerSecond_ = 8;
    assertContained(simulateAll(load, 20, "deadly part, answers of 3.3 s and more"));
}

Test(prompt_parts, deadly_part_is_found_despite_loss_of_a_third_of_the_datagrams)
{
    auto load = deadlyLoad();
    load.entries_ = 20;
    load.lossShare_ = 0.33;
    assertContained(
        simulateAll(load, 10, "deadly part, 20 entry VMs, a third of the datagrams lost"));
}

Test(prompt_parts, deadly_part_among_ordinary_crashes_quarantines_no_sound_part)
{
    auto load = deadlyLoad();
    load.crashEvery_ = seconds(3);
    const auto totals
        = simulateAll(load, 20, "deadly part, and a seventh of the groups crashes every 3 s");
    cr_assert_leq(totals.maxLate_, maxLateSends);
    cr_assert_leq(totals.quarantined_, totals.served_.total_ / 1000);
}

Test(prompt_parts, ordinary_crashes_quarantine_no_part)
{
    Load load;
    load.crashEvery_ = milliseconds(1500);
    const auto totals = simulateAll(load, 20, "no deadly part, a seventh crashes every 1.5 s");
    cr_assert_eq(totals.quarantined_, 0);
}
