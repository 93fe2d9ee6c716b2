// Faults that the explorer found, each as the shortest course that shows it.
#include "support/promise_check.hpp"

#include "recovery/explorer.hpp"

#include <criterion/criterion.h>

using namespace cardamombay;
using namespace cardamombay::support;
using std::chrono::minutes;
using std::chrono::seconds;

// Seed 37 of 250 steps: the veto of a VM that nobody had seen running when it was listed as leaving
// took the incarnation of its replacement, and so never ended.
Test(regressions, vm_that_was_down_when_it_left_is_usable_once_replaced)
{
    ControlFleetShape shape;
    shape.entriesPerZone_ = {2};
    shape.domainsPerZone_ = 1;
    shape.vmsPerDomain_ = 7; // All are needed.
    shape.charts_ = SOURCE_FOLDER "/charts";
    ControlFleet fleet(shape);
    fleet.applyConfiguration("first");
    cr_assert(fleet.runUntil([&] { return fleet.isServing(); }, minutes(3)));
    const VmId vm = fleet.vms().front();
    fleet.killVm(vm);
    fleet.killEntry(0);
    fleet.killEntry(1);
    fleet.setLeaving(vm, true);
    fleet.restartEntry(0);
    fleet.restartEntry(1);
    fleet.run(seconds(30));

    fleet.restartVm(vm);
    fleet.run(seconds(5));
    fleet.setLeaving(vm, false);
    fleet.run(seconds(5));

    for (std::size_t index = 0; index < fleet.size(); ++index)
        cr_assert_not(fleet.entry(index).node_->watcher().isLeaving(vm));
    cr_assert(fleet.runUntil([&] { return fleet.isServing(); }, minutes(5)));
}

// Seed 6040 of 300 steps: a holder that lost its place and regained it before the answer to its
// release counted itself as the holder, while another entry VM had the lease.
Test(regressions, lease_under_release_is_not_held_when_wanted_again)
{
    ManualClock clock;
    FakePlatform platform(clock);
    FakeTableStore store(platform);
    const auto charts = control::loadCharts(chart::ChartFolder(SOURCE_FOLDER "/charts"));
    leases::LeaseKeeper lease(clock, store, Random(1), leases::LeaseSettings{}, EntryId("e0"),
                              Incarnation(1), FabricDomain("d"), valueOf(charts).lease_);
    lease.setCandidateRank(0);
    lease.start();
    clock.advance(seconds(1));
    cr_assert(lease.isHeld());

    platform.faults_.latency_ = seconds(2);
    lease.setCandidateRank(std::nullopt);
    clock.advance(seconds(1)); // The row is free; the answer is under way.
    lease.setCandidateRank(0);

    cr_assert_not(lease.isHeld());
}

Test(regressions, former_failing_seeds_pass)
{
    for (const std::uint64_t seed : {37, 6040}) {
        const auto fault = ControlExplorer(seed).explore(250);
        cr_assert(fault.empty(), "seed %lu: %s", seed, fault.c_str());
    }
}
