// The aim for callers after the mix of their requests has shifted: one in a hundred waits at most.
#include "support/shifted_demand_simulation.hpp"

#include <criterion/criterion.h>

using namespace cardamombay::serving;
using namespace cardamombay::support;

Test(shifted_demand, callers_find_a_place_after_the_mix_has_shifted)
{
    const auto kept = meanWaitingShares(FixedMix(), shiftedMix);
    const auto mixed = meanWaitingShares(DemandMix(), shiftedMix);
    print("shifted sheet", kept, mixed);
    cr_expect_lt(mixed.small_, maxWaitingShare);
    cr_expect_lt(mixed.large_, maxWaitingShare);
    cr_expect_lt(mixed.small_, kept.small_);
}

/// Who comes before weights can be loaded waits in either way.
Test(shifted_demand, callers_find_a_place_once_weights_are_loaded_after_the_mix_has_turned)
{
    const auto kept = meanWaitingShares(FixedMix(), shiftedMix, originalMix, loadSeconds);
    const auto mixed = meanWaitingShares(DemandMix(), shiftedMix, originalMix, loadSeconds);
    print("old sheet, then the shifted one", kept, mixed);
    cr_expect_lt(mixed.small_, maxWaitingShare);
    cr_expect_lt(mixed.large_, maxWaitingShare);
}
