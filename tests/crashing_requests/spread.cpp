// Tests how fast a verdict reaches all entry VMs despite lost datagrams and suspended peers.
#include "support/crash_simulation.hpp"

#include <algorithm>
#include <cstdio>
#include <set>

#include <criterion/criterion.h>

using namespace cardamombay;
using namespace cardamombay::serving;
using namespace cardamombay::support;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

/// Time after the third crash by which connected entry VMs must have stopped sending the request.
constexpr Duration bound = seconds(3);

const RequestFingerprint pill(7);

/// Reports three crashes during the poison pill, each at a different entry VM.
void crashThreeEndpoints(NodeFleet &fleet)
{
    const std::size_t seen[] = {fleet.size() / 3, fleet.size() / 2, fleet.size() - 1};
    for (int i = 0; i < 3; ++i) {
        auto &node = fleet.node(seen[i]);
        const EndpointIncarnation incarnation{VmId("e-" + std::to_string(i)), 1};
        node.gateway_.poisonPills().endpointCrashed({incarnation, {{pill, false}}},
                                                    node.clock_.now());
    }
}

bool hasVerdict(NodeFleet &fleet, std::size_t index)
{
    return fleet.node(index)
        .gateway_.poisonPills()
        .quarantinedFor(pill, fleet.node(index).clock_.now())
        .has_value();
}

/// Time from the third crash until each entry VM has the verdict, sorted; Duration::max() for those
/// that do not have it within the bound.
std::vector<Duration> timesUntilKnown(NodeFleet &fleet)
{
    std::vector<Duration> result(fleet.size(), Duration::max());
    const auto from = fleet.clock_.now();
    while (fleet.clock_.now() - from < bound) {
        for (std::size_t i = 0; i < fleet.size(); ++i) {
            if (result[i] == Duration::max() && hasVerdict(fleet, i))
                result[i] = fleet.clock_.now() - from;
        }
        fleet.pass(milliseconds(10));
    }
    std::sort(result.begin(), result.end());
    return result;
}

std::unique_ptr<NodeFleet> startedFleet(std::size_t entries, std::uint64_t seed)
{
    auto fleet = std::make_unique<NodeFleet>(entries, entries > 7 ? 5 : 3, 2, seed);
    fleet->faults_ = {0.05, milliseconds(20)};
    fleet->configure(1, {"key"});
    fleet->start();
    fleet->pass(seconds(4));
    return fleet;
}

} // namespace

Test(crashing_requests, every_entry_vm_has_the_verdict_within_the_bound_despite_lost_datagrams)
{
    for (const std::size_t entries : {7U, 88U, 195U}) {
        for (std::uint64_t seed = 1; seed <= 3; ++seed) {
            const auto fleet = startedFleet(entries, seed);
            crashThreeEndpoints(*fleet);
            const auto times = timesUntilKnown(*fleet);
            std::printf(
                "%zu entry VMs, 5%% of datagrams lost, seed %llu: verdict at the first after %lld "
                "ms, at half after %lld, at 90%% after %lld, at all after %lld\n",
                entries, static_cast<unsigned long long>(seed),
                static_cast<long long>(toMilliseconds(times.front())),
                static_cast<long long>(toMilliseconds(times[entries / 2])),
                static_cast<long long>(toMilliseconds(times[entries * 9 / 10])),
                static_cast<long long>(toMilliseconds(times.back())));
            cr_assert_lt(times.back(), bound);
        }
    }
}

Test(crashing_requests, every_running_entry_vm_has_the_verdict_despite_suspended_reporters)
{
    const auto fleet = startedFleet(195, 4);
    // Half of the large entry VMs, from which the reporters of the zones are selected.
    std::set<std::size_t> suspended{0, 1, 2, 3, 4};
    for (const auto index : suspended)
        fleet->node(index).clock_.setPaused(true);
    crashThreeEndpoints(*fleet);
    fleet->pass(bound);
    for (std::size_t i = 0; i < fleet->size(); ++i)
        cr_assert(suspended.contains(i) || hasVerdict(*fleet, i), "entry VM %zu", i);
}

Test(crashing_requests, entry_vm_that_was_suspended_or_cut_off_learns_the_verdict_afterwards)
{
    const auto fleet = startedFleet(40, 5);
    auto &suspended = fleet->node(13);
    suspended.clock_.setPaused(true);
    auto &cutOff = fleet->node(14);
    cutOff.receiveDelay_ = seconds(60);
    crashThreeEndpoints(*fleet);
    fleet->pass(seconds(8));
    cr_assert_not(hasVerdict(*fleet, 14));
    suspended.clock_.setPaused(false);
    cutOff.receiveDelay_ = {};
    fleet->pass(seconds(1));
    cr_assert(hasVerdict(*fleet, 13));
    cr_assert(hasVerdict(*fleet, 14));
}

Test(crashing_requests, verdict_is_kept_in_the_store_by_one_entry_vm_only_and_deleted_at_its_end)
{
    const auto fleet = startedFleet(40, 6);
    const auto rows = [&] {
        std::size_t result = 0;
        for (const auto &[key, row] : fleet->platform_.rows())
            result += key.table_ == "quarantine" ? 1 : 0;
        return result;
    };
    crashThreeEndpoints(*fleet);
    const auto before = fleet->storeCalls();
    fleet->pass(seconds(2));
    cr_assert_eq(rows(), 1);
    cr_assert_lt(fleet->storeCalls() - before, 40);
    fleet->pass(PoisonPills::firstQuarantine);
    cr_assert_eq(rows(), 0);
}

Test(crashing_requests, operator_lifts_a_quarantine_by_deleting_its_row)
{
    const auto fleet = startedFleet(7, 8);
    crashThreeEndpoints(*fleet);
    fleet->pass(seconds(2));
    cr_assert(hasVerdict(*fleet, 3));
    platform::Transaction transaction;
    transaction.writes_.push_back({{"quarantine", pill.text()}, std::nullopt});
    (void)fleet->platform_.apply(transaction);
    fleet->pass(seconds(35));
    for (std::size_t i = 0; i < fleet->size(); ++i)
        cr_assert_not(hasVerdict(*fleet, i), "entry VM %zu", i);
}
