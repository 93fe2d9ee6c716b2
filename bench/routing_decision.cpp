/// \file
/// \brief Time of one routing decision and of one admission.
#include <cardamombay/limits/admission.hpp>
#include <cardamombay/routing/router.hpp>

#include <memory>
#include <string>

#include <benchmark/benchmark.h>

using namespace cardamombay;

namespace {

const ServiceName serviceName("lm-narrazione");
constexpr std::uint32_t slotsPerGroup = 16;
constexpr std::size_t blocksPerPrompt = 32; ///< 8 KB of prompt.

/// \brief A snapshot of one service; groups over three availability zones.
routing::RoutingSnapshot makeSnapshot(std::size_t groups, std::size_t teams, std::size_t peers,
                                      TimePoint now)
{
    auto configuration = std::make_shared<config::Configuration>();
    config::Service service;
    service.name_ = serviceName;
    service.requestsPerReplica_ = slotsPerGroup;
    configuration->services_.push_back(service);
    for (std::size_t i = 0; i < teams; ++i) {
        config::Team team;
        team.name_ = TeamName("team-" + std::to_string(i));
        configuration->teams_.push_back(team);
    }
    routing::RoutingSnapshot snapshot;
    snapshot.sequence_ = 1;
    snapshot.self_ = EntryId("entry-0");
    snapshot.zone_ = AvailabilityZone("pa-sala-a");
    snapshot.configuration_ = configuration;
    snapshot.services_.push_back({serviceName, {}});
    const char *zones[] = {"pa-sala-a", "pa-sala-b", "pa-sala-c"};
    for (std::size_t i = 0; i < groups; ++i) {
        routing::SnapshotGroup group;
        group.zone_ = AvailabilityZone(zones[i % 3]);
        group.group_ = GroupId("lm-narrazione/" + group.zone_.text() + "/" + std::to_string(i));
        group.domain_ = FabricDomain(group.zone_.text() + "-1");
        group.freshUntil_ = now + std::chrono::hours(10);
        group.capacity_ = slotsPerGroup;
        group.load_.running_ = static_cast<std::uint32_t>(i % 7);
        group.loadTakenAt_ = now;
        snapshot.services_[0].groups_.push_back(std::move(group));
    }
    for (std::size_t peer = 1; peer <= peers; ++peer) {
        routing::PeerDemand demand;
        demand.entry_ = EntryId("entry-" + std::to_string(peer));
        for (std::size_t i = 0; i < teams; ++i)
            demand.demand_.push_back({serviceName, configuration->teams_[i].name_, 3, 1});
        snapshot.peerDemand_.push_back(std::move(demand));
    }
    return snapshot;
}

std::vector<std::vector<std::uint64_t>> makePrompts(std::size_t count)
{
    Random random(3);
    std::vector<std::vector<std::uint64_t>> prompts(count);
    for (auto &prompt : prompts) {
        for (std::size_t i = 0; i < blocksPerPrompt; ++i)
            prompt.push_back(random.bits());
    }
    return prompts;
}

void chooseGroup(benchmark::State &state)
{
    TimePoint now{std::chrono::hours(1)};
    const auto groups = static_cast<std::size_t>(state.range(0));
    const auto inFlight = static_cast<std::size_t>(state.range(1));
    const auto snapshot = makeSnapshot(groups, 10, 6, now);
    routing::Router router(1);
    const auto prompts = makePrompts(256);
    for (std::size_t i = 0; i < inFlight; ++i)
        router.started(snapshot.services_[0].groups_[i % groups].group_, {}, now);
    std::size_t next = 0;
    for (auto _ : state) {
        const auto &hashes = prompts[next++ % prompts.size()];
        const auto decision
            = router.choose(snapshot, {.service_ = serviceName, .prefixHashes_ = hashes}, now);
        router.started(decision.group_->group_, hashes, now);
        router.finished(decision.group_->group_, {std::chrono::milliseconds(300), true}, now);
        now += std::chrono::microseconds(10);
    }
}
BENCHMARK(chooseGroup)
    ->ArgNames({"groups", "in_flight"})
    ->Args({1, 10})
    ->Args({50, 10})
    ->Args({200, 10})
    ->Args({200, 1000})
    ->Args({200, 10000});

void admit(benchmark::State &state)
{
    TimePoint now{std::chrono::hours(1)};
    const auto teams = static_cast<std::size_t>(state.range(0));
    const auto inFlight = static_cast<std::size_t>(state.range(1));
    const auto snapshot = makeSnapshot(200, teams, 6, now);
    limits::Admission admission;
    for (std::size_t i = 0; i < inFlight; ++i)
        (void)admission.offer({.request_ = RequestId("held-" + std::to_string(i)),
                               .service_ = serviceName,
                               .team_ = snapshot.configuration_->teams_[i % teams].name_},
                              snapshot, now);
    (void)admission.demand(now);
    std::size_t next = 0;
    for (auto _ : state) {
        const RequestId request("request-" + std::to_string(next));
        const auto decision
            = admission.offer({.request_ = request,
                               .service_ = serviceName,
                               .team_ = snapshot.configuration_->teams_[next % teams].name_},
                              snapshot, now);
        benchmark::DoNotOptimize(decision);
        admission.finished(request, now);
        benchmark::DoNotOptimize(admission.release(snapshot, now));
        now += std::chrono::microseconds(10);
        ++next;
    }
}
BENCHMARK(admit)
    ->ArgNames({"teams", "in_flight"})
    ->Args({10, 10})
    ->Args({100, 10})
    ->Args({100, 400})
    ->Args({100, 3000});

void routeAndAdmit(benchmark::State &state)
{
    TimePoint now{std::chrono::hours(1)};
    const auto groups = static_cast<std::size_t>(state.range(0));
    const auto teams = static_cast<std::size_t>(state.range(1));
    const auto snapshot = makeSnapshot(groups, teams, 6, now);
    routing::Router router(1);
    limits::Admission admission;
    const auto prompts = makePrompts(256);
    std::size_t next = 0;
    for (auto _ : state) {
        const auto &hashes = prompts[next % prompts.size()];
        const RequestId request("request-" + std::to_string(next));
        const auto admitted
            = admission.offer({.request_ = request,
                               .service_ = serviceName,
                               .team_ = snapshot.configuration_->teams_[next % teams].name_},
                              snapshot, now);
        benchmark::DoNotOptimize(admitted);
        const auto decision
            = router.choose(snapshot, {.service_ = serviceName, .prefixHashes_ = hashes}, now);
        router.started(decision.group_->group_, hashes, now);
        router.finished(decision.group_->group_, {std::chrono::milliseconds(300), true}, now);
        admission.finished(request, now);
        now += std::chrono::microseconds(10);
        ++next;
    }
}
BENCHMARK(routeAndAdmit)->ArgNames({"groups", "teams"})->ArgsProduct({{1, 50, 200}, {10, 100}});

/// \brief First decision on a new snapshot: the groups are read and the shares divided anew.
void newSnapshot(benchmark::State &state)
{
    TimePoint now{std::chrono::hours(1)};
    const auto teams = static_cast<std::size_t>(state.range(0));
    const auto peers = static_cast<std::size_t>(state.range(1));
    auto snapshot = makeSnapshot(200, teams, peers, now);
    routing::Router router(1);
    limits::Admission admission;
    for (auto _ : state) {
        ++snapshot.sequence_;
        const RequestId request("request-1");
        benchmark::DoNotOptimize(
            admission.offer({.request_ = request,
                             .service_ = serviceName,
                             .team_ = snapshot.configuration_->teams_[0].name_},
                            snapshot, now));
        benchmark::DoNotOptimize(router.choose(snapshot, {.service_ = serviceName}, now));
        admission.finished(request, now);
        now += std::chrono::milliseconds(1);
    }
}
BENCHMARK(newSnapshot)
    ->ArgNames({"teams", "peers"})
    ->Args({10, 6})
    ->Args({100, 6})
    ->Args({100, 84});

void hashPrompt(benchmark::State &state)
{
    const std::string prompt(static_cast<std::size_t>(state.range(0)), 'p');
    for (auto _ : state)
        benchmark::DoNotOptimize(routing::prefixHashes(prompt));
}
BENCHMARK(hashPrompt)->Arg(1024)->Arg(8192)->Arg(32768);

} // namespace

BENCHMARK_MAIN();
