#include "fixture.hpp"

#include <set>

#include <criterion/criterion.h>

using namespace cardamombay;
using cardamombay::support::Fleet;
using fixture::allExcept;
using fixture::isEveryoneAlive;
using fixture::shape;
using membership::MemberStatus;
using std::chrono::milliseconds;
using std::chrono::minutes;
using std::chrono::seconds;

Test(membership, partition_separates_and_heals)
{
    Fleet fleet(shape(7));
    fleet.run(seconds(5));

    fleet.network_.partition({Fleet::id(0), Fleet::id(1)});
    fleet.run(seconds(15));
    cr_assert(fleet.allSee(MemberStatus::Dead, {0, 1}, {2, 3, 4, 5, 6}));
    cr_assert(fleet.allSee(MemberStatus::Dead, {2, 3, 4, 5, 6}, {0, 1}));
    cr_assert(fleet.allSee(MemberStatus::Alive, {0, 1}, {0, 1}));

    fleet.network_.heal();
    fleet.run(seconds(20));
    cr_assert(isEveryoneAlive(fleet));
}

Test(membership, partition_longer_than_tombstones_heals_through_the_seeds)
{
    membership::MembershipSettings settings;
    settings.tombstoneTime_ = seconds(30);
    Fleet fleet(shape(7), 1, settings);
    fleet.run(seconds(5));

    fleet.network_.partition({Fleet::id(0), Fleet::id(1)});
    fleet.run(minutes(2));
    fleet.network_.heal();
    fleet.run(seconds(30));

    cr_assert(isEveryoneAlive(fleet));
}

Test(membership, partitioned_regions_keep_their_members_and_reconnect)
{
    Fleet fleet(shape(20, 4, 2));
    fleet.run(seconds(15));
    std::set<EntryId> side;
    for (std::size_t index = 0; index < 20; index += 2)
        side.insert(Fleet::id(index));

    fleet.network_.partition(side);
    fleet.run(minutes(5));
    // An unreachable region is no evidence that its members have failed.
    cr_assert(isEveryoneAlive(fleet));
    fleet.kill(18);
    fleet.run(seconds(20));
    cr_assert(fleet.status(0, 18) == MemberStatus::Dead);
    cr_assert(fleet.status(1, 18) == MemberStatus::Alive);
    fleet.network_.heal();
    fleet.run(seconds(40));

    cr_assert(fleet.allSee(MemberStatus::Dead, allExcept(fleet, 18), {18}));
}

Test(membership, one_way_cut_between_two_nodes_declares_nobody_dead)
{
    Fleet fleet(shape(7));
    fleet.run(seconds(5));

    fleet.network_.cut(Fleet::id(2), Fleet::id(5));
    fleet.run(minutes(1));

    cr_assert(isEveryoneAlive(fleet));
    for (const std::size_t index : fleet.all())
        cr_assert_eq(fleet.node(index).counters().deaths_, 0);
}

Test(membership, node_whose_answers_are_lost_everywhere_is_dead_to_others)
{
    Fleet fleet(shape(7));
    fleet.run(seconds(5));

    for (const std::size_t index : allExcept(fleet, 6))
        fleet.network_.cut(Fleet::id(6), Fleet::id(index));
    fleet.run(seconds(15));

    cr_assert(fleet.allSee(MemberStatus::Dead, allExcept(fleet, 6), {6}));
}

Test(membership, node_that_hears_nobody_but_can_send_does_not_look_alive)
{
    Fleet fleet(shape(7));
    fleet.run(seconds(5));

    // Its digests arrive but echo no digest of the others, so they are no evidence that it works.
    for (const std::size_t index : allExcept(fleet, 6))
        fleet.network_.cut(Fleet::id(index), Fleet::id(6));
    fleet.run(seconds(15));

    cr_assert(fleet.allSee(MemberStatus::Dead, allExcept(fleet, 6), {6}));
    fleet.network_.heal();
    fleet.run(seconds(15));
    cr_assert(isEveryoneAlive(fleet));
}

Test(membership, flapping_link_does_not_leave_a_wrong_view)
{
    Fleet fleet(shape(7));
    fleet.run(seconds(5));

    for (int round = 0; round < 20; ++round) {
        fleet.network_.partition({Fleet::id(4)});
        fleet.run(seconds(1 + round % 4));
        fleet.network_.heal();
        fleet.run(seconds(1 + round % 3));
    }
    fleet.run(seconds(20));

    cr_assert(isEveryoneAlive(fleet));
}

Test(membership, loss_duplication_and_reordering_declare_nobody_dead)
{
    Fleet fleet(shape(12));
    fleet.network_.faults_.loss_ = 0.1;
    fleet.network_.faults_.duplication_ = 0.2;
    fleet.network_.faults_.jitter_ = milliseconds(150);

    fleet.run(minutes(3));

    for (const std::size_t index : fleet.all())
        cr_assert_eq(fleet.node(index).counters().deaths_, 0);
}
