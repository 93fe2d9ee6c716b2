#include "fixture.hpp"

#include <criterion/criterion.h>

using namespace cardamombay;
using namespace cardamombay::groups;
using namespace cardamombay::support;
using fixture::advanceChecked;
using fixture::makeShape;
using fixture::waitUntilServing;
using std::chrono::milliseconds;
using std::chrono::minutes;
using std::chrono::seconds;

namespace {

/// An order from the lease holder of \p epoch, for another formation.
endpoint::EndpointOrder staleAssign(const VmId &vm, std::uint64_t epoch)
{
    endpoint::EndpointOrder order;
    order.id_ = OrderId("stale-" + vm.text());
    order.vm_ = vm;
    order.fencing_ = Epoch(epoch);
    order.assignment_ = {GroupId("lm/zone/9"), Generation(1), 0};
    order.model_ = modelService(1, 3).model_;
    order.members_ = {vm};
    return order;
}

Address addressOf(const PlannerFleet &fleet, const VmId &vm)
{
    for (const auto &record : fleet.vms_) {
        if (record.id_ == vm)
            return record.address_;
    }
    return {};
}

VmId spareOf(const PlannerFleet &fleet)
{
    for (const VmId &vm : fleet.vmsOf(0)) {
        const auto row = fleet.vmRow(vm);
        if (!row || row->isFree())
            return vm;
    }
    return {};
}

} // namespace

Test(two_planners, planner_resumed_after_its_lease_expired_sends_no_orders)
{
    PlannerFleet fleet(makeShape(1, 7, 2));
    PlannerNode &first = fleet.addNode();
    PlannerNode &second = fleet.addNode(1);
    waitUntilServing(fleet, 2);

    first.pause();
    fleet.kill(fleet.row(0)->members_[0]);
    advanceChecked(fleet, minutes(2));
    const std::size_t ordersBefore = fleet.endpoints_.orders().size();
    first.resume();
    advanceChecked(fleet, minutes(1));

    cr_assert(second.lease().isHeld());
    cr_assert(fleet.isServing(0));
    for (std::size_t each = ordersBefore; each < fleet.endpoints_.orders().size(); ++each)
        cr_assert(fleet.endpoints_.orders()[each].from_ != first.self_);
}

Test(two_planners, new_planner_takes_over_groups_without_disturbing_them)
{
    PlannerFleet fleet(makeShape(1, 7, 2));
    PlannerNode &first = fleet.addNode();
    PlannerNode &second = fleet.addNode(1);
    waitUntilServing(fleet, 2);
    const std::uint64_t commits = fleet.platform_.commits_;
    const std::size_t orders = fleet.endpoints_.orders().size();

    first.lease().release();
    for (int step = 0; step < 240; ++step) {
        fleet.advance(milliseconds(250));
        cr_assert_eq(fleet.servingCount(), 2U);
    }

    cr_assert(second.lease().isHeld());
    cr_assert_eq(second.manager().groups().size(), 2U);
    cr_assert_eq(fleet.endpoints_.orders().size(), orders);
    cr_assert_leq(fleet.platform_.commits_ - commits, 20U); // Lease writes only.
}

Test(two_planners, new_planner_completes_a_load_that_a_lost_planner_started)
{
    PlannerFleet fleet(makeShape(1, 7, 2));
    PlannerNode &first = fleet.addNode();
    fleet.addNode(1);
    cr_assert(fleet.advanceUntil(
        [&] {
            return fleet.endpoints_.state(PlannerFleet::vm(6)).phase_
                   == endpoint::EnginePhase::Loading;
        },
        minutes(1)));

    first.pause();
    advanceChecked(fleet, minutes(2));

    cr_assert_eq(fleet.servingCount(), 2U);
}

Test(two_planners, stale_order_is_refused_by_an_endpoint_that_checks)
{
    PlannerFleet fleet(makeShape(1, 7, 2));
    PlannerNode &first = fleet.addNode();
    fleet.addNode(1);
    waitUntilServing(fleet, 2);
    first.lease().release();
    advanceChecked(fleet, seconds(20));
    fleet.restart(fleet.row(0)->members_[1]);
    advanceChecked(fleet, minutes(1)); // Formed again by the second planner, with its epoch.
    const GroupRow formed = *fleet.row(0);
    endpoint::EndpointOrder stale = staleAssign(formed.members_[0], 1);
    stale.kind_ = endpoint::OrderKind::Release;
    stale.assignment_ = {formed.group_, formed.generation_, 0};

    bool isRefused = false;
    first.orders_.send(addressOf(fleet, stale.vm_), stale,
                       [&](const auto &result) { isRefused = isError<EndpointRefused>(result); });
    advanceChecked(fleet, seconds(5));

    cr_assert(isRefused);
    cr_assert(fleet.isServing(0));
}

Test(two_planners, stale_order_accepted_by_an_endpoint_is_undone)
{
    FleetShape shape = makeShape(1, 7, 2);
    shape.checksFencing_ = false;
    PlannerFleet fleet(shape);
    PlannerNode &node = fleet.addNode();
    waitUntilServing(fleet, 2);
    const VmId spare = spareOf(fleet);

    node.orders_.send(addressOf(fleet, spare), staleAssign(spare, 0), [](const auto &) {});
    advanceChecked(fleet, seconds(1));
    cr_assert(fleet.endpoints_.state(spare).assignment_.has_value());
    advanceChecked(fleet, seconds(20));

    cr_assert_not(fleet.endpoints_.state(spare).assignment_.has_value());
    cr_assert_eq(fleet.servingCount(), 2U);
}

Test(two_planners, group_is_formed_again_after_a_stale_release_at_an_endpoint_that_ignores_fencing)
{
    FleetShape shape = makeShape(1, 7, 2);
    shape.checksFencing_ = false;
    PlannerFleet fleet(shape);
    PlannerNode &node = fleet.addNode();
    waitUntilServing(fleet, 2);
    const GroupRow before = *fleet.row(0);
    endpoint::EndpointOrder stale = staleAssign(before.members_[1], 0);
    stale.kind_ = endpoint::OrderKind::Release;
    stale.assignment_ = {before.group_, before.generation_, 1};

    node.orders_.send(addressOf(fleet, stale.vm_), stale, [](const auto &) {});
    advanceChecked(fleet, minutes(1));

    cr_assert(fleet.row(0)->generation_ > before.generation_);
    cr_assert(fleet.isServing(0));
}

Test(two_planners, new_planner_observes_the_quiet_period_for_endpoints_that_ignore_fencing)
{
    FleetShape shape = makeShape(1, 7, 2);
    shape.checksFencing_ = false;
    PlannerFleet fleet(shape);
    PlannerNode &first = fleet.addNode();
    PlannerNode &second = fleet.addNode(1);
    waitUntilServing(fleet, 2);
    // Without a quiet period the new planner would release this stale assignment at once.
    const VmId spare = spareOf(fleet);
    first.lease().release();
    first.orders_.send(addressOf(fleet, spare), staleAssign(spare, 1), [](const auto &) {});

    cr_assert(fleet.advanceUntil([&] { return second.lease().isHeld(); }, minutes(1)));
    const TimePoint previousOrdersUntil = second.lease().previousOrdersUntil();
    advanceChecked(fleet, minutes(1));

    bool hasOrdered = false;
    for (const auto &received : fleet.endpoints_.orders()) {
        if (received.from_ != second.self_)
            continue;
        hasOrdered = true;
        cr_assert(received.at_ >= previousOrdersUntil);
    }
    cr_assert(hasOrdered);
}

Test(two_planners, planners_of_two_domains_never_form_one_slot_twice)
{
    PlannerFleet fleet(makeShape(3, 7, 5));
    fleet.addNode();

    advanceChecked(fleet, minutes(2));

    cr_assert_eq(fleet.servingCount(), 5U);
}

Test(two_planners, slot_of_a_lost_domain_moves_and_its_vms_return_as_spares)
{
    FleetShape shape = makeShape(2, 6, 3);
    shape.policy_.returnProbability_ = 0.2;
    PlannerFleet fleet(shape);
    fleet.addNode();
    waitUntilServing(fleet, 3);
    std::uint32_t groupsOfFirst = 0;
    for (std::uint32_t slot = 0; slot < 3; ++slot)
        groupsOfFirst += fleet.row(slot)->domain_ == PlannerFleet::domain(0) ? 1 : 0;
    const std::uint32_t lostDomain = groupsOfFirst == 2 ? 0 : 1; // The domain with two groups.

    for (const VmId &vm : fleet.vmsOf(lostDomain))
        fleet.pauseVm(vm);
    advanceChecked(fleet, minutes(2));
    cr_assert_eq(fleet.servingCount(), 2U); // One stayed and one was moved.
    for (const VmId &vm : fleet.vmsOf(lostDomain))
        fleet.resumeVm(vm);
    advanceChecked(fleet, minutes(2));

    cr_assert_eq(fleet.servingCount(), 3U);
}
