#include "support/planner_fleet.hpp"

#include <algorithm>

#include <criterion/criterion.h>

using namespace cardamombay;
using namespace cardamombay::groups;
using namespace cardamombay::support;
using std::chrono::minutes;
using std::chrono::seconds;

namespace {

/// One domain with two groups of three VMs and one spare.
FleetShape smallShape()
{
    FleetShape shape;
    shape.vmsPerDomain_ = 7;
    shape.services_ = {modelService(2, 3)};
    shape.chartFolder_ = SOURCE_FOLDER "/charts";
    return shape;
}

void waitUntilServing(PlannerFleet &fleet, std::uint32_t groups)
{
    const bool isReached
        = fleet.advanceUntil([&] { return fleet.servingCount() == groups; }, minutes(3));
    cr_assert(isReached, "only %u groups serve", fleet.servingCount());
    fleet.advance(seconds(5));
}

/// Advances the clock in small steps and checks after each that no VM is in two groups.
void advanceChecked(PlannerFleet &fleet, Duration time)
{
    for (const Duration step = std::chrono::milliseconds(250); time > Duration::zero();
         time -= step) {
        fleet.advance(step);
        cr_assert(fleet.isExclusive(), "a VM is in two groups");
    }
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

bool hasMember(const GroupRow &row, const VmId &vm)
{
    return row.rankOf(vm).has_value();
}

GroupPhase phaseOf(PlannerNode &node, std::uint32_t slot)
{
    for (const GroupStatus &status : node.manager().groups()) {
        if (slotNumber(status.row_.group_) == slot)
            return status.phase_;
    }
    return GroupPhase::Dissolved;
}

} // namespace

Test(group_manager, forms_the_declared_groups_from_idle_vms)
{
    PlannerFleet fleet(smallShape());
    PlannerNode &node = fleet.addNode();

    waitUntilServing(fleet, 2);

    cr_assert(fleet.isExclusive());
    cr_assert(phaseOf(node, 0) == GroupPhase::Serving);
    cr_assert(phaseOf(node, 1) == GroupPhase::Serving);
    cr_assert_not(spareOf(fleet).isEmpty());
}

Test(group_manager, loads_no_more_groups_at_once_than_configured)
{
    FleetShape shape = smallShape();
    shape.policy_.concurrentLoads_ = 1;
    PlannerFleet fleet(shape);
    PlannerNode &node = fleet.addNode();

    bool hasOverlapped = false;
    const bool isReached = fleet.advanceUntil(
        [&] {
            hasOverlapped |= phaseOf(node, 0) == GroupPhase::Loading
                             && phaseOf(node, 1) == GroupPhase::Loading;
            return fleet.servingCount() == 2;
        },
        minutes(2));

    cr_assert(isReached);
    cr_assert_not(hasOverlapped);
}

Test(group_manager, lost_member_is_replaced_by_the_spare_and_survivors_reload)
{
    PlannerFleet fleet(smallShape());
    fleet.addNode();
    waitUntilServing(fleet, 2);
    const VmId spare = spareOf(fleet);
    const GroupRow before = *fleet.row(0);

    fleet.kill(before.members_[1]);
    advanceChecked(fleet, minutes(1));

    cr_assert(fleet.isServing(0));
    cr_assert(fleet.row(0)->generation_ == before.generation_.next());
    cr_assert(hasMember(*fleet.row(0), spare));
    cr_assert_not(hasMember(*fleet.row(0), before.members_[1]));
    cr_assert(fleet.vmRow(before.members_[1])->isFree());
}

Test(group_manager, pause_shorter_than_the_grace_period_changes_nothing)
{
    FleetShape shape = smallShape();
    shape.policy_.replaceGrace_ = seconds(8);
    PlannerFleet fleet(shape);
    PlannerNode &node = fleet.addNode();
    waitUntilServing(fleet, 2);
    const GroupRow before = *fleet.row(0);

    fleet.pauseVm(before.members_[1]);
    advanceChecked(fleet, seconds(5));
    cr_assert(phaseOf(node, 0) == GroupPhase::Degraded);
    fleet.resumeVm(before.members_[1]);
    advanceChecked(fleet, seconds(10));

    cr_assert(fleet.row(0)->generation_ == before.generation_);
    cr_assert(fleet.isServing(0));
}

Test(group_manager, member_returning_after_its_replacement_becomes_a_spare)
{
    PlannerFleet fleet(smallShape());
    fleet.addNode();
    waitUntilServing(fleet, 2);
    const VmId lost = fleet.row(0)->members_[1];
    fleet.pauseVm(lost);
    advanceChecked(fleet, minutes(1));
    cr_assert(fleet.isServing(0));

    fleet.resumeVm(lost); // It still has the old assignment.
    advanceChecked(fleet, seconds(10));

    cr_assert_not(fleet.endpoints_.state(lost).assignment_.has_value());
    cr_assert_eq(fleet.servingCount(), 2U);
    cr_assert(spareOf(fleet) == lost);
}

Test(group_manager, member_returning_during_its_replacement_does_not_disturb_it)
{
    PlannerFleet fleet(smallShape());
    fleet.addNode();
    waitUntilServing(fleet, 2);
    const VmId lost = fleet.row(0)->members_[1];
    const Generation before = fleet.row(0)->generation_;
    fleet.pauseVm(lost);
    cr_assert(fleet.advanceUntil([&] { return fleet.row(0)->generation_ > before; }, minutes(1)));

    fleet.resumeVm(lost);
    advanceChecked(fleet, minutes(1));

    cr_assert(fleet.isServing(0));
    cr_assert(fleet.row(0)->generation_ == before.next());
    cr_assert_not(hasMember(*fleet.row(0), lost));
}

Test(group_manager, restart_of_a_member_starts_a_new_formation)
{
    PlannerFleet fleet(smallShape());
    fleet.addNode();
    waitUntilServing(fleet, 2);
    const GroupRow before = *fleet.row(0);

    fleet.restart(before.members_[2]); // It returns within a second, but without its assignment.
    advanceChecked(fleet, minutes(1));

    cr_assert(fleet.isServing(0));
    cr_assert(fleet.row(0)->generation_ == before.generation_.next());
}

Test(group_manager, without_a_spare_the_group_waits_and_serves_when_the_member_returns)
{
    FleetShape shape = smallShape();
    shape.vmsPerDomain_ = 6;
    PlannerFleet fleet(shape);
    PlannerNode &node = fleet.addNode();
    waitUntilServing(fleet, 2);
    const VmId lost = fleet.row(0)->members_[0];

    fleet.kill(lost);
    advanceChecked(fleet, seconds(30));
    cr_assert(phaseOf(node, 0) == GroupPhase::Degraded);
    advanceChecked(fleet, ManagerSettings{}.stopSurvivorsAfter_);
    for (const VmId &survivor : {fleet.row(0)->members_[1], fleet.row(0)->members_[2]})
        cr_assert(fleet.endpoints_.state(survivor).phase_ == endpoint::EnginePhase::Draining);
    fleet.restart(lost);
    advanceChecked(fleet, minutes(1));

    cr_assert_eq(fleet.servingCount(), 2U);
}

Test(group_manager, two_broken_groups_are_merged_into_one_that_serves)
{
    FleetShape shape = smallShape();
    shape.vmsPerDomain_ = 6;
    PlannerFleet fleet(shape);
    fleet.addNode();
    waitUntilServing(fleet, 2);

    fleet.kill(fleet.row(0)->members_[0]);
    fleet.kill(fleet.row(1)->members_[0]);
    advanceChecked(fleet, minutes(2));

    cr_assert_eq(fleet.servingCount(), 1U);
}

Test(group_manager, leaving_member_of_a_drained_group_is_not_used_again)
{
    PlannerFleet fleet(smallShape());
    fleet.addNode();
    waitUntilServing(fleet, 2);
    const VmId leaving = fleet.row(0)->members_[1];

    fleet.leaving_.insert(leaving);
    advanceChecked(fleet, minutes(2));

    cr_assert_eq(fleet.servingCount(), 2U);
    cr_assert(fleet.vmRow(leaving)->isFree());
}

Test(group_manager, replacement_serves_before_the_group_with_a_leaving_member_drains)
{
    FleetShape shape = smallShape();
    shape.vmsPerDomain_ = 9;
    PlannerFleet fleet(shape);
    fleet.addNode();
    waitUntilServing(fleet, 2);

    fleet.leaving_.insert(fleet.row(0)->members_[1]);
    for (int step = 0; step < 480; ++step) {
        fleet.advance(std::chrono::milliseconds(250));
        cr_assert_geq(fleet.servingCount(), 2U, "step %d", step);
    }

    cr_assert(fleet.row(0)->isFreeSlot());
    cr_assert(fleet.isServing(2));
}

Test(group_manager, drain_waits_for_requests_in_flight)
{
    FleetShape shape = smallShape();
    shape.vmsPerDomain_ = 9;
    PlannerFleet fleet(shape);
    fleet.addNode();
    waitUntilServing(fleet, 2);
    const GroupRow old = *fleet.row(0);
    endpoint::LoadReport busy;
    busy.running_ = 2;
    fleet.endpoints_.setLoad(old.members_[0], busy);

    fleet.leaving_.insert(old.members_[1]);
    advanceChecked(fleet, minutes(3));
    const bool isDraining = fleet.row(0)->phase_ == GroupPhase::Draining;
    const bool isKept = fleet.endpoints_.state(old.members_[0]).assignment_.has_value();
    fleet.endpoints_.setLoad(old.members_[0], {});
    advanceChecked(fleet, seconds(30));

    cr_assert(isDraining);
    cr_assert(isKept);
    cr_assert(fleet.row(0)->isFreeSlot());
}

Test(group_manager, surplus_group_is_drained_when_capacity_is_lowered)
{
    PlannerFleet fleet(smallShape());
    fleet.addNode();
    waitUntilServing(fleet, 2);

    fleet.setServices({modelService(1, 3)});
    advanceChecked(fleet, minutes(1));

    cr_assert_eq(fleet.servingCount(), 1U);
    cr_assert(fleet.row(1)->isFreeSlot());
}

Test(group_manager, new_model_version_is_rolled_out_one_group_at_a_time)
{
    FleetShape shape = smallShape();
    shape.vmsPerDomain_ = 6;
    PlannerFleet fleet(shape);
    fleet.addNode();
    waitUntilServing(fleet, 2);
    auto service = modelService(2, 3);
    service.model_.version_ = ModelVersion("2");

    fleet.setServices({service});
    std::uint32_t fewest = 2;
    for (int step = 0; step < 600; ++step) {
        fleet.advance(std::chrono::milliseconds(250));
        fewest = std::min(fewest, fleet.servingCount());
    }

    cr_assert_eq(fewest, 1U);
    cr_assert_eq(fleet.servingCount(), 2U);
    for (const std::uint32_t slot : {0U, 1U})
        cr_assert(fleet.row(slot)->model_.version_ == ModelVersion("2"));
}

Test(group_manager, failed_load_is_retried)
{
    PlannerFleet fleet(smallShape());
    for (const VmId &vm : fleet.vmsOf(0))
        fleet.endpoints_.faults(vm).failsLoading_ = true;
    fleet.addNode();
    advanceChecked(fleet, seconds(30));
    cr_assert_eq(fleet.servingCount(), 0U);

    for (const VmId &vm : fleet.vmsOf(0))
        fleet.endpoints_.faults(vm).failsLoading_ = false;
    advanceChecked(fleet, minutes(1));

    cr_assert_eq(fleet.servingCount(), 2U);
}
