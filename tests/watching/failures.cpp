#include "fixture.hpp"

#include <algorithm>
#include <set>

#include <criterion/criterion.h>

using namespace cardamombay;
using cardamombay::support::Fleet;
using cardamombay::support::WatchFleet;
using fixture::shape;
using fixture::vmCount;
using platform::VmStatus;
using std::chrono::milliseconds;
using std::chrono::minutes;
using std::chrono::seconds;

namespace {

/// First node that does not watch \p vm.
std::size_t nodeNotWatching(WatchFleet &fleet, const VmId &vm)
{
    const auto watchers = fleet.watchersOf(0, vm);
    std::size_t node = 0;
    while (std::find(watchers.begin(), watchers.end(), node) != watchers.end())
        ++node;
    return node;
}

} // namespace

Test(watching, every_vm_has_two_watchers_in_its_site_and_is_fresh_everywhere)
{
    WatchFleet fleet(shape(7), vmCount);

    fleet.run(seconds(8));

    for (std::size_t i = 0; i < vmCount; ++i) {
        const auto watchers = fleet.watchersOf(0, WatchFleet::vm(i));
        cr_assert_eq(watchers.size(), 2);
        cr_assert(watchers == fleet.watchersOf(6, WatchFleet::vm(i)), "nodes disagree");
        for (const std::size_t node : watchers)
            cr_assert_eq(node % 3, i % 3, "watched from another site");
        cr_assert_eq(fleet.freshAt(WatchFleet::vm(i)), 7);
    }
}

Test(watching, site_without_two_entry_vms_is_watched_from_the_region)
{
    WatchFleet fleet(shape(4, 3), 9);

    fleet.run(seconds(8));

    for (std::size_t i = 0; i < 9; ++i) {
        cr_assert_eq(fleet.watchersOf(0, WatchFleet::vm(i)).size(), 2);
        cr_assert_eq(fleet.freshAt(WatchFleet::vm(i)), 4);
    }
}

Test(watching, freshness_never_lapses_in_a_healthy_fleet)
{
    WatchFleet fleet(shape(7), vmCount);
    fleet.run(seconds(8));

    for (int step = 0; step < 600; ++step) {
        fleet.run(milliseconds(100));
        for (std::size_t i = 0; i < vmCount; ++i)
            cr_assert_eq(fleet.freshAt(WatchFleet::vm(i)), 7, "step %d, VM %zu", step, i);
    }
}

Test(watching, vm_that_refuses_connections_is_excluded_everywhere_within_one_probe_and_flush)
{
    WatchFleet fleet(shape(7), vmCount);
    fleet.run(seconds(8));

    fleet.endpoints_.kill(WatchFleet::vm(5));
    fleet.run(milliseconds(1400));

    cr_assert_eq(fleet.freshAt(WatchFleet::vm(5)), 0);
    cr_assert_eq(fleet.freshAt(WatchFleet::vm(6)), 7);
}

Test(watching, loading_vm_is_probed_four_times_as_often)
{
    WatchFleet fleet(shape(7), 1);
    const VmId vm = WatchFleet::vm(0);
    const auto probesIn = [&](Duration time) {
        const auto before = fleet.endpoints_.probes();
        fleet.run(time);
        return fleet.endpoints_.probes() - before;
    };
    fleet.run(seconds(8));
    const auto idle = probesIn(seconds(10));
    fleet.endpoints_.loadTime_ = minutes(1);
    endpoint::EndpointOrder order;
    order.id_ = OrderId("order-1");
    order.vm_ = vm;
    order.fencing_ = Epoch(1);
    order.assignment_ = {GroupId("lm/zone/0"), Generation(1), 0};
    order.members_ = {vm};
    fleet.orders(0).send(fleet.vms_[0].address_, order,
                         [](const Result<endpoint::EndpointState> &) {});
    fleet.run(seconds(2));

    const auto loading = probesIn(seconds(10));

    cr_assert_eq(idle, 20U);
    cr_assert_eq(loading, 80U);
}

Test(watching, connection_refusal_is_superseded_by_a_later_answer)
{
    WatchFleet fleet(shape(7), vmCount);
    const VmId vm = WatchFleet::vm(5);
    fleet.run(seconds(8));
    const auto watchers = fleet.watchersOf(0, vm);
    membership::Digest digest;
    digest.from_.id_ = Fleet::id(watchers.front());
    digest.watch_ = membership::WatchSummary{};
    digest.gone_.push_back({vm, Duration{}});

    fleet.watcher(0).merge(digest);
    cr_assert_not(fleet.watcher(0).isFresh(vm));
    fleet.run(milliseconds(2500));

    cr_assert(fleet.watcher(0).isFresh(vm));
}

Test(watching, load_of_a_leader_reaches_all_and_leaves_the_rest_of_its_state)
{
    WatchFleet fleet(shape(7), vmCount);
    const VmId vm = WatchFleet::vm(5);
    fleet.run(seconds(8));

    fleet.endpoints_.setLoad(vm, endpoint::LoadReport{9, 4, 0.5, milliseconds(20)});
    fleet.run(milliseconds(2300));

    for (const std::size_t node : fleet.fleet_.all())
        cr_assert(fleet.watcher(node).observation(vm)->state_ == fleet.endpoints_.state(vm));
}

Test(watching, paused_vm_lapses_everywhere_within_the_window)
{
    WatchFleet fleet(shape(7), vmCount);
    fleet.run(seconds(8));

    fleet.endpoints_.pause(WatchFleet::vm(5));
    fleet.run(milliseconds(3001));
    cr_assert_eq(fleet.freshAt(WatchFleet::vm(5)), 0);

    fleet.endpoints_.resume(WatchFleet::vm(5));
    fleet.run(seconds(3));
    cr_assert_eq(fleet.freshAt(WatchFleet::vm(5)), 7);
}

Test(watching, answers_delayed_by_a_paused_vm_do_not_extend_freshness)
{
    WatchFleet fleet(shape(7), vmCount);
    const VmId vm = WatchFleet::vm(5);
    fleet.run(seconds(8));
    fleet.endpoints_.pause(vm);
    fleet.run(milliseconds(900));
    const std::size_t watcher = fleet.watchersOf(0, vm).front();
    const TimePoint before = fleet.watcher(watcher).freshUntil(vm);

    fleet.orders(watcher).isCutOff_ = true;
    fleet.endpoints_.resume(vm);
    fleet.run(milliseconds(5));

    // The probe was sent during the pause, so its answer is no evidence of a later state.
    const TimePoint after = fleet.watcher(watcher).freshUntil(vm);
    cr_assert_leq((after - before).count(), Duration(milliseconds(1000)).count());
    cr_assert_lt(after.time_since_epoch().count(),
                 (fleet.fleet_.clock_.now() + seconds(3)).time_since_epoch().count());
}

Test(watching, loss_of_one_watcher_keeps_all_vms_fresh)
{
    WatchFleet fleet(shape(7), vmCount);
    fleet.run(seconds(8));

    fleet.fleet_.kill(1);
    for (int step = 0; step < 150; ++step) {
        fleet.run(milliseconds(100));
        for (std::size_t i = 0; i < vmCount; ++i)
            cr_assert_geq(fleet.freshAt(WatchFleet::vm(i)), 6, "step %d, VM %zu", step, i);
    }
    // Another node has replaced the lost watcher.
    for (std::size_t i = 0; i < vmCount; ++i) {
        const auto watchers = fleet.watchersOf(0, WatchFleet::vm(i));
        cr_assert_eq(watchers.size(), 2);
        cr_assert_eq(std::count(watchers.begin(), watchers.end(), 1), 0);
    }
}

Test(watching, router_probes_by_itself_when_both_watchers_are_lost)
{
    WatchFleet fleet(shape(12), vmCount);
    const VmId vm = WatchFleet::vm(5);
    fleet.run(seconds(8));
    const std::size_t router = nodeNotWatching(fleet, vm);
    for (const std::size_t node : fleet.watchersOf(0, vm))
        fleet.fleet_.kill(node);

    for (int step = 0; step < 200; ++step) {
        fleet.watcher(router).need(vm);
        fleet.run(milliseconds(100));
        cr_assert(fleet.watcher(router).isFresh(vm), "step %d", step);
    }
    cr_assert_gt(fleet.watcher(router).counters().probesOfNeededVms_, 0);
}

Test(watching, router_does_not_probe_vms_reported_by_peers)
{
    WatchFleet fleet(shape(7), vmCount);
    fleet.run(seconds(8));

    for (int step = 0; step < 200; ++step) {
        for (std::size_t i = 0; i < vmCount; ++i)
            fleet.watcher(0).need(WatchFleet::vm(i));
        fleet.run(milliseconds(100));
    }

    cr_assert_eq(fleet.watcher(0).counters().probesOfNeededVms_, 0);
}

Test(watching, vm_of_another_site_is_reported_once_needed)
{
    WatchFleet fleet(shape(60, 3), 12);
    const VmId vm = WatchFleet::vm(1);
    fleet.run(seconds(12));
    cr_assert_not(fleet.watcher(0).isFresh(vm), "node 0 is in another site");

    for (int step = 0; step < 200; ++step) {
        fleet.watcher(0).need(vm);
        fleet.run(milliseconds(100));
        if (step > 10)
            cr_assert(fleet.watcher(0).isFresh(vm));
    }
    // Its watchers report it after the initial probes, so node 0 stops probing it.
    cr_assert_leq(fleet.watcher(0).counters().probesOfNeededVms_, 3);
}

Test(watching, watcher_cut_off_from_a_vm_does_not_exclude_it)
{
    WatchFleet fleet(shape(7), vmCount);
    const VmId vm = WatchFleet::vm(5);
    fleet.run(seconds(8));

    fleet.orders(fleet.watchersOf(0, vm).front()).cutOffFrom_.insert(vm);
    for (int step = 0; step < 150; ++step) {
        fleet.run(milliseconds(100));
        cr_assert_eq(fleet.freshAt(vm), 7, "step %d", step);
    }
}

Test(watching, node_cut_off_from_all_peers_lapses_what_it_does_not_watch)
{
    WatchFleet fleet(shape(12), vmCount);
    const VmId vm = WatchFleet::vm(5);
    fleet.run(seconds(8));
    const std::size_t router = nodeNotWatching(fleet, vm);

    fleet.fleet_.network_.partition({Fleet::id(router)});
    fleet.run(milliseconds(3001));

    cr_assert_not(fleet.watcher(router).isFresh(vm));
}

Test(watching, resumed_node_treats_nothing_from_before_its_pause_as_fresh)
{
    WatchFleet fleet(shape(7), vmCount);
    fleet.run(seconds(8));
    fleet.fleet_.pause(0);
    fleet.run(milliseconds(800));
    for (std::size_t i = 0; i < vmCount; ++i)
        fleet.endpoints_.kill(WatchFleet::vm(i));
    fleet.run(seconds(30));

    fleet.fleet_.resume(0);

    for (int step = 0; step < 50; ++step) {
        for (std::size_t i = 0; i < vmCount; ++i)
            cr_assert_not(fleet.watcher(0).isFresh(WatchFleet::vm(i)));
        fleet.run(milliseconds(20));
    }
}

Test(watching, restart_of_a_vm_replaces_its_previous_observation)
{
    WatchFleet fleet(shape(7), vmCount);
    const VmId vm = WatchFleet::vm(5);
    fleet.run(seconds(8));
    const auto before = fleet.watcher(0).observation(vm)->state_.incarnation_;

    fleet.endpoints_.kill(vm);
    fleet.endpoints_.restart(vm);
    fleet.run(seconds(3));

    for (const std::size_t node : fleet.fleet_.all()) {
        cr_assert(fleet.watcher(node).observation(vm)->state_.incarnation_ > before);
        cr_assert_eq(fleet.watcher(node).counters().restartsObserved_, 1);
    }
}

Test(watching, observation_of_an_earlier_incarnation_is_ignored)
{
    WatchFleet fleet(shape(7), vmCount);
    const VmId vm = WatchFleet::vm(5);
    fleet.run(seconds(8));
    membership::Digest late;
    late.from_.id_ = EntryId("other");
    late.watch_ = membership::WatchSummary{0, 5, {}, 0, {}};
    late.observations_.push_back({fleet.watcher(0).observation(vm)->state_, {}, false});
    fleet.endpoints_.restart(vm);
    fleet.run(seconds(3));
    const auto state = fleet.watcher(0).observation(vm)->state_;

    fleet.watcher(0).merge(late);

    cr_assert(fleet.watcher(0).observation(vm)->state_ == state);
}

Test(watching, duplicate_and_reordered_digests_never_extend_freshness)
{
    WatchFleet fleet(shape(1, 1), 1);
    const VmId vm = WatchFleet::vm(0);
    fleet.orders(0).isCutOff_ = true;
    fleet.run(seconds(1));
    membership::Digest first;
    first.from_.id_ = EntryId("other");
    first.watch_ = membership::WatchSummary{0, 5, milliseconds(200), 0, {}};
    first.observations_.push_back({fleet.endpoints_.state(vm), milliseconds(200), false});
    fleet.watcher(0).merge(first);
    const TimePoint until = fleet.watcher(0).freshUntil(vm);
    cr_assert_eq((until - fleet.fleet_.clock_.now()).count(), Duration(milliseconds(2800)).count());

    fleet.run(milliseconds(500));
    // Membership adjusts ages to the time of arrival, so the duplicate has a higher age.
    first.watch_->age_ += milliseconds(500);
    first.observations_[0].age_ += milliseconds(500);
    fleet.watcher(0).merge(first);
    cr_assert(fleet.watcher(0).freshUntil(vm) == until);

    // A summary of an unknown set is no evidence about the VM.
    membership::Digest other = first;
    other.observations_.clear();
    other.watch_ = membership::WatchSummary{6, 9, {}, 0, {}};
    fleet.watcher(0).merge(other);
    cr_assert(fleet.watcher(0).freshUntil(vm) == until);
}

Test(watching, observations_of_a_restarted_watcher_are_accepted)
{
    WatchFleet fleet(shape(7), vmCount);
    fleet.run(seconds(8));
    fleet.fleet_.kill(2, false);
    fleet.run(seconds(1));

    fleet.restart(2, Incarnation(50));
    fleet.run(seconds(5));

    for (std::size_t i = 0; i < vmCount; ++i)
        cr_assert_eq(fleet.freshAt(WatchFleet::vm(i)), 7);
}

Test(watching, lost_digests_are_recovered)
{
    WatchFleet fleet(shape(7), vmCount);
    fleet.fleet_.network_.faults_.loss_ = 0.2;
    fleet.fleet_.network_.faults_.duplication_ = 0.2;
    fleet.fleet_.network_.faults_.jitter_ = milliseconds(100);
    fleet.run(seconds(30));
    for (std::size_t i = 0; i < vmCount; i += 2)
        fleet.endpoints_.restart(WatchFleet::vm(i));

    fleet.run(seconds(10));

    for (std::size_t i = 0; i < vmCount; ++i) {
        for (const std::size_t node : fleet.fleet_.all()) {
            const auto *known = fleet.watcher(node).observation(WatchFleet::vm(i));
            cr_assert_not_null(known);
            cr_assert(known->state_ == fleet.endpoints_.state(WatchFleet::vm(i)));
        }
    }
}

Test(watching, straggler_is_distinguished_from_a_failed_vm)
{
    WatchFleet fleet(shape(7), vmCount);
    const VmId slow = WatchFleet::vm(5);
    fleet.run(seconds(8));

    fleet.endpoints_.faults(slow).extraLatency_ = milliseconds(250);
    fleet.endpoints_.pause(WatchFleet::vm(6));
    fleet.run(seconds(15));

    for (const std::size_t node : fleet.fleet_.all()) {
        cr_assert(fleet.watcher(node).isStraggler(slow));
        cr_assert(fleet.watcher(node).isFresh(slow), "a slow VM still answers");
        cr_assert_not(fleet.watcher(node).isFresh(WatchFleet::vm(6)));
        cr_assert_not(fleet.watcher(node).isStraggler(WatchFleet::vm(7)));
    }
    fleet.endpoints_.faults(slow).extraLatency_ = milliseconds(0);
    fleet.run(seconds(15));
    cr_assert_not(fleet.watcher(0).isStraggler(slow));
}

Test(watching, pause_of_the_watcher_reports_no_stragglers)
{
    WatchFleet fleet(shape(7), vmCount);
    fleet.run(seconds(8));

    fleet.fleet_.pause(0);
    fleet.run(seconds(20));
    fleet.fleet_.resume(0);
    fleet.run(seconds(3));

    for (std::size_t i = 0; i < vmCount; ++i)
        cr_assert_not(fleet.watcher(0).isStraggler(WatchFleet::vm(i)));
}
