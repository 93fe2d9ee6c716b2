// Target after a shift of the request mix: at most 1% of the callers find no free slot.
#include "support/shifted_demand_simulation.hpp"

#include <criterion/criterion.h>

using namespace cardamombay::serving;
using namespace cardamombay::support;

Test(shifted_demand, callers_find_a_place_after_the_mix_has_shifted)
{
    const auto kept = meanWaitingShares(FixedMix(), shiftedMix);
    const auto mixed = meanWaitingShares(DemandMix(), shiftedMix);
    print("shifted mix", kept, mixed);
    cr_expect_lt(mixed.small_, maxWaitingShare);
    cr_expect_lt(mixed.large_, maxWaitingShare);
    cr_expect_lt(mixed.small_, kept.small_);
}

/// Callers that arrive before weights can be loaded wait with either policy and are not counted.
Test(shifted_demand, callers_find_a_place_once_weights_are_loaded_after_the_mix_has_turned)
{
    const auto kept = meanWaitingShares(FixedMix(), shiftedMix, originalMix, loadSeconds);
    const auto mixed = meanWaitingShares(DemandMix(), shiftedMix, originalMix, loadSeconds);
    print("original mix, then the shifted one", kept, mixed);
    cr_expect_lt(mixed.small_, maxWaitingShare);
    cr_expect_lt(mixed.large_, maxWaitingShare);
}
