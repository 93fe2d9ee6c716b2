// Whole entry VMs below the capacity.
#include "overload_bounds/loaded_fleet.hpp"

using namespace cardamombay::overload_fleet;

/// Guards against refusals by load below the capacity.
Test(overload_fleet, seven_entry_vms_refuse_nobody_below_the_capacity)
{
    underload(7, 6);
}

Test(overload_fleet, eighty_seven_entry_vms_refuse_nobody_below_the_capacity)
{
    underload(87, 30);
}
