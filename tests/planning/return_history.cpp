#include <cardamombay/planning/return_history.hpp>

#include <cmath>

#include <criterion/criterion.h>

using namespace cardamombay;
using namespace cardamombay::planning;
using std::chrono::minutes;
using std::chrono::seconds;

namespace {

/// Ten VMs, the first \p lost of which have been lost for \p lostFor.
PlanState stateWith(std::size_t lost, Duration lostFor)
{
    PlanState state;
    state.domain_ = FabricDomain("f");
    for (std::size_t each = 0; each < 10; ++each) {
        PlannedVm vm;
        vm.vm_ = VmId("vm-" + std::to_string(each));
        vm.domain_ = state.domain_;
        vm.isHealthy_ = each >= lost;
        vm.lostFor_ = vm.isHealthy_ ? Duration::zero() : lostFor;
        state.vms_.push_back(std::move(vm));
    }
    return state;
}

struct HistoryFixture
{
    ReturnHistory history_{FabricDomain("f")};
    TimePoint now_{};

    /// Simulates that the first \p lost VMs are lost for \p away and return.
    void lose(std::size_t lost, Duration away)
    {
        history_.observe(stateWith(0, {}), now_);
        for (Duration gone{}; gone <= away; gone += seconds(1))
            history_.observe(stateWith(lost, gone), now_ + gone);
        now_ += away + seconds(1);
        history_.observe(stateWith(0, {}), now_);
    }
};

} // namespace

Test(return_history, without_observations_the_configured_values_are_used)
{
    const config::PlannerPolicy policy;

    cr_assert(ReturnHistory(FabricDomain("f")).adjusted(policy) == policy);
}

Test(return_history, observed_returns_adjust_probability_and_time)
{
    HistoryFixture history;
    for (int round = 0; round < 45; ++round)
        history.lose(1, seconds(9));

    const auto adjustedPolicy = history.history_.adjusted(config::PlannerPolicy{});

    cr_assert_eq(history.history_.returned(), 45U);
    cr_assert(std::abs(adjustedPolicy.returnProbability_ - 0.95) < 0.001);
    cr_assert(adjustedPolicy.returnTime_ < seconds(15));
}

Test(return_history, long_losses_lower_the_probability)
{
    HistoryFixture history;
    for (int round = 0; round < 5; ++round)
        history.lose(1, minutes(11));

    cr_assert_eq(history.history_.notReturned(), 5U);
    cr_assert_eq(history.history_.returned(), 0U);
    cr_assert(history.history_.adjusted(config::PlannerPolicy{}).returnProbability_ < 0.3);
}

Test(return_history, loss_of_most_of_the_domain_is_ignored)
{
    HistoryFixture history;

    history.lose(8, seconds(30));

    cr_assert_eq(history.history_.returned(), 0U);
}

Test(return_history, vm_never_seen_healthy_is_not_counted_as_lost)
{
    ReturnHistory history(FabricDomain("f"));

    history.observe(stateWith(1, seconds(5)), TimePoint{} + seconds(5));
    history.observe(stateWith(1, minutes(20)), TimePoint{} + minutes(20));

    cr_assert_eq(history.notReturned(), 0U);
}
