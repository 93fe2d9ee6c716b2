#include "fixture.hpp"

#include <algorithm>
#include <utility>

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

Test(store_faults, groups_form_exclusively_although_many_replies_are_lost)
{
    PlannerFleet fleet(makeShape(1, 7, 2));
    fleet.platform_.faults_.loseNextAnswers_ = 40;
    fleet.addNode();

    advanceChecked(fleet, minutes(2));

    cr_assert_eq(fleet.servingCount(), 2U);
}

/// Loses the reply to the n-th commit after a VM is killed, for every commit of the repair.
Test(store_faults, lost_reply_to_any_commit_of_a_repair_is_harmless)
{
    for (std::uint32_t nth = 1; nth <= 8; ++nth) {
        PlannerFleet fleet(makeShape(1, 7, 2));
        fleet.addNode();
        waitUntilServing(fleet, 2);
        fleet.kill(fleet.row(0)->members_[0]);
        const std::uint64_t before = fleet.platform_.commits_;
        cr_assert(fleet.advanceUntil([&] { return fleet.platform_.commits_ >= before + nth - 1; },
                                     minutes(2)));

        fleet.platform_.faults_.loseNextAnswers_ = 1;
        advanceChecked(fleet, minutes(1));

        cr_assert_eq(fleet.servingCount(), 2U, "commit %u", nth);
    }
}

Test(store_faults, outage_keeps_serving_groups_and_suspends_decisions)
{
    PlannerFleet fleet(makeShape(1, 7, 2));
    fleet.addNode();
    waitUntilServing(fleet, 2);
    fleet.platform_.faults_.isDown_ = true;
    const GroupRow before = *fleet.row(0);
    const std::size_t ordersBefore = fleet.endpoints_.orders().size();
    const TimePoint beginning = fleet.clock_.now();

    fleet.kill(before.members_[0]);
    advanceChecked(fleet, minutes(10));

    cr_assert(fleet.isServing(1));
    cr_assert(*fleet.row(0) == before);
    const leases::LeaseSettings lease;
    for (std::size_t each = ordersBefore; each < fleet.endpoints_.orders().size(); ++each)
        cr_assert(fleet.endpoints_.orders()[each].at_ < beginning + lease.duration_);

    fleet.platform_.faults_.isDown_ = false;
    advanceChecked(fleet, minutes(2));
    cr_assert_eq(fleet.servingCount(), 2U);
}

/// Starts the outage at intervals of 1.75 s, so that it hits each phase of a drain and formation.
Test(store_faults, groups_recover_from_an_outage_in_any_phase)
{
    for (int quarter = 0; quarter < 140; quarter += 7) {
        PlannerFleet fleet(makeShape(1, 9, 2));
        fleet.addNode();
        waitUntilServing(fleet, 2);
        fleet.leaving_.insert(fleet.row(0)->members_[0]);
        advanceChecked(fleet, milliseconds(250) * quarter);

        fleet.platform_.faults_.isDown_ = true;
        advanceChecked(fleet, minutes(2));
        fleet.platform_.faults_.isDown_ = false;
        advanceChecked(fleet, minutes(3));

        cr_assert_eq(fleet.servingCount(), 2U, "outage after %d quarter seconds", quarter);
        cr_assert(fleet.row(0)->isFreeSlot());
    }
}

Test(store_faults, slow_store_delays_but_does_not_break_formation)
{
    PlannerFleet fleet(makeShape(1, 7, 2));
    fleet.platform_.faults_.latency_ = seconds(1);
    fleet.addNode();

    advanceChecked(fleet, minutes(4));

    cr_assert_eq(fleet.servingCount(), 2U);
}

/// Runs a repair of slot 0 and calls \p race right before the new formation is committed.
/// \returns the slot's row before the repair and after the attempted commit.
static std::pair<GroupRow, GroupRow>
raceFormation(PlannerFleet &fleet, PlannerNode &node,
              const std::function<void(const platform::Transaction &)> &race)
{
    const GroupRow before = *fleet.row(0);
    GroupRow after = before;
    int formations = 0;
    node.nodeStore_.beforeCommit_ = [&](const platform::Transaction &transaction) {
        const bool isFormation
            = std::any_of(transaction.writes_.begin(), transaction.writes_.end(),
                          [](const auto &write) { return write.key_.table_ == groupTable; });
        if (isFormation && ++formations == 1)
            race(transaction);
    };
    fleet.kill(before.members_[0]);
    cr_assert(fleet.advanceUntil([&] { return formations > 0; }, minutes(1)));
    fleet.advance(milliseconds(100));
    return {before, *fleet.row(0)};
}

Test(store_faults, formation_fails_entirely_if_another_writer_assigned_one_of_its_vms)
{
    PlannerFleet fleet(makeShape(1, 7, 2));
    PlannerNode &node = fleet.addNode();
    waitUntilServing(fleet, 2);
    VmId taken;

    const auto [before, after] = raceFormation(fleet, node, [&](const auto &transaction) {
        for (const auto &write : transaction.writes_) {
            const bool isSpare
                = write.key_.table_ == vmTable && !fleet.row(0)->rankOf(VmId(write.key_.key_));
            if (isSpare)
                taken = VmId(write.key_.key_);
        }
        const VmRow row{taken, PlannerFleet::domain(0), GroupId("other/zone/0"), Generation(1),
                        Epoch(1)};
        (void)fleet.platform_.apply({WriterToken("other"), {}, {{vmKey(taken), encode(row)}}});
    });

    cr_assert(after == before);
    cr_assert(fleet.vmRow(taken)->group_ == GroupId("other/zone/0"));
}

Test(store_faults, formation_fails_entirely_if_another_planner_holds_the_lease)
{
    PlannerFleet fleet(makeShape(1, 7, 2));
    PlannerNode &node = fleet.addNode();
    waitUntilServing(fleet, 2);

    const auto [before, after] = raceFormation(fleet, node, [&](const auto &) {
        const auto key = leases::epochKey(PlannerFleet::domain(0));
        (void)fleet.platform_.apply({WriterToken("other"), {}, {{key, std::string("{}")}}});
    });

    cr_assert(after == before);
}

Test(store_faults, formation_fails_entirely_if_the_slot_was_formed_in_another_domain)
{
    PlannerFleet fleet(makeShape(1, 7, 2));
    PlannerNode &node = fleet.addNode();
    waitUntilServing(fleet, 2);
    GroupRow other;

    const auto [before, after] = raceFormation(fleet, node, [&](const auto &) {
        other = *fleet.row(0);
        other.domain_ = FabricDomain("fabric-9");
        other.generation_ = other.generation_.next();
        const auto key = groupKey(other.group_);
        (void)fleet.platform_.apply({WriterToken("other"), {}, {{key, encode(other)}}});
    });

    cr_assert(after == other);
}

Test(store_faults, planner_that_cannot_read_earlier_commits_does_nothing)
{
    PlannerFleet fleet(makeShape(1, 7, 2));
    PlannerNode &first = fleet.addNode();
    PlannerNode &second = fleet.addNode(1);
    second.nodeStore_.failsScans_ = true;
    waitUntilServing(fleet, 2);

    first.pause();
    advanceChecked(fleet, minutes(2));

    cr_assert(second.lease().isHeld());
    cr_assert_eq(fleet.servingCount(), 2U);
    for (const auto &received : fleet.endpoints_.orders())
        cr_assert(received.from_ == first.self_);
}
