#include <cardamombay/core/manual_clock.hpp>

#include <vector>

#include <criterion/criterion.h>

using cardamombay::ManualClock;
using std::chrono::seconds;

Test(manual_clock, runs_timers_in_order_of_time)
{
    ManualClock clock;
    std::vector<int> order;
    clock.schedule(seconds(2), [&] { order.push_back(2); });
    clock.schedule(seconds(1), [&] { order.push_back(1); });

    clock.advance(seconds(3));

    cr_assert(order == (std::vector<int>{1, 2}));
}

Test(manual_clock, cancelled_timer_does_not_run)
{
    ManualClock clock;
    bool hasRun = false;
    const auto timer = clock.schedule(seconds(1), [&] { hasRun = true; });

    clock.cancel(timer);
    clock.advance(seconds(2));

    cr_assert_not(hasRun);
}

Test(manual_clock, timer_scheduled_by_a_timer_runs_in_the_same_advance)
{
    ManualClock clock;
    int runs = 0;
    clock.schedule(seconds(1), [&] { clock.schedule(seconds(1), [&] { ++runs; }); });

    clock.advance(seconds(2));

    cr_assert_eq(runs, 1);
}

Test(manual_clock, jump_leaves_due_timers_for_the_next_advance)
{
    ManualClock clock;
    int runs = 0;
    clock.schedule(seconds(1), [&] { ++runs; });

    clock.jump(seconds(5));
    cr_assert_eq(runs, 0);

    clock.runDue();
    cr_assert_eq(runs, 1);
}
