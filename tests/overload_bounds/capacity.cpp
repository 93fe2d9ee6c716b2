// Whole entry VMs at twice the capacity: how much of it answers within their goal use.
#include "overload_bounds/loaded_fleet.hpp"

using namespace cardamombay::overload_fleet;

/// Guards against capacity that is left unused, or used by answers that come too late, while work
/// is refused, and against urgent requests that are refused beside less urgent ones.
Test(overload_fleet, seven_entry_vms_use_the_capacity_at_twice_the_load)
{
    overloaded(7, 6);
}

Test(overload_fleet, eighty_seven_entry_vms_use_the_capacity_at_twice_the_load)
{
    overloaded(87, 30);
}
