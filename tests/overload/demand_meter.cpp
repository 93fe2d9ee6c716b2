#include <cardamombay/overload/demand_meter.hpp>

#include <cmath>
#include <limits>
#include <string>

#include <criterion/criterion.h>

using namespace cardamombay;
using namespace cardamombay::overload;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

const ModelName model("m");
constexpr Duration period = milliseconds(100);

AdmissionRequest request(Rank rank, const char *team)
{
    return {model, rank, TeamName(team), 0};
}

/// Counts \p groups of work for a time, one request per period.
void offer(DemandMeter &meter, const AdmissionRequest &one, double groups, int periods)
{
    for (int i = 0; i < periods; ++i) {
        meter.count(one, groups * toSeconds(period));
        meter.advance(period);
    }
}

ModelDemand demandOf(const DemandMeter &meter, std::map<ModelName, Rank> divided = {},
                     std::size_t maxTeams = maxNamedTeams)
{
    return meter.demand(divided, maxTeams)[model];
}

} // namespace

Test(demand_meter, steady_work_is_measured_in_groups)
{
    DemandMeter meter;
    offer(meter, request(2, "a"), 3, 50);

    cr_expect_float_eq(demandOf(meter).offered_.at(2), 3, 0.001);
    cr_expect(demandOf(meter).teams_.empty(), "no rank is divided");
}

// Guards against one digest with many requests counting as overload.
Test(demand_meter, one_period_with_many_requests_counts_for_a_quarter)
{
    DemandMeter meter;
    offer(meter, request(0, "a"), 1, 50);
    offer(meter, request(0, "a"), 4, 1);

    cr_expect_lt(demandOf(meter).offered_.at(0), 1 + 3 * 0.25);
}

// Guards against an overload that is seen only after callers have left (2 s).
Test(demand_meter, change_of_load_is_seen_within_a_second)
{
    DemandMeter meter;
    offer(meter, request(0, "a"), 1, 50);
    offer(meter, request(0, "a"), 4, 10);

    cr_expect_gt(demandOf(meter).offered_.at(0), 1 + 3 * 0.9);
}

Test(demand_meter, late_period_measures_the_same_rate)
{
    DemandMeter meter;
    offer(meter, request(0, "a"), 2, 50);
    meter.count(request(0, "a"), 2 * 0.3);
    meter.advance(milliseconds(300));

    cr_expect_float_eq(demandOf(meter).offered_.at(0), 2, 0.001);
}

// Guards against figures of ranks and teams that are gone, which would grow digests without bound.
Test(demand_meter, work_that_has_ended_is_forgotten)
{
    DemandMeter meter;
    offer(meter, request(1, "a"), 3, 10);
    for (int i = 0; i < 60; ++i)
        meter.advance(period);

    cr_expect(meter.demand({{model, 1}}, maxNamedTeams).empty());
}

Test(demand_meter, teams_of_the_divided_rank_only_and_the_largest)
{
    DemandMeter meter;
    for (int i = 1; i <= 5; ++i)
        offer(meter, request(1, std::to_string(i).c_str()), i, 1);
    meter.count(request(0, "urgent"), 9);
    for (int i = 1; i <= 5; ++i)
        meter.count(request(1, std::to_string(i).c_str()), i);
    meter.advance(period);

    const auto teams = demandOf(meter, {{model, 1}}, 2).teams_;

    cr_expect_eq(teams.size(), 2);
    cr_expect(teams.contains(TeamName("4")) && teams.contains(TeamName("5")));
}

// Guards against an order by memory address or insertion where teams ask for the same.
Test(demand_meter, equal_teams_are_chosen_by_name)
{
    DemandMeter meter;
    for (const char *team : {"c", "a", "b"})
        meter.count(request(1, team), 1);
    meter.advance(period);

    const auto teams = demandOf(meter, {{model, 1}}, 2).teams_;

    cr_expect(teams.contains(TeamName("a")) && teams.contains(TeamName("b")));
}

Test(demand_meter, ranks_out_of_range_count_as_the_last)
{
    DemandMeter meter;
    offer(meter, request(77, "a"), 1, 1);

    cr_expect(demandOf(meter).offered_.contains(maxRank));
}

Test(demand_meter, implausible_work_and_periods_are_ignored)
{
    DemandMeter meter;
    for (const double work : {-1.0, 0.0, std::numeric_limits<double>::quiet_NaN(),
                              std::numeric_limits<double>::infinity()})
        meter.count(request(0, "a"), work);
    meter.advance(Duration::zero());
    meter.advance(-period);

    cr_expect(meter.demand({}, maxNamedTeams).empty());
    cr_expect_eq(meter.meanWork(model), 0);
}

Test(demand_meter, mean_work_follows_the_requests)
{
    DemandMeter meter;
    meter.count(request(0, "a"), 2);
    cr_expect_float_eq(meter.meanWork(model), 2, 1e-9);
    for (int i = 0; i < 1000; ++i)
        meter.count(request(0, "a"), 1);

    cr_expect_float_eq(meter.meanWork(model), 1, 0.01);
    cr_expect_eq(meter.meanWork(ModelName("other")), 0);
}
