/// \file
/// \brief What whole control sides cost and know by the size of the fleet, on the paused clock.
/// \details bench_whole_fleet [entry VMs ...]. Prints one line for each size and phase: calls to
/// the store, bytes and datagrams sent, peers known, duties, and the processor time that all took.
/// In the last phase endpoints change all the time, as they do while engines form groups.

#include "support/node_fleet.hpp"

#include <cstdio>
#include <cstdlib>
#include <ctime>
#include <string>
#include <vector>

namespace {

using namespace cardamombay;
using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr std::size_t zones = 5;
constexpr std::size_t largeOfZone = 10;
constexpr std::size_t groupsListed = 60;
constexpr Duration phase = seconds(4);
constexpr int phases = 3;
/// Endpoints that change in the last phase, and how often some do.
constexpr std::size_t changesPerSecond = 190;
constexpr Duration changeStep = milliseconds(100);

double processorSeconds()
{
    return static_cast<double>(std::clock()) / CLOCKS_PER_SEC;
}

/// What has happened up to a moment.
struct Totals
{
    std::size_t calls_ = 0;
    std::size_t datagrams_ = 0;
    std::size_t bytes_ = 0;
    double processor_ = 0;
};

Totals totalsOf(const support::NodeFleet &fleet)
{
    return {fleet.storeCalls(), fleet.datagramsSent_, fleet.bytesSent_, processorSeconds()};
}

void print(support::NodeFleet &fleet, int number, const Totals &before)
{
    const auto after = totalsOf(fleet);
    const auto [least, most] = fleet.peerCounts();
    std::size_t planners = 0;
    double updates = 0;
    for (std::size_t i = 0; i < fleet.size(); ++i) {
        const auto &node = fleet.node(i);
        planners += node.lease_->isHeld() ? 1 : 0;
        updates += node.metrics_.peerUpdates_.value();
    }
    const auto size = static_cast<double>(fleet.size());
    const auto perSecond = [&](std::size_t from, std::size_t to) {
        return static_cast<double>(to - from) / size / toSeconds(phase);
    };
    std::printf("%zu entry VMs, seconds %d to %d: %.3f calls to the store, %.1f datagrams, %.1f KB "
                "each a second; peers known %zu to %zu; planners %zu; duties dealt %.1f times; "
                "%.2f ms of a core each a second\n",
                fleet.size(), number * 4, number * 4 + 4, perSecond(before.calls_, after.calls_),
                perSecond(before.datagrams_, after.datagrams_),
                perSecond(before.bytes_, after.bytes_) / 1000, least, most, planners,
                updates / size,
                (after.processor_ - before.processor_) / size / toSeconds(phase) * 1000);
    std::fflush(stdout);
}

/// Each change is a write of one endpoint.
void passWithChanges(support::NodeFleet &fleet)
{
    const auto steps = phase / changeStep;
    const auto changes = changesPerSecond * changeStep / seconds(1);
    std::size_t number = 0;
    for (std::int64_t step = 0; step < steps; ++step) {
        for (std::size_t i = 0; i < static_cast<std::size_t>(changes); ++i, ++number)
            fleet.list("spare-" + std::to_string(number), "d" + std::to_string(number % zones));
        fleet.pass(changeStep);
    }
}

void play(std::size_t entries)
{
    support::NodeFleet fleet(entries, zones, largeOfZone, 1);
    for (std::size_t i = 0; i < groupsListed; ++i)
        fleet.listGroup("head-" + std::to_string(i), "d" + std::to_string(i % zones));
    fleet.configure(1, {"key"});
    auto before = totalsOf(fleet);
    fleet.start();
    for (int number = 0; number < phases; ++number) {
        fleet.pass(phase);
        print(fleet, number, before);
        before = totalsOf(fleet);
    }
    passWithChanges(fleet);
    print(fleet, phases, before);
}

} // namespace

int main(int count, char **arguments)
{
    std::vector<std::size_t> sizes{195, 985};
    if (count > 1)
        sizes.clear();
    for (int i = 1; i < count; ++i)
        sizes.push_back(std::strtoul(arguments[i], nullptr, 10));
    for (const auto size : sizes)
        play(size);
    return 0;
}
