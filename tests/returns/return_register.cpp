// Guards the rights of callers that were told to return.
#include <cardamombay/overload/return_register.hpp>

#include <limits>

#include <criterion/criterion.h>

using namespace cardamombay;
using namespace cardamombay::overload;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

const ModelName model{"writer"};
const TimePoint start{seconds(100)};

ReturnPromise promised(std::uint64_t request, Duration after = seconds(2), double work = 0.1)
{
    return promiseOf(request, model, {1, work}, {after, true}, start);
}

} // namespace

// Guards against rights that begin too late for fast callers or do not end.
Test(return_register, right_lasts_from_shortly_before_its_time_until_some_time_after)
{
    const auto due = start + seconds(2);
    for (const auto at : {due - milliseconds(50), due, due + milliseconds(1500)}) {
        ReturnRegister rights;
        cr_assert(rights.add(promised(7), start));
        cr_assert(rights.claim(7, at));
    }
    ReturnRegister rights;
    cr_assert(rights.add(promised(7), start));
    cr_assert_not(rights.claim(7, due + milliseconds(1501)));
}

// Guards against a right that is used twice.
Test(return_register, right_is_used_once)
{
    ReturnRegister rights;
    cr_assert(rights.add(promised(7), start));

    cr_assert(rights.claim(7, start + seconds(2)));
    cr_assert_not(rights.claim(7, start + seconds(2)));
    cr_assert(rights.promisedWork().empty());
}

// Guards against callers that lose their right by returning early.
Test(return_register, early_claim_leaves_the_right_in_place)
{
    ReturnRegister rights;
    cr_assert(rights.add(promised(7), start));

    cr_assert_not(rights.claim(7, start + milliseconds(1949)));
    cr_assert(rights.claim(7, start + milliseconds(1950)));
}

// Guards against work of the first promise that stays in the digests after the second replaced it.
Test(return_register, second_promise_replaces_the_first)
{
    ReturnRegister rights;
    cr_assert(rights.add(promised(7, seconds(2), 0.5), start));
    cr_assert(rights.add(promised(7, seconds(9), 0.25), start));

    cr_assert_eq(rights.size(), 1);
    cr_assert_eq(rights.promisedWork().at(model), 0.25);
    cr_assert_eq(rights.expire(start + seconds(5)), 0);
    cr_assert_not(rights.claim(7, start + seconds(2)));
    cr_assert(rights.claim(7, start + seconds(9)));
}

// Guards against promised work that nobody claims and that delays all later returns.
Test(return_register, unclaimed_work_expires)
{
    ReturnRegister rights;
    cr_assert(rights.add(promised(1, seconds(1)), start));
    cr_assert(rights.add(promised(2, seconds(3)), start));

    cr_assert_eq(rights.expire(start + milliseconds(2500)), 0);
    cr_assert_eq(rights.expire(start + milliseconds(2501)), 1);
    cr_assert_float_eq(rights.promisedWork().at(model), 0.1, 1e-9);
    cr_assert_eq(rights.expire(start + seconds(60)), 1);
    cr_assert(rights.promisedWork().empty());
}

// Guards against forged figures that would give rights for long, distort the sums or displace valid
// rights.
Test(return_register, implausible_promises_are_not_added)
{
    const auto with = [](auto change) {
        auto promise = promised(7);
        change(promise);
        return promise;
    };
    const double notANumber = std::numeric_limits<double>::quiet_NaN();
    ReturnRegister rights;
    cr_assert(rights.add(promised(7), start));

    // Work below a nanosecond was added and counted as 0, found by the fuzzer.
    for (const double work : {0.0, -1.0, 1e-12, 1e9, notANumber})
        cr_assert_not(rights.add(with([work](auto &one) { one.work_ = work; }), start));
    cr_assert_not(rights.add(with([](auto &one) { one.rank_ = maxRank + 1; }), start));
    cr_assert_not(rights.add(with([](auto &one) { one.from_ = start - seconds(9); }), start));
    cr_assert_not(rights.add(with([](auto &one) { one.until_ = one.from_; }), start));
    cr_assert_not(rights.add(promised(7), start + seconds(60)), "lapsed");
    cr_assert_float_eq(rights.promisedWork().at(model), 0.1, 1e-9);
    cr_assert(rights.claim(7, start + seconds(2)));
}

// Guards against unbounded memory.
Test(return_register, full_register_adds_no_right_and_keeps_the_others)
{
    ReturnRegister rights;
    for (std::uint64_t request = 0; request < maxPromises; ++request)
        cr_assert(rights.add(promised(request), start));

    cr_assert_not(rights.add(promised(maxPromises), start));
    cr_assert(rights.add(promised(3), start), "a replacement needs no room");
    cr_assert(rights.claim(4, start + seconds(2)));
    cr_assert(rights.add(promised(maxPromises), start));
}
