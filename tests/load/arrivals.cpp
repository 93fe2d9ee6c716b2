#include <cardamombay/load/arrivals.hpp>

#include <cmath>
#include <set>

#include <criterion/criterion.h>

using namespace cardamombay;
using namespace cardamombay::load;
using std::chrono::hours;
using std::chrono::seconds;

namespace {

Workload workload()
{
    Workload workload;
    workload.duration_ = seconds(100);
    workload.profile_ = {{hours(6), 10}, {hours(8), 110}};
    workload.teams_ = {{"large", "", 3}, {"small", "", 1}};
    RequestClass cue;
    cue.service_ = "lm";
    cue.prefixes_ = 4;
    cue.prefixWords_ = 5;
    RequestClass booking;
    booking.kind_ = RequestKind::Plain;
    booking.isKeyed_ = true;
    workload.requests_ = {cue, booking};
    return workload;
}

std::vector<Arrival> all(const Workload &workload)
{
    Arrivals arrivals(workload);
    std::vector<Arrival> list;
    while (auto arrival = arrivals.next())
        list.push_back(std::move(*arrival));
    return list;
}

std::size_t countBetween(const std::vector<Arrival> &list, Duration from, Duration to)
{
    std::size_t count = 0;
    for (const auto &arrival : list)
        count += arrival.at_ >= from && arrival.at_ < to ? 1 : 0;
    return count;
}

bool isNear(double value, double expected)
{
    return std::abs(value - expected) < 5 * std::sqrt(expected); // Five standard deviations.
}

} // namespace

Test(arrivals, same_seed_gives_the_same_requests_and_another_seed_others)
{
    auto plan = workload();
    const auto first = all(plan);
    const auto again = all(plan);
    plan.seed_ = 2;
    const auto other = all(plan);

    cr_assert_eq(first.size(), again.size());
    for (std::size_t i = 0; i < first.size(); ++i)
        cr_assert(first[i].at_ == again[i].at_ && first[i].call_.body_ == again[i].call_.body_);
    cr_assert(first.front().at_ != other.front().at_);
}

Test(arrivals, rate_follows_the_profile)
{
    const auto list = all(workload());

    // The rate rises in a line from 10 to 110 over 100 s.
    cr_assert(isNear(static_cast<double>(list.size()), 6000));
    cr_assert(isNear(static_cast<double>(countBetween(list, seconds(0), seconds(20))), 400));
    cr_assert(isNear(static_cast<double>(countBetween(list, seconds(80), seconds(100))), 2000));
}

Test(arrivals, teams_and_kinds_get_their_shares)
{
    std::size_t ofSmall = 0;
    std::size_t plain = 0;
    const auto list = all(workload());
    for (const auto &arrival : list) {
        ofSmall += arrival.team_;
        plain += arrival.class_;
    }

    const auto count = static_cast<double>(list.size());
    cr_assert(isNear(static_cast<double>(ofSmall), count / 4));
    cr_assert(isNear(static_cast<double>(plain), count / 2));
}

Test(arrivals, keys_and_marks_are_unique)
{
    std::set<std::string> keys;
    std::set<std::string> bodies;
    std::size_t keyed = 0;
    std::size_t completions = 0;
    for (const auto &arrival : all(workload())) {
        if (arrival.class_ == 0) {
            ++completions;
            bodies.insert(arrival.call_.body_);
            continue;
        }
        ++keyed;
        for (const auto &field : arrival.call_.fields_) {
            if (field.name_ == "Idempotency-Key")
                keys.insert(field.value_);
        }
    }

    cr_assert_eq(keys.size(), keyed);
    cr_assert_eq(bodies.size(), completions);
}

Test(arrivals, request_bound_ends_the_run)
{
    auto plan = workload();
    plan.maxRequests_ = 17;

    cr_assert_eq(all(plan).size(), 17);
}
