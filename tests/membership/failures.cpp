#include "support/fake_fleet.hpp"

#include <criterion/criterion.h>

using namespace cardamombay;
using cardamombay::support::Fleet;
using cardamombay::support::FleetShape;
using membership::MemberStatus;
using std::chrono::milliseconds;
using std::chrono::seconds;

Test(membership, nodes_that_know_one_seed_find_each_other)
{
    Fleet fleet(FleetShape{});

    fleet.run(seconds(5));

    cr_assert(fleet.allSee(MemberStatus::Alive, fleet.all(), fleet.all()));
}

Test(membership, silent_member_is_suspected_then_dead)
{
    Fleet fleet(FleetShape{});
    fleet.run(seconds(5));

    fleet.kill(6);
    fleet.run(seconds(3));
    cr_assert(fleet.status(0, 6) == MemberStatus::Suspect);

    fleet.run(seconds(7));
    cr_assert(fleet.allSee(MemberStatus::Dead, {0, 1, 2, 3, 4, 5}, {6}));
}
