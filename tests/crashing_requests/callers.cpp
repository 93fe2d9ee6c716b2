// Simulates the service to other callers while a poison pill crashes endpoints, and checks which
// requests are quarantined.
#include "support/crash_simulation.hpp"

#include <criterion/criterion.h>

#include <cstdio>

using namespace cardamombay;
using namespace cardamombay::crashing;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

Outcome simulateAll(const Load &load, std::uint64_t seeds, const char *name)
{
    Outcome sum;
    std::size_t maxLate = 0;
    std::size_t maxCrashed = 0;
    for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
        const auto one = simulate(load, seed);
        sum.asked_ += one.asked_;
        sum.onTime_ += one.onTime_;
        sum.served_ += one.served_;
        sum.quarantined_ += one.quarantined_;
        sum.poisonSends_ += one.poisonSends_;
        sum.ended_ += one.ended_;
        sum.poisonLate_ = std::max(sum.poisonLate_, one.poisonLate_);
        maxLate = std::max(maxLate, one.poisonLate_);
        maxCrashed = std::max(maxCrashed, one.ended_);
    }
    std::printf("%s: %zu requests, %.3f on time, %.3f served, %zu others quarantined; poison pill: "
                "%zu sends, %zu crashes (at most %zu per run), at most %zu late sends per run\n",
                name, sum.asked_,
                static_cast<double>(sum.onTime_) / static_cast<double>(sum.asked_),
                static_cast<double>(sum.served_) / static_cast<double>(sum.asked_),
                sum.quarantined_, sum.poisonSends_, sum.ended_, maxCrashed, maxLate);
    return sum;
}

} // namespace

/// Without quarantine, the same load and seeds gave 0.109 of the other callers a complete answer,
/// 0.090 on time, and 28 groups crashed per run. With quarantine: 0.991, 0.917 and 3.
Test(crashing_requests, other_callers_are_served_while_one_request_crashes_endpoints)
{
    Load load;
    load.poisonCallers_ = 4;
    load.poisonFor_ = seconds(15);
    const auto sum = simulateAll(load, 20, "poison pill, 4 callers for 15 s, 7 entry VMs");
    cr_assert_leq(sum.poisonLate_, 3);
    cr_assert_gt(sum.onTime_, sum.asked_ * 8 / 10);
    cr_assert_leq(sum.quarantined_, sum.asked_ / 1000);
}

Test(crashing_requests, poison_pill_is_quarantined_despite_loss_of_a_third_of_the_datagrams)
{
    Load load;
    load.poisonCallers_ = 4;
    load.poisonFor_ = seconds(15);
    load.lossShare_ = 0.33;
    load.entries_ = 20;
    const auto sum
        = simulateAll(load, 20, "poison pill, 20 entry VMs, a third of the datagrams lost");
    cr_assert_leq(sum.poisonLate_, 3);
    cr_assert_leq(sum.quarantined_, sum.asked_ / 1000);
}

Test(crashing_requests, poison_pill_that_crashes_endpoints_during_its_answer_is_quarantined)
{
    Load load;
    load.poisonCallers_ = 2;
    load.poisonFor_ = seconds(15);
    load.answersFirst_ = true;
    const auto sum = simulateAll(load, 10, "poison pill after its first event, 2 callers for 15 s");
    cr_assert_leq(sum.poisonLate_, 3);
    cr_assert_leq(sum.quarantined_, sum.asked_ / 1000);
}

Test(crashing_requests, callers_whose_endpoints_crash_for_other_reasons_are_not_quarantined)
{
    Load load;
    load.crashEvery_ = milliseconds(1500);
    const auto sum = simulateAll(load, 20, "a seventh of the groups crashes every 1.5 s");
    cr_assert_eq(sum.quarantined_, 0);
}

Test(crashing_requests, poison_pill_among_ordinary_crashes_quarantines_nobody_else)
{
    Load load;
    load.crashEvery_ = seconds(3);
    load.poisonCallers_ = 4;
    load.poisonFor_ = seconds(15);
    const auto sum = simulateAll(
        load, 20, "poison pill, 4 callers, and a seventh of the groups crashes every 3 s");
    cr_assert_leq(sum.poisonLate_, 3);
    cr_assert_leq(sum.quarantined_, sum.asked_ / 1000);
}
