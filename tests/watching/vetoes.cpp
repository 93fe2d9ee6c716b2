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

Test(watching, leaving_vm_is_vetoed_everywhere_within_half_a_second)
{
    WatchFleet fleet(shape(7), vmCount);
    const VmId vm = WatchFleet::vm(5);
    fleet.run(seconds(8));

    fleet.watcher(3).markLeaving(vm);
    fleet.run(milliseconds(500));

    for (const std::size_t node : fleet.fleet_.all())
        cr_assert(fleet.watcher(node).isLeaving(vm));
}

Test(watching, list_without_the_leaving_status_does_not_lift_the_veto)
{
    WatchFleet fleet(shape(7), vmCount);
    const VmId vm = WatchFleet::vm(5);
    fleet.run(seconds(8));
    fleet.list(vm, VmStatus::Leaving);
    fleet.run(seconds(2));

    fleet.list(vm, VmStatus::Live);
    fleet.run(seconds(5));

    for (const std::size_t node : fleet.fleet_.all())
        cr_assert(fleet.watcher(node).isLeaving(vm));
}

Test(watching, undrain_lifts_the_veto_and_a_late_digest_does_not_restore_it)
{
    WatchFleet fleet(shape(7), vmCount);
    const VmId vm = WatchFleet::vm(5);
    fleet.run(seconds(8));
    fleet.watcher(3).markLeaving(vm);
    membership::Digest late;
    late.from_.id_ = Fleet::id(3);
    late.to_ = Fleet::id(0);
    fleet.watcher(3).appendTo(late);
    fleet.run(seconds(2));

    fleet.watcher(1).clearLeaving(vm);
    fleet.run(milliseconds(500));
    fleet.watcher(0).merge(late);

    for (const std::size_t node : fleet.fleet_.all())
        cr_assert_not(fleet.watcher(node).isLeaving(vm));
}

Test(watching, replaced_vm_is_usable_again_once_a_later_list_says_so)
{
    WatchFleet fleet(shape(7), vmCount);
    const VmId vm = WatchFleet::vm(5);
    fleet.run(seconds(8));
    fleet.list(vm, VmStatus::Leaving);
    fleet.run(seconds(5));

    fleet.endpoints_.kill(vm);
    fleet.endpoints_.restart(vm);
    fleet.run(seconds(3));
    cr_assert(fleet.watcher(0).isLeaving(vm), "the list still shows it as leaving");
    fleet.list(vm, VmStatus::Live);
    fleet.run(seconds(1));

    for (const std::size_t node : fleet.fleet_.all())
        cr_assert_not(fleet.watcher(node).isLeaving(vm));
}

Test(watching, older_vm_list_is_ignored)
{
    WatchFleet fleet(shape(7), vmCount);
    const VmId vm = WatchFleet::vm(5);
    fleet.run(seconds(20));
    fleet.list(vm, VmStatus::Live);
    fleet.run(seconds(1));

    fleet.list(vm, VmStatus::Leaving, seconds(15));

    cr_assert_not(fleet.watcher(0).isLeaving(vm));
}

Test(watching, joining_node_learns_the_vetoes)
{
    WatchFleet fleet(shape(7), vmCount);
    const VmId vm = WatchFleet::vm(5);
    fleet.run(seconds(8));
    fleet.watcher(3).markLeaving(vm);
    fleet.run(minutes(1));

    fleet.restart(6, Incarnation(50));
    fleet.run(seconds(3));

    cr_assert(fleet.watcher(6).isLeaving(vm));
}
