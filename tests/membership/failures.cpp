#include "fixture.hpp"

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

namespace {

std::uint64_t suspicions(Fleet &fleet)
{
    std::uint64_t sum = 0;
    for (const std::size_t index : fleet.all())
        sum += fleet.node(index).counters().suspicions_;
    return sum;
}

} // namespace

Test(membership, nodes_that_know_one_seed_find_each_other)
{
    Fleet fleet(shape(7));

    fleet.run(seconds(5));

    cr_assert(isEveryoneAlive(fleet));
}

Test(membership, quiet_network_raises_no_suspicion)
{
    Fleet fleet(shape(35, 4, 2));

    fleet.run(minutes(2));

    cr_assert(isEveryoneAlive(fleet));
    cr_assert_eq(suspicions(fleet), 0);
}

Test(membership, silent_member_is_suspected_then_dead)
{
    Fleet fleet(shape(7));
    fleet.run(seconds(5));

    fleet.kill(6);
    fleet.run(seconds(3));
    cr_assert(fleet.status(0, 6) == MemberStatus::Suspect);

    fleet.run(seconds(7));
    cr_assert(fleet.allSee(MemberStatus::Dead, allExcept(fleet, 6), {6}));
}

Test(membership, member_of_a_large_region_is_found_dead_by_all_sites)
{
    Fleet fleet(shape(90, 4, 1));
    fleet.run(seconds(10));

    fleet.kill(50);
    fleet.run(seconds(20));

    cr_assert(fleet.allSee(MemberStatus::Dead, allExcept(fleet, 50), {50}));
}

Test(membership, death_reaches_other_regions)
{
    Fleet fleet(shape(35, 4, 4));
    fleet.run(seconds(15));
    cr_assert(isEveryoneAlive(fleet));

    fleet.kill(9);
    fleet.run(seconds(30));

    cr_assert(fleet.allSee(MemberStatus::Dead, allExcept(fleet, 9), {9}));
}

Test(membership, short_pause_is_refuted_and_declares_nobody_dead)
{
    Fleet fleet(shape(7));
    fleet.run(seconds(5));

    fleet.pause(3);
    fleet.run(milliseconds(3500));
    cr_assert(fleet.status(0, 3) == MemberStatus::Suspect);
    fleet.resume(3);
    fleet.run(seconds(4));

    cr_assert(isEveryoneAlive(fleet));
    for (const std::size_t index : fleet.all())
        cr_assert_eq(fleet.node(index).counters().deaths_, 0);
}

Test(membership, resumed_process_is_not_trusted_until_a_peer_answers)
{
    Fleet fleet(shape(7));
    fleet.run(seconds(5));
    const auto node = [&]() -> membership::Membership & { return fleet.node(3); };
    cr_assert(node().isTrusted());

    fleet.pause(3);
    fleet.run(seconds(30));
    cr_assert_not(node().isTrusted(), "the pause must be detected before any timer has run");
    fleet.network_.partition({Fleet::id(3)});
    fleet.resume(3);
    cr_assert_not(node().isTrusted());
    cr_assert_geq(node().lastPauseDuration().count(), Duration(seconds(29)).count());
    fleet.network_.heal();
    fleet.run(seconds(3));

    cr_assert(node().isTrusted());
}

Test(membership, resumed_process_declares_nobody_dead_for_its_own_pause)
{
    Fleet fleet(shape(7));
    fleet.run(seconds(5));

    for (int round = 0; round < 5; ++round) {
        fleet.pause(3);
        fleet.run(seconds(40));
        fleet.resume(3);
        fleet.run(seconds(15));
    }

    cr_assert_eq(fleet.node(3).counters().deaths_, 0);
    cr_assert_eq(fleet.node(3).counters().suspicions_, 0);
    cr_assert_eq(fleet.node(3).counters().pausesDetected_, 5);
    cr_assert(isEveryoneAlive(fleet));
}

Test(membership, forward_clock_jump_of_all_nodes_declares_nobody_dead)
{
    Fleet fleet(shape(7));
    fleet.run(seconds(5));

    fleet.clock_.jump(minutes(3));
    fleet.run(seconds(1));

    for (const std::size_t index : fleet.all())
        cr_assert_eq(fleet.node(index).counters().deaths_, 0);
    fleet.run(seconds(10));
    cr_assert(isEveryoneAlive(fleet));
}

Test(membership, restarted_member_is_seen_under_its_new_incarnation)
{
    Fleet fleet(shape(7));
    fleet.run(seconds(5));
    fleet.kill(6, false);
    fleet.run(seconds(2));

    fleet.restart(6, Incarnation(100));
    fleet.run(seconds(5));

    cr_assert(isEveryoneAlive(fleet));
    const auto members = fleet.node(0).members();
    cr_assert_geq(members[6].incarnation_.value(), 100);
}

Test(membership, restart_with_a_lower_incarnation_overtakes_the_previous_run)
{
    Fleet fleet(shape(7));
    fleet.run(seconds(5));
    fleet.node(6).setDraining(true);
    fleet.run(seconds(5));
    fleet.kill(6);
    fleet.run(seconds(20));
    cr_assert(fleet.allSee(MemberStatus::Dead, allExcept(fleet, 6), {6}));

    fleet.restart(6, Incarnation(1));
    fleet.run(seconds(10));

    cr_assert(isEveryoneAlive(fleet));
    cr_assert_not(fleet.node(0).members()[6].isDraining_);
}

Test(membership, drain_and_leave_reach_all_members_within_seconds)
{
    Fleet fleet(shape(7));
    fleet.run(seconds(5));

    fleet.node(6).setDraining(true);
    fleet.run(milliseconds(1500));
    for (const std::size_t index : fleet.all())
        cr_assert(fleet.node(index).members()[6].isDraining_);

    fleet.node(6).leave();
    fleet.kill(6);
    fleet.run(seconds(2));
    cr_assert(fleet.allSee(MemberStatus::Left, allExcept(fleet, 6), {6}));
    cr_assert_eq(suspicions(fleet), 0);
}

Test(membership, late_report_of_an_earlier_incarnation_is_ignored)
{
    Fleet fleet(shape(7));
    fleet.run(seconds(5));
    membership::Digest late;
    late.from_ = fleet.node(1).self();
    late.sequence_ = 1;
    membership::MemberEntry old = fleet.node(6).self();
    old.status_ = MemberStatus::Dead;
    late.members_.push_back(old);
    fleet.node(6).setDraining(true); // Raises the incarnation.
    fleet.run(seconds(3));

    (void)fleet.node(0).handle(late);

    cr_assert(fleet.status(0, 6) == MemberStatus::Alive);
}

Test(membership, digest_that_waited_in_a_buffer_counts_as_old)
{
    Fleet fleet(shape(7));
    std::vector<Duration> ages;
    fleet.node(0).setPayloadSource([](membership::Digest &digest, const EntryId &) {
        membership::ObservationEntry observation;
        observation.state_.vm_ = VmId("vm");
        digest.observations_.push_back(observation);
    });
    fleet.node(3).setPayloadSink([&](const membership::Digest &digest) {
        for (const auto &observation : digest.observations_)
            ages.push_back(observation.age_);
    });
    fleet.run(seconds(5));
    cr_assert_not(ages.empty());
    cr_assert_leq(std::max_element(ages.begin(), ages.end())->count(),
                  Duration(milliseconds(10)).count());

    fleet.pause(3);
    fleet.run(milliseconds(500)); // Digests sent now wait in the receive buffer of node 3.
    fleet.kill(0);
    fleet.run(seconds(20));
    ages.clear();
    fleet.resume(3);

    for (const Duration age : ages)
        cr_assert_geq(age.count(), Duration(seconds(19)).count());
}

Test(membership, digest_echoing_nothing_brings_no_payload)
{
    Fleet fleet(shape(7));
    fleet.run(seconds(5));
    int received = 0;
    fleet.node(0).setPayloadSink([&](const membership::Digest &) { ++received; });
    membership::Digest digest;
    digest.from_ = fleet.node(1).self();
    digest.sequence_ = 12345;

    (void)fleet.node(0).handle(digest);
    digest.echo_ = membership::EchoEntry{999, seconds(0)}; // Never sent.
    (void)fleet.node(0).handle(digest);

    cr_assert_eq(received, 0);
}

Test(membership, configuration_version_is_known_per_site_everywhere)
{
    Fleet fleet(shape(35, 4, 4));
    fleet.run(seconds(15));

    for (const std::size_t index : fleet.all()) {
        if (index != 2)
            fleet.node(index).setConfigVersion(ConfigVersion(7));
    }
    fleet.run(seconds(30));

    for (const std::size_t index : fleet.all()) {
        const auto sites = fleet.node(index).siteSummaries();
        cr_assert_eq(sites.size(), 4);
        for (const auto &site : sites) {
            const std::uint64_t oldest = site.zone_.text() == "zone-2" ? 0 : 7;
            cr_assert_eq(site.oldest_.value(), oldest);
            cr_assert_eq(site.newest_.value(), 7);
        }
    }
}

Test(membership, configuration_version_spreads_in_seconds)
{
    Fleet fleet(shape(90, 8, 2));
    fleet.run(seconds(20));

    fleet.node(17).setConfigVersion(ConfigVersion(9));
    fleet.run(seconds(5));

    for (const std::size_t index : fleet.all())
        cr_assert_eq(fleet.node(index).highestConfigVersion().value(), 9, "node %zu", index);
}
