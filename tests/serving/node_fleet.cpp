// Complete control planes of many entry VMs: confirmation of data, selection of the planner, calls
// to the store.
#include "support/node_fleet.hpp"

#include <algorithm>
#include <cstdio>

#include <criterion/criterion.h>

using namespace cardamombay;
using namespace cardamombay::serving;
using namespace cardamombay::support;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

/// A revoked key must not be accepted any longer than that.
constexpr Duration revocation = seconds(5);

std::string keyOf(std::uint64_t version)
{
    return "key-" + std::to_string(version);
}

/// Counts nodes that still accept a key of a configuration that was replaced too long ago.
std::size_t nodesWithRevokedKey(NodeFleet &fleet, const std::vector<TimePoint> &replacedAt)
{
    std::size_t result = 0;
    for (std::size_t version = 1; version < replacedAt.size(); ++version) {
        if (fleet.clock_.now() - replacedAt[version] <= revocation)
            continue;
        for (std::size_t i = 0; i < fleet.size(); ++i)
            result += fleet.node(i).acceptsKey(keyOf(version)) ? 1 : 0;
    }
    return result;
}

/// Nodes that call the store within three seconds of steady state; these watch it for the others.
std::vector<FleetNode *> watchersOf(NodeFleet &fleet)
{
    std::vector<std::size_t> before;
    for (std::size_t i = 0; i < fleet.size(); ++i)
        before.push_back(fleet.node(i).storeCalls_);
    fleet.pass(seconds(3));
    std::vector<FleetNode *> result;
    for (std::size_t i = 0; i < fleet.size(); ++i) {
        if (fleet.node(i).hasCalledSince(before[i]))
            result.push_back(&fleet.node(i));
    }
    return result;
}

/// Changes the configuration \p phase after startup has settled, just after the store stopped
/// answering all nodes that watch it.
/// \returns the time until all other nodes have applied the change.
Duration timeToLearnWithoutWatchers(std::size_t entries, std::size_t zones, Duration phase)
{
    NodeFleet fleet(entries, zones, entries > 16 ? 1 : 0, 11);
    fleet.configure(1, {keyOf(1)});
    fleet.start();
    fleet.pass(seconds(4) + phase);
    const auto watchers = watchersOf(fleet);
    cr_assert_gt(watchers.size(), 0);
    cr_assert_lt(watchers.size() * 2, entries);
    for (auto *watcher : watchers)
        watcher->isStoreSilent_ = true;
    fleet.configure(2, {keyOf(2)});
    const auto changedAt = fleet.clock_.now();
    const auto lacksChange = [&] {
        for (std::size_t i = 0; i < fleet.size(); ++i) {
            if (!fleet.node(i).isStoreSilent_ && fleet.node(i).configuration() < ConfigVersion(2))
                return true;
        }
        return false;
    };
    while (lacksChange() && fleet.clock_.now() - changedAt < seconds(10))
        fleet.pass(milliseconds(10));
    return fleet.clock_.now() - changedAt;
}

/// The maximum of that time over all phases of the watches' calls.
Duration longestTimeToLearn(std::size_t entries, std::size_t zones)
{
    Duration longest{};
    for (int phase = 0; phase < 1600; phase += 100)
        longest
            = std::max(longest, timeToLearnWithoutWatchers(entries, zones, milliseconds(phase)));
    std::printf("%zu entry VMs: a change is in force after %lld ms at the latest\n", entries,
                static_cast<long long>(toMilliseconds(longest)));
    return longest;
}

} // namespace

/// Guards against a revoked key that stays in use: it was accepted for 3.2 s after its removal,
/// where a configuration must take effect within 3 s at every entry VM that reaches the store (2 s
/// in a fleet of seven). The store had stopped answering 23 of 65 entry VMs, among them all three
/// watchers, 0.3 s before the change. The others relied on the watchers' confirmations until these
/// were 2.9 s old and then waited 1.3 s more for their digests, so the first of them queried the
/// store 3.7 s after the change.
Test(node_fleet, change_is_in_force_in_time_when_the_store_is_silent_for_all_that_watch_it)
{
    cr_expect_lt(longestTimeToLearn(40, 4).count(), Duration(seconds(3)).count());
    cr_expect_lt(longestTimeToLearn(7, 3).count(), Duration(seconds(2)).count());
}

/// Forty changes, each of which revokes the key of the previous one, under delayed and lost
/// datagrams, paused processes and interrupted links to the store. A node may accept keys only
/// while their configuration has been confirmed in time.
Test(node_fleet, no_key_is_honoured_past_its_bound_whatever_queues_datagrams_wait_in)
{
    for (std::uint64_t seed = 1; seed <= 3; ++seed) {
        NodeFleet fleet(40, 4, 1, seed);
        fleet.faults_ = {0.1, milliseconds(30)};
        std::vector<TimePoint> replacedAt{{}};
        fleet.configure(1, {keyOf(1)});
        fleet.start();
        fleet.pass(seconds(3));
        std::size_t letIn = 0;
        for (std::uint64_t version = 2; version <= 40; ++version) {
            fleet.configure(version, {keyOf(version)});
            replacedAt.push_back(fleet.clock_.now());
            for (int i = 0; i < 6; ++i) {
                auto &node = fleet.node(fleet.random_.below(fleet.size()));
                node.receiveDelay_ = milliseconds(fleet.random_.below(2) * 7000);
                fleet.node(fleet.random_.below(fleet.size())).store_.isCutOff_
                    = fleet.random_.below(3) > 0;
                fleet.node(fleet.random_.below(fleet.size()))
                    .clock_.setPaused(fleet.random_.below(5) == 0);
            }
            for (int step = 0; step < 4; ++step) {
                fleet.pass(milliseconds(fleet.random_.below(200)));
                cr_assert_eq(nodesWithRevokedKey(fleet, replacedAt), 0, "seed %llu version %llu",
                             static_cast<unsigned long long>(seed),
                             static_cast<unsigned long long>(version));
                for (std::size_t i = 0; i < fleet.size(); ++i)
                    letIn += fleet.node(i).acceptsKey(keyOf(version)) ? 1 : 0;
            }
        }
        // Nodes do accept the current key meanwhile.
        cr_assert_gt(letIn, 0);
    }
}

Test(node_fleet, calls_to_the_store_do_not_grow_with_the_fleet)
{
    std::vector<double> callsPerEntry;
    std::vector<double> callsPerSecond;
    for (const std::size_t entries : {24U, 96U}) {
        NodeFleet fleet(entries, 4, 2, 7);
        fleet.faults_ = {0.01, milliseconds(5)};
        fleet.configure(1, {keyOf(1)});
        fleet.start();
        fleet.pass(seconds(3));
        const auto atStart = fleet.storeCalls();
        callsPerEntry.push_back(static_cast<double>(atStart) / static_cast<double>(entries));
        for (std::uint64_t version = 2; version <= 21; ++version) {
            fleet.configure(version, {keyOf(version)});
            fleet.pass(milliseconds(500));
        }
        fleet.pass(seconds(1));
        callsPerSecond.push_back(static_cast<double>(fleet.storeCalls() - atStart) / 10);
        for (std::size_t i = 0; i < fleet.size(); ++i)
            cr_assert(fleet.node(i).acceptsKey(keyOf(21)), "node %zu", i);
    }
    std::printf("calls to the store: at the start %.1f and %.1f an entry VM, then %.1f and %.1f a "
                "second (24 and 96 entry VMs)\n",
                callsPerEntry[0], callsPerEntry[1], callsPerSecond[0], callsPerSecond[1]);
    cr_assert_lt(callsPerEntry[1], 8);
    cr_assert_lt(callsPerSecond[1], 30);
    cr_assert_lt(callsPerSecond[1], 1.5 * callsPerSecond[0] + 5);
}

Test(node_fleet, large_entry_vm_plans_and_another_one_takes_over_when_its_view_is_old)
{
    NodeFleet fleet(40, 4, 1, 5);
    fleet.configure(1, {keyOf(1)});
    fleet.start();
    fleet.pass(seconds(4));
    auto *first = fleet.planner();
    cr_assert_not_null(first);
    cr_assert(first->isLarge_);
    // It still reaches the store for its lease, but receives no changes of endpoints.
    first->receiveDelay_ = seconds(60);
    first->isFeedDown_ = true;
    FleetNode *second = nullptr;
    for (int i = 0; i < 60 && (second == nullptr || second == first); ++i) {
        fleet.pass(milliseconds(100));
        second = fleet.planner();
    }
    cr_assert_not_null(second);
    cr_assert_neq(second, first);
    cr_assert(second->isLarge_);
}

Test(node_fleet, planner_that_is_paused_is_replaced_within_three_seconds)
{
    NodeFleet fleet(40, 4, 1, 9);
    fleet.configure(1, {keyOf(1)});
    fleet.start();
    fleet.pass(seconds(4));
    auto *first = fleet.planner();
    cr_assert_not_null(first);
    first->clock_.setPaused(true);
    FleetNode *second = nullptr;
    for (int step = 0; step < 60 && second == nullptr; ++step) {
        fleet.pass(milliseconds(50));
        for (std::size_t i = 0; i < fleet.size(); ++i) {
            auto &node = fleet.node(i);
            if (&node != first && node.lease_->isHeld())
                second = &node;
        }
    }
    cr_assert_not_null(second);
    // After it resumes it no longer holds the lease.
    first->clock_.setPaused(false);
    cr_assert_not(first->lease_->isHeldFor(Duration::zero()));
}

Test(node_fleet, entry_vms_are_told_by_peers_what_changed_when_the_store_forgets_its_history)
{
    NodeFleet fleet(60, 4, 1, 3);
    fleet.configure(1, {keyOf(1)});
    for (int i = 0; i < 30; ++i)
        fleet.list("engine-" + std::to_string(i), "d");
    fleet.start();
    fleet.pass(seconds(4));
    const auto before = fleet.storeCalls();
    // The watches miss these changes.
    for (std::size_t i = 0; i < fleet.size(); ++i)
        fleet.node(i).isFeedDown_ = true;
    fleet.list("engine-new", "d");
    fleet.list("engine-3", "");
    fleet.list("engine-4", "other");
    fleet.historyStart_ = fleet.platform_.version();
    for (std::size_t i = 0; i < fleet.size(); ++i)
        fleet.node(i).isFeedDown_ = false;
    fleet.pass(seconds(3));
    for (std::size_t i = 0; i < fleet.size(); ++i) {
        const auto &book = fleet.node(i).endpointRegistry_;
        cr_assert_not_null(book.find(VmId("engine-new")), "node %zu", i);
        cr_assert_null(book.find(VmId("engine-3")), "node %zu", i);
        cr_assert_eq(book.find(VmId("engine-4"))->domain_, FabricDomain("other"), "node %zu", i);
    }
    cr_assert_lt(fleet.storeCalls() - before, fleet.size());
}

/// Guards against taking delay for loss. At 300 entry VMs, whose reporters' links were saturated, a
/// leaving endpoint took 2.5 s to become known instead of 1.5 s, and the store sent a tenth more:
/// confirmations arrived so late that their age suggested failed watchers, and the other entry VMs
/// queried the store as well, although confirmations still advanced.
Test(node_fleet, late_datagrams_do_not_make_the_others_watch_the_store)
{
    std::vector<double> calls;
    for (const int longestWay : {5, 1200}) {
        NodeFleet fleet(96, 4, 2, 7);
        fleet.faults_ = {0.01, milliseconds(longestWay)};
        fleet.configure(1, {keyOf(1)});
        fleet.start();
        fleet.pass(seconds(5));
        const auto before = fleet.storeCalls();
        fleet.pass(seconds(10));
        calls.push_back(static_cast<double>(fleet.storeCalls() - before) / 10);
    }
    std::printf("calls to the store, 96 entry VMs: %.1f a second, %.1f with datagrams that take up "
                "to 1.2 s\n",
                calls[0], calls[1]);
    cr_assert_lt(calls[1], 1.5 * calls[0]);
}

Test(node_fleet, duties_are_dealt_once_a_digest_at_most_however_many_entry_vms_start)
{
    for (const std::size_t entries : {24, 96, 195}) {
        NodeFleet fleet(entries, 3, 2, 9);
        fleet.start();
        const auto started = fleet.clock_.now();
        fleet.pass(seconds(3));
        double most = 0;
        for (std::size_t i = 0; i < fleet.size(); ++i)
            most = std::max(most, fleet.node(i).metrics_.peerUpdates_.value());
        std::printf("%zu entry VMs start: duties assigned up to %g times\n", entries, most);
        const auto digests = (fleet.clock_.now() - started + seconds(1)) / digestPeriod;
        cr_expect_leq(most, static_cast<double>(digests));
    }
}
