// Guards when refused callers are told to return.
#include <cardamombay/overload/return_schedule.hpp>

#include <limits>

#include <criterion/criterion.h>

using namespace cardamombay;
using namespace cardamombay::overload;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

constexpr auto latestDraw = std::numeric_limits<std::uint64_t>::max();

RefusedRequest refused(Rank rank, std::uint64_t draw = 0)
{
    return {rank, 0.1, seconds(60), draw};
}

/// Ranks 0 to 2, of which 2 is the least urgent.
ModelDemand demand(double promised, double offered = 30)
{
    ModelDemand result;
    result.offered_ = {{0, offered / 3}, {1, offered / 3}, {2, offered / 3}};
    result.promised_ = promised;
    return result;
}

double secondsOf(const ReturnTime &told)
{
    return toSeconds(told.retryAfter_);
}

} // namespace

// Guards against return times that do not match the rate at which promised work is served.
Test(return_schedule, is_promised_work_divided_by_the_rate_for_returns)
{
    cr_assert_float_eq(secondsOf(returnTime(refused(2), demand(40), 40)), 4, 1e-6);
    // While new requests use all of the room, a quarter of it counts.
    cr_assert_float_eq(secondsOf(returnTime(refused(2), demand(40, 160), 40)), 4, 1e-6);
    cr_assert(returnTime(refused(2), demand(40), 40).isPromised_);
}

// Guards against urgent callers that return as late as the least urgent ones.
Test(return_schedule, more_urgent_callers_return_earlier)
{
    cr_assert_float_eq(secondsOf(returnTime(refused(1), demand(40), 40)), 2, 1e-6);
    cr_assert_float_eq(secondsOf(returnTime(refused(0), demand(40), 40)), 2, 1e-6);
    // A rank without offered work does not make the others more urgent.
    auto faded = demand(40);
    faded.offered_[5] = 0;
    cr_assert_float_eq(secondsOf(returnTime(refused(2), faded, 40)), 4, 1e-6);
}

// Guards against callers that return before figures of the fleet can have changed.
Test(return_schedule, is_at_least_a_quarter_of_a_second)
{
    cr_assert(returnTime(refused(2), demand(0), 40).retryAfter_ == milliseconds(250));
}

// Guards against callers refused together that return together.
Test(return_schedule, jitter_adds_up_to_a_quarter)
{
    cr_assert_float_eq(secondsOf(returnTime(refused(2, latestDraw), demand(40), 40)), 5, 1e-6);
    cr_assert_float_eq(secondsOf(returnTime(refused(2, latestDraw / 2), demand(40), 40)), 4.5,
                       1e-6);
}

// Guards against a promise for a time at which the caller will not come: it waits for at most a
// third of its remaining time.
Test(return_schedule, caller_is_told_a_third_of_its_time_without_promise_if_that_is_earlier)
{
    auto request = refused(2);
    request.timeLeft_ = seconds(9);
    const auto told = returnTime(request, demand(40), 40);

    cr_assert_float_eq(secondsOf(told), 3, 1e-6);
    cr_assert_not(told.isPromised_);
    request.timeLeft_ = -seconds(1);
    cr_assert(returnTime(request, demand(40), 40).retryAfter_ == Duration::zero());
}

// Guards against room kept for a caller that does not come a second time.
Test(return_schedule, returned_caller_gets_no_promise)
{
    auto request = refused(2);
    request.hasReturned_ = true;

    cr_assert_not(returnTime(request, demand(40), 40).isPromised_);
}

// Guards against promises while there is no room, and against invalid figures of digests.
Test(return_schedule, promises_nothing_by_invalid_figures)
{
    const double notANumber = std::numeric_limits<double>::quiet_NaN();
    const double infinite = std::numeric_limits<double>::infinity();

    for (const double room : {0.0, -3.0, notANumber})
        cr_assert_not(returnTime(refused(2), demand(1), room).isPromised_);
    cr_assert_not(returnTime(refused(2), demand(infinite), 40).isPromised_);
    for (const double promised : {-1000.0, notANumber})
        cr_assert(returnTime(refused(2), demand(promised), 40).retryAfter_ == milliseconds(250));
    // Negative offered work would enlarge the rate for returns.
    auto forged = demand(40);
    forged.offered_[0] = -1000;
    cr_assert_geq(secondsOf(returnTime(refused(2), forged, 40)), 2);
}
