/// \file
/// \brief Time of one admission decision, one update of a level and one digest period of the meter,
/// at 64 groups.
/// \details The sums that an entry VM receives do not grow with the fleet; its number of peers
/// appears in the demand that they name.
#include <cardamombay/core/hash.hpp>
#include <cardamombay/overload/admission_controller.hpp>
#include <cardamombay/overload/demand_meter.hpp>

#include <string>
#include <vector>

#include <benchmark/benchmark.h>

using namespace cardamombay;
using namespace cardamombay::overload;

namespace {

const ModelName model("m");
constexpr double groups = 64;
constexpr std::size_t slotsPerGroup = 16;
constexpr std::size_t requests = 1024;
constexpr Duration digestPeriod = std::chrono::milliseconds(100);

TeamName teamOf(std::size_t i)
{
    return TeamName("team-" + std::to_string(i));
}

constexpr Rank dividedRank = 5; ///< By twice the capacity in ten equal ranks.

/// Demand of one entry VM at twice the capacity, over all ranks.
ModelDemand entryDemand(std::size_t entries)
{
    ModelDemand demand;
    const double total = 2 * groups / static_cast<double>(entries);
    for (Rank rank = 0; rank <= maxRank; ++rank)
        demand.offered_.emplace(rank, total / (maxRank + 1));
    for (std::size_t i = 0; i < maxNamedTeams; ++i)
        demand.teams_.emplace(teamOf(i), total / (maxRank + 1) / maxNamedTeams);
    return demand;
}

ModelFigures figures(std::size_t entries, TimePoint now)
{
    ModelFigures result;
    result.own_ = entryDemand(entries);
    for (std::size_t i = 0; i < entries; ++i)
        result.fleet_ += result.own_;
    result.capacity_ = {groups, 0.9};
    result.slots_ = static_cast<std::size_t>(groups) * slotsPerGroup;
    result.entries_ = entries;
    result.receivedAt_ = now;
    return result;
}

std::vector<AdmissionRequest> makeRequests()
{
    std::vector<AdmissionRequest> result;
    for (std::size_t i = 0; i < requests; ++i)
        result.push_back(
            {model, dividedRank, teamOf(i % maxNamedTeams), stableHash(std::to_string(i), 7)});
    return result;
}

/// \brief One decision in the divided rank, with the hash of the request's id.
void decide(benchmark::State &state)
{
    const TimePoint now{std::chrono::hours(1)};
    const RankedAdmission policy;
    AdmissionController controller(policy, now);
    controller.update(model, figures(static_cast<std::size_t>(state.range(0)), now), now);
    auto all = makeRequests();
    std::size_t next = 0;
    for (auto _ : state) {
        auto &request = all[next++ % requests];
        request.draw_ = stableHash(request.team_.text(), next);
        benchmark::DoNotOptimize(controller.admits(request, 3, now));
    }
}
BENCHMARK(decide)->ArgName("entries")->Arg(7)->Arg(87)->Arg(195);

/// \brief One update of a model's level, as in each digest period.
void updateLevel(benchmark::State &state)
{
    TimePoint now{std::chrono::hours(1)};
    const RankedAdmission policy;
    AdmissionController controller(policy, now);
    auto current = figures(static_cast<std::size_t>(state.range(0)), now);
    for (auto _ : state) {
        now += digestPeriod;
        current.receivedAt_ = now;
        controller.update(model, current, now);
    }
}
BENCHMARK(updateLevel)->ArgName("entries")->Arg(7)->Arg(87)->Arg(195);

/// \brief Adding up the demand of all entry VMs, as a reporter of a single zone does.
void addDemand(benchmark::State &state)
{
    const auto entries = static_cast<std::size_t>(state.range(0));
    const auto one = entryDemand(entries);
    for (auto _ : state) {
        ModelDemand sum;
        for (std::size_t i = 0; i < entries; ++i)
            sum += one;
        benchmark::DoNotOptimize(sum);
    }
}
BENCHMARK(addDemand)->ArgName("entries")->Arg(7)->Arg(87)->Arg(195);

/// \brief Counting one request.
void count(benchmark::State &state)
{
    const auto all = makeRequests();
    DemandMeter meter;
    std::size_t next = 0;
    for (auto _ : state)
        meter.count(all[next++ % requests], 0.025);
}
BENCHMARK(count);

/// \brief One digest period of the meter, with its figures for the digest.
void measure(benchmark::State &state)
{
    const auto all = makeRequests();
    DemandMeter meter;
    for (auto _ : state) {
        state.PauseTiming();
        for (const auto &request : all)
            meter.count(request, 0.025);
        state.ResumeTiming();
        meter.advance(digestPeriod);
        benchmark::DoNotOptimize(meter.demand({{model, dividedRank}}, maxNamedTeams));
    }
}
BENCHMARK(measure);

} // namespace

BENCHMARK_MAIN();
