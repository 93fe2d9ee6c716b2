#include "fixture.hpp"

#include <algorithm>
#include <utility>

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

Test(store_faults, every_answer_lost_for_a_while_still_leads_to_exclusive_groups)
{
    PlannerFleet fleet(shapeOf(1, 7, 2));
    fleet.platform_.faults_.loseNextAnswers_ = 40;
    fleet.addNode();

    run(fleet, minutes(2));

    cr_assert_eq(fleet.servingCount(), 2U);
}

/// The answer to the n-th commit after the fault is lost, for every n that a repair needs.
Test(store_faults, lost_answer_at_any_commit_of_a_repair_does_no_harm)
{
    for (std::uint32_t nth = 1; nth <= 8; ++nth) {
        PlannerFleet fleet(shapeOf(1, 7, 2));
        fleet.addNode();
        serveAll(fleet, 2);
        fleet.kill(fleet.row(0)->members_[0]);
        const std::uint64_t before = fleet.platform_.commits_;
        cr_assert(fleet.advanceUntil([&] { return fleet.platform_.commits_ >= before + nth - 1; },
                                     minutes(2)));

        fleet.platform_.faults_.loseNextAnswers_ = 1;
        run(fleet, minutes(1));

        cr_assert_eq(fleet.servingCount(), 2U, "commit %u", nth);
    }
}

Test(store_faults, outage_leaves_serving_groups_alone_and_decides_nothing)
{
    PlannerFleet fleet(shapeOf(1, 7, 2));
    fleet.addNode();
    serveAll(fleet, 2);
    fleet.platform_.faults_.isDown_ = true;
    const GroupRow before = *fleet.row(0);
    const std::size_t ordersBefore = fleet.endpoints_.orders().size();
    const TimePoint beginning = fleet.clock_.now();

    fleet.kill(before.members_[0]);
    run(fleet, minutes(10));

    cr_assert(fleet.isServing(1));
    cr_assert(*fleet.row(0) == before);
    const leases::LeaseSettings lease;
    for (std::size_t each = ordersBefore; each < fleet.endpoints_.orders().size(); ++each)
        cr_assert(fleet.endpoints_.orders()[each].at_ < beginning + lease.duration_);

    fleet.platform_.faults_.isDown_ = false;
    run(fleet, minutes(2));
    cr_assert_eq(fleet.servingCount(), 2U);
}

/// An outage that begins in each phase of a formation and of a drain.
Test(store_faults, outage_in_any_phase_ends_well)
{
    for (int quarter = 0; quarter < 140; quarter += 7) {
        PlannerFleet fleet(shapeOf(1, 9, 2));
        fleet.addNode();
        serveAll(fleet, 2);
        fleet.leaving_.insert(fleet.row(0)->members_[0]);
        run(fleet, milliseconds(250) * quarter);

        fleet.platform_.faults_.isDown_ = true;
        run(fleet, minutes(2));
        fleet.platform_.faults_.isDown_ = false;
        run(fleet, minutes(3));

        cr_assert_eq(fleet.servingCount(), 2U, "outage after %d quarter seconds", quarter);
        cr_assert(fleet.row(0)->isFreeSlot());
    }
}

Test(store_faults, slow_store_delays_but_does_not_break_formation)
{
    PlannerFleet fleet(shapeOf(1, 7, 2));
    fleet.platform_.faults_.latency_ = seconds(1);
    fleet.addNode();

    run(fleet, minutes(4));

    cr_assert_eq(fleet.servingCount(), 2U);
}

/// Runs a repair of slot 0 in which \p race happens right before the new formation is sent.
/// \returns what the slot's row said then, and what it says after.
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

Test(store_faults, formation_fails_whole_if_another_writer_took_one_of_its_vms)
{
    PlannerFleet fleet(shapeOf(1, 7, 2));
    PlannerNode &node = fleet.addNode();
    serveAll(fleet, 2);
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

Test(store_faults, formation_fails_whole_if_another_planner_has_the_lease)
{
    PlannerFleet fleet(shapeOf(1, 7, 2));
    PlannerNode &node = fleet.addNode();
    serveAll(fleet, 2);

    const auto [before, after] = raceFormation(fleet, node, [&](const auto &) {
        const auto key = leases::epochKey(PlannerFleet::domain(0));
        (void)fleet.platform_.apply({WriterToken("other"), {}, {{key, std::string("{}")}}});
    });

    cr_assert(after == before);
}

Test(store_faults, formation_fails_whole_if_the_slot_was_formed_elsewhere)
{
    PlannerFleet fleet(shapeOf(1, 7, 2));
    PlannerNode &node = fleet.addNode();
    serveAll(fleet, 2);
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

Test(store_faults, planner_that_cannot_read_what_was_committed_before_it_does_nothing)
{
    PlannerFleet fleet(shapeOf(1, 7, 2));
    PlannerNode &first = fleet.addNode();
    PlannerNode &second = fleet.addNode(1);
    second.nodeStore_.failsScans_ = true;
    serveAll(fleet, 2);

    first.pause();
    run(fleet, minutes(2));

    cr_assert(second.lease().isHeld());
    cr_assert_eq(fleet.servingCount(), 2U);
    for (const auto &received : fleet.endpoints_.orders())
        cr_assert(received.from_ == first.self_);
}
