// Guards the forecast of the wait: which work counts, and how long waiting is of use to the caller.
#include <cardamombay/overload/wait_forecast.hpp>

#include <limits>

#include <criterion/criterion.h>

using namespace cardamombay;
using namespace cardamombay::overload;
using std::chrono::milliseconds;

namespace {

constexpr double infinite = std::numeric_limits<double>::infinity();
constexpr double notANumber = std::numeric_limits<double>::quiet_NaN();

ModelDemand waiting(std::map<Rank, double> work)
{
    ModelDemand demand;
    demand.waiting_ = std::move(work);
    return demand;
}

} // namespace

// Guards against a forecast that ignores or double-counts work: more urgent work counts in full,
// the same rank by half, less urgent work not at all.
Test(wait_forecast, counts_work_ahead)
{
    const auto others = waiting({{0, 2}, {1, 4}, {2, 100}});

    cr_assert(forecastWait(others, 1, 1, 10) == milliseconds(500));
    cr_assert(forecastWait(others, 0, 0, 10) == milliseconds(100));
    cr_assert(forecastWait({}, 0, 0, 10) == Duration::zero());
}

// Guards against dividing by a room that is zero, negative or not a number.
Test(wait_forecast, is_endless_without_room)
{
    for (const double room : {0.0, -1.0, notANumber})
        cr_assert(forecastWait({}, 0, 0, room) == Duration::max());
}

// Guards against bad figures of a digest that shorten the forecast or overflow it.
Test(wait_forecast, ignores_figures_that_would_shorten_it)
{
    const auto bad = waiting({{0, -50}, {1, notANumber}});

    cr_assert(forecastWait(bad, 2, 1, 10) == milliseconds(100));
    cr_assert(forecastWait({}, 2, -5, 10) == Duration::zero());
    cr_assert(forecastWait(waiting({{0, infinite}}), 2, 0, 10) == Duration::max());
    cr_assert(forecastWait(waiting({{0, 1e300}}), 2, 0, 1e-9) == Duration::max());
}

// Guards against ranks above the largest one, which would count no work of the same rank.
Test(wait_forecast, treats_ranks_above_the_largest_as_the_largest)
{
    cr_assert(forecastWait(waiting({{maxRank, 2}}), maxRank + 5, 0, 1) == std::chrono::seconds(1));
}

// Guards against holding a request beyond the point at which its goal can still be met.
Test(wait_forecast, new_request_may_wait_within_its_goal)
{
    const WaitLimits limits{milliseconds(250), milliseconds(2000), milliseconds(40),
                            milliseconds(110)};

    cr_assert(usefulWait(limits) == milliseconds(100));
}

// Guards against refusing a returned caller at its goal: it would not come a second time.
Test(wait_forecast, returned_request_may_wait_within_its_patience)
{
    const WaitLimits limits{milliseconds(250), milliseconds(2000), milliseconds(40),
                            milliseconds(110), true};

    cr_assert(usefulWait(limits) == milliseconds(1850));
}

// Guards against a negative wait, which a comparison with a forecast of zero would take as no room.
Test(wait_forecast, wait_is_never_negative)
{
    cr_assert(
        usefulWait({milliseconds(250), milliseconds(2000), milliseconds(200), milliseconds(110)})
        == Duration::zero());
}
