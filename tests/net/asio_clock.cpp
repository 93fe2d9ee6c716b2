#include <cardamombay/net/asio_clock.hpp>

#include <boost/asio/io_context.hpp>

#include <vector>

#include <criterion/criterion.h>

using cardamombay::Duration;
using cardamombay::TimerId;
using cardamombay::net::AsioClock;
using std::chrono::milliseconds;

Test(asio_clock, runs_timers_in_order_of_time)
{
    boost::asio::io_context context;
    AsioClock clock(context);
    std::vector<int> order;
    const auto start = clock.now();
    clock.schedule(milliseconds(30), [&] { order.push_back(3); });
    clock.schedule(milliseconds(10), [&] { order.push_back(1); });
    clock.schedule(milliseconds(20), [&] { order.push_back(2); });

    context.run();

    cr_assert(order == (std::vector<int>{1, 2, 3}));
    cr_assert(clock.now() - start >= milliseconds(30));
}

Test(asio_clock, zero_delay_runs_at_the_next_turn_and_not_inline)
{
    boost::asio::io_context context;
    AsioClock clock(context);
    int runs = 0;

    clock.schedule(Duration::zero(), [&] { ++runs; });

    cr_assert_eq(runs, 0);
    context.run();
    cr_assert_eq(runs, 1);
}

Test(asio_clock, action_may_cancel_a_timer_that_is_due_too)
{
    boost::asio::io_context context;
    AsioClock clock(context);
    bool hasRun = false;
    TimerId second = TimerId::None;
    clock.schedule(Duration::zero(), [&] { clock.cancel(second); });
    second = clock.schedule(Duration::zero(), [&] { hasRun = true; });

    context.run();

    cr_assert_not(hasRun);
}

Test(asio_clock, timer_scheduled_by_an_action_runs)
{
    boost::asio::io_context context;
    AsioClock clock(context);
    int runs = 0;
    clock.schedule(milliseconds(1), [&] { clock.schedule(milliseconds(1), [&] { ++runs; }); });

    context.run();

    cr_assert_eq(runs, 1);
}

Test(asio_clock, destroyed_clock_runs_nothing)
{
    boost::asio::io_context context;
    bool hasRun = false;
    {
        AsioClock clock(context);
        clock.schedule(Duration::zero(), [&] { hasRun = true; });
    }

    context.run();

    cr_assert_not(hasRun);
}
