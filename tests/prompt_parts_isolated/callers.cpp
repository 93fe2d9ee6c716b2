// Entry VMs that cannot hear from their peers while a deadly part is being found.
#include "support/part_callers.hpp"

#include <criterion/criterion.h>

using namespace cardamombay;
using namespace cardamombay::crashing;
using namespace cardamombay::support;
using std::chrono::milliseconds;

Test(prompt_parts_isolated, deadly_part_is_found_beside_a_paused_and_a_cut_off_entry_vm)
{
    auto load = deadlyLoad();
    load.disturb_ = [](NodeFleet &fleet, Duration elapsed) {
        const bool isDisturbed = elapsed > milliseconds(2200) && elapsed < milliseconds(4200);
        fleet.node(1).clock_.setPaused(isDisturbed);
        fleet.isCut_
            = [isDisturbed, cut = &fleet.node(2)](const FleetNode &from, const FleetNode &to) {
                  return isDisturbed && (&from == cut || &to == cut);
              };
    };
    const auto totals = simulateAll(load, 20, "deadly part, one entry VM paused, one cut off");
    cr_assert_leq(totals.maxLate_, maxLateSends);
    cr_assert_eq(totals.quarantined_, 0);
}
