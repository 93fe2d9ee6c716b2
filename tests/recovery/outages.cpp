// Restarts, outages and drains of whole control nodes.
#include "support/promise_check.hpp"

#include <algorithm>
#include <cstdio>

#include <criterion/criterion.h>

using namespace cardamombay;
using namespace cardamombay::support;
using std::chrono::milliseconds;
using std::chrono::minutes;
using std::chrono::seconds;

namespace {

ControlFleetShape shape(std::vector<std::uint32_t> entriesPerZone)
{
    ControlFleetShape shape;
    shape.entriesPerZone_ = std::move(entriesPerZone);
    shape.charts_ = SOURCE_FOLDER "/charts";
    return shape;
}

/// A formed fleet with a configuration in force.
struct FormedFleet
{
    explicit FormedFleet(std::vector<std::uint32_t> entriesPerZone = {3, 2})
        : fleet_(shape(std::move(entriesPerZone)))
    {
        fleet_.applyConfiguration("first");
        cr_assert(fleet_.runUntil([this] { return fleet_.isServing() && fleet_.isInForce(); },
                                  minutes(3)));
    }

    /// The entry VM that holds the lease of a fabric domain; none while nobody does.
    [[nodiscard]] std::optional<std::size_t> holder(const FabricDomain &domain) const
    {
        for (std::size_t index = 0; index < fleet_.size(); ++index) {
            const auto &node = fleet_.entry(index).node_;
            const auto *lease = node ? node->planner().lease(domain) : nullptr;
            if (lease && lease->isHeld())
                return index;
        }
        return std::nullopt;
    }

    /// Time until another entry VM holds the lease.
    [[nodiscard]] Duration gapAfter(const FabricDomain &domain, std::size_t former)
    {
        const TimePoint begin = fleet_.clock_.now();
        const auto isMoved = [&] {
            const auto now = holder(domain);
            return now && *now != former;
        };
        cr_assert(fleet_.runUntil(isMoved, minutes(2)));
        return fleet_.clock_.now() - begin;
    }

    /// Runs with the promises checked twice a second.
    void runChecked(Duration time)
    {
        for (; time > Duration::zero(); time -= milliseconds(500)) {
            fleet_.run(milliseconds(500));
            const auto fault = promises_.check();
            cr_assert(fault.empty(), "%s", fault.c_str());
        }
    }

    ControlFleet fleet_;
    PromiseCheck promises_{fleet_};
};

/// Most calls that reached the store within one second.
struct StoreRate
{
    std::uint64_t commits_ = 0;
    std::uint64_t reads_ = 0;
};

StoreRate highestRate(ControlFleet &fleet, std::size_t secondsLong)
{
    StoreRate highest;
    for (std::size_t second = 0; second < secondsLong; ++second) {
        const auto before = fleet.storeCalls_;
        fleet.run(seconds(1));
        highest.commits_ = std::max(highest.commits_, fleet.storeCalls_.commits_ - before.commits_);
        highest.reads_ = std::max(highest.reads_, fleet.storeCalls_.reads_ - before.reads_);
    }
    return highest;
}

} // namespace

Test(recovery, restart_of_all_but_one_keeps_the_configuration)
{
    for (const bool isStoreDown : {false, true}) {
        FormedFleet formed;
        auto &fleet = formed.fleet_;
        fleet.applyConfiguration("second");
        cr_assert(fleet.runUntil([&] { return fleet.stored() == ConfigVersion{2}; }, seconds(5)));
        cr_assert(fleet.runUntil([&] { return fleet.isInForce(); }, seconds(5)));

        fleet.platform_.faults_.isDown_ = isStoreDown;
        for (std::size_t index = 1; index < fleet.size(); ++index)
            fleet.restartEntry(index);
        formed.runChecked(seconds(10));

        cr_assert(fleet.isInForce(), "store down: %d", isStoreDown);
    }
}

Test(recovery, groups_serve_through_an_hour_without_the_store)
{
    FormedFleet formed;
    auto &fleet = formed.fleet_;
    fleet.platform_.faults_.isDown_ = true;

    for (int part = 0; part < 60; ++part) {
        formed.runChecked(minutes(1));
        cr_assert(fleet.isServing(), "minute %d", part);
    }
    const auto duringOutage = highestRate(fleet, 30);
    fleet.platform_.faults_.isDown_ = false;
    formed.runChecked(minutes(2));

    cr_assert(fleet.isServing());
    cr_assert(formed.holder(fleet.domains().front()).has_value());
    cr_assert_leq(duringOutage.reads_ + duringOutage.commits_, fleet.size());
}

Test(recovery, fleet_returns_to_the_store_within_its_rate)
{
    FormedFleet formed({14, 14, 14, 14, 14});
    auto &fleet = formed.fleet_;
    const platform::StorePacing limits;
    fleet.platform_.faults_.isDown_ = true;
    fleet.run(minutes(3));
    for (const FabricDomain &domain : fleet.domains())
        fleet.killVm(fleet.vmsOf(domain).front()); // So that all planners want to write at once.

    fleet.platform_.faults_.isDown_ = false;
    const auto rate = highestRate(fleet, 40);

    std::printf("70 entry VMs after an outage: at most %lu commits and %lu reads a second\n",
                rate.commits_, rate.reads_);
    cr_assert_leq(static_cast<double>(rate.commits_), limits.fleetWritesPerSecond_);
    cr_assert_leq(static_cast<double>(rate.reads_), limits.fleetReadsPerSecond_);
}

Test(recovery, drain_hands_planning_over_within_seconds)
{
    FormedFleet formed;
    auto &fleet = formed.fleet_;
    const FabricDomain domain = fleet.domains().front();
    const std::size_t former = formed.holder(domain).value();

    fleet.entry(former).node_->drain();
    const Duration gap = formed.gapAfter(domain, former);

    std::printf("planning gap after a drain: %lld ms\n",
                static_cast<long long>(toMilliseconds(gap)));
    cr_assert_leq(gap, seconds(10));
    cr_assert(fleet.runUntil([&] { return fleet.entry(former).node_->isDrained(); }, seconds(5)));
    cr_assert(fleet.isServing());
}

Test(recovery, planning_goes_on_after_its_entry_vm_dies)
{
    FormedFleet formed;
    auto &fleet = formed.fleet_;
    const FabricDomain domain = fleet.domains().front();
    const std::size_t former = formed.holder(domain).value();

    fleet.killEntry(former);
    const Duration gap = formed.gapAfter(domain, former);

    std::printf("planning gap after a death: %lld ms\n",
                static_cast<long long>(toMilliseconds(gap)));
    const leases::LeaseSettings lease;
    cr_assert_leq(gap, lease.duration_ + lease.margin_ + lease.renewEvery_ + 3 * lease.rankDelay_);
}

Test(recovery, zone_without_entry_vms_is_planned_by_its_region)
{
    FormedFleet formed;
    auto &fleet = formed.fleet_;
    fleet.killEntry(3);
    fleet.killEntry(4); // All of zone z1.
    const FabricDomain domain = fleet.domains().back();

    formed.runChecked(seconds(40));
    cr_assert(formed.holder(domain).has_value());
    const auto vms = fleet.vmsOf(domain);
    fleet.killVm(vms[0]);
    fleet.killVm(vms[1]);
    formed.runChecked(minutes(5));

    cr_assert_eq(fleet.wholeGroups(), fleet.declaredReplicas());
}

Test(recovery, dark_fabric_domain_returns_without_losing_a_replica)
{
    FormedFleet formed;
    auto &fleet = formed.fleet_;
    const auto vms = fleet.vmsOf(fleet.domains().front());
    for (const VmId &vm : vms)
        fleet.pauseVm(vm);
    formed.runChecked(minutes(3));
    for (const VmId &vm : vms)
        fleet.resumeVm(vm);

    formed.runChecked(minutes(5));

    cr_assert(fleet.isServing());
}
