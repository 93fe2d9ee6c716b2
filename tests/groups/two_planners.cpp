#include "fixture.hpp"

#include <criterion/criterion.h>

using namespace cardamombay;
using namespace cardamombay::groups;
using namespace cardamombay::support;
using fixture::run;
using fixture::serveAll;
using fixture::shapeOf;
using std::chrono::milliseconds;
using std::chrono::minutes;
using std::chrono::seconds;

namespace {

/// An order as the holder of \p epoch would have sent it for another formation.
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

Test(two_planners, planner_that_wakes_after_its_lease_lapsed_orders_nothing)
{
    PlannerFleet fleet(shapeOf(1, 7, 2));
    PlannerNode &first = fleet.addNode();
    PlannerNode &second = fleet.addNode(1);
    serveAll(fleet, 2);

    first.pause();
    fleet.kill(fleet.row(0)->members_[0]);
    run(fleet, minutes(2));
    const std::size_t ordersBefore = fleet.endpoints_.orders().size();
    first.resume();
    run(fleet, minutes(1));

    cr_assert(second.lease().isHeld());
    cr_assert(fleet.isServing(0));
    for (std::size_t each = ordersBefore; each < fleet.endpoints_.orders().size(); ++each)
        cr_assert(fleet.endpoints_.orders()[each].from_ != first.self_);
}

Test(two_planners, new_planner_takes_the_groups_over_without_disturbing_them)
{
    PlannerFleet fleet(shapeOf(1, 7, 2));
    PlannerNode &first = fleet.addNode();
    PlannerNode &second = fleet.addNode(1);
    serveAll(fleet, 2);
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

Test(two_planners, planner_lost_while_a_group_loads_is_followed_by_one_that_finishes)
{
    PlannerFleet fleet(shapeOf(1, 7, 2));
    PlannerNode &first = fleet.addNode();
    fleet.addNode(1);
    cr_assert(fleet.advanceUntil(
        [&] {
            return fleet.endpoints_.state(PlannerFleet::vm(6)).phase_
                   == endpoint::EnginePhase::Loading;
        },
        minutes(1)));

    first.pause();
    run(fleet, minutes(2));

    cr_assert_eq(fleet.servingCount(), 2U);
}

Test(two_planners, stale_order_is_refused_by_an_endpoint_that_checks)
{
    PlannerFleet fleet(shapeOf(1, 7, 2));
    PlannerNode &first = fleet.addNode();
    fleet.addNode(1);
    serveAll(fleet, 2);
    first.lease().release();
    run(fleet, seconds(20));
    fleet.restart(fleet.row(0)->members_[1]);
    run(fleet, minutes(1)); // The formation after it carries the second epoch.
    const GroupRow formed = *fleet.row(0);
    endpoint::EndpointOrder stale = staleAssign(formed.members_[0], 1);
    stale.kind_ = endpoint::OrderKind::Release;
    stale.assignment_ = {formed.group_, formed.generation_, 0};

    bool isRefused = false;
    first.orders_.send(addressOf(fleet, stale.vm_), stale,
                       [&](const auto &result) { isRefused = isError<EndpointRefused>(result); });
    run(fleet, seconds(5));

    cr_assert(isRefused);
    cr_assert(fleet.isServing(0));
}

Test(two_planners, stale_order_that_an_endpoint_takes_is_undone)
{
    FleetShape shape = shapeOf(1, 7, 2);
    shape.checksFencing_ = false;
    PlannerFleet fleet(shape);
    PlannerNode &node = fleet.addNode();
    serveAll(fleet, 2);
    const VmId spare = spareOf(fleet);

    node.orders_.send(addressOf(fleet, spare), staleAssign(spare, 0), [](const auto &) {});
    run(fleet, seconds(1));
    cr_assert(fleet.endpoints_.state(spare).assignment_.has_value());
    run(fleet, seconds(20));

    cr_assert_not(fleet.endpoints_.state(spare).assignment_.has_value());
    cr_assert_eq(fleet.servingCount(), 2U);
}

Test(two_planners, stale_release_at_an_endpoint_that_ignores_fencing_takes_the_group_out)
{
    FleetShape shape = shapeOf(1, 7, 2);
    shape.checksFencing_ = false;
    PlannerFleet fleet(shape);
    PlannerNode &node = fleet.addNode();
    serveAll(fleet, 2);
    const GroupRow before = *fleet.row(0);
    endpoint::EndpointOrder stale = staleAssign(before.members_[1], 0);
    stale.kind_ = endpoint::OrderKind::Release;
    stale.assignment_ = {before.group_, before.generation_, 1};

    node.orders_.send(addressOf(fleet, stale.vm_), stale, [](const auto &) {});
    run(fleet, minutes(1));

    cr_assert(fleet.row(0)->generation_ > before.generation_);
    cr_assert(fleet.isServing(0));
}

Test(two_planners, new_planner_keeps_quiet_towards_endpoints_that_ignore_fencing)
{
    FleetShape shape = shapeOf(1, 7, 2);
    shape.checksFencing_ = false;
    PlannerFleet fleet(shape);
    PlannerNode &first = fleet.addNode();
    PlannerNode &second = fleet.addNode(1);
    serveAll(fleet, 2);
    // A stray assignment would be released at once if there were no quiet period.
    const VmId spare = spareOf(fleet);
    first.lease().release();
    first.orders_.send(addressOf(fleet, spare), staleAssign(spare, 1), [](const auto &) {});

    cr_assert(fleet.advanceUntil([&] { return second.lease().isHeld(); }, minutes(1)));
    const TimePoint previousOrdersUntil = second.lease().previousOrdersUntil();
    run(fleet, minutes(1));

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
    PlannerFleet fleet(shapeOf(3, 7, 5));
    fleet.addNode();

    run(fleet, minutes(2));

    cr_assert_eq(fleet.servingCount(), 5U);
}

Test(two_planners, slot_of_a_dark_domain_moves_and_its_vms_come_back_as_spares)
{
    FleetShape shape = shapeOf(2, 6, 3);
    shape.policy_.returnProbability_ = 0.2;
    PlannerFleet fleet(shape);
    fleet.addNode();
    serveAll(fleet, 3);
    std::uint32_t groupsOfFirst = 0;
    for (std::uint32_t slot = 0; slot < 3; ++slot)
        groupsOfFirst += fleet.row(slot)->domain_ == PlannerFleet::domain(0) ? 1 : 0;
    const std::uint32_t dark = groupsOfFirst == 2 ? 0 : 1; // The domain with two of the groups.

    for (const VmId &vm : fleet.vmsOf(dark))
        fleet.pauseVm(vm);
    run(fleet, minutes(2));
    cr_assert_eq(fleet.servingCount(), 2U); // One stayed, one moved in.
    for (const VmId &vm : fleet.vmsOf(dark))
        fleet.resumeVm(vm);
    run(fleet, minutes(2));

    cr_assert_eq(fleet.servingCount(), 3U);
}
