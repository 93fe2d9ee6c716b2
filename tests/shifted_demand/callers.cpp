// The aim for callers after the mix of their requests has shifted: one in a hundred waits at most.
#include "support/shifting_fleet.hpp"

#include <criterion/criterion.h>

using namespace cardamombay::serving;
using namespace cardamombay::support;

Test(shifted_demand, callers_find_a_place_after_the_mix_has_shifted)
{
    const auto kept = meanOf(KeptMix(), shiftedSheet);
    const auto mixed = meanOf(DemandMix(), shiftedSheet);
    print("shifted sheet", kept, mixed);
    cr_expect_lt(mixed.small_, mostWaiting);
    cr_expect_lt(mixed.large_, mostWaiting);
    cr_expect_lt(mixed.small_, kept.small_);
}

/// Who comes before weights can be loaded waits in either way.
Test(shifted_demand, callers_find_a_place_once_weights_are_loaded_after_the_mix_has_turned)
{
    const auto kept = meanOf(KeptMix(), shiftedSheet, oldSheet, loadSeconds);
    const auto mixed = meanOf(DemandMix(), shiftedSheet, oldSheet, loadSeconds);
    print("old sheet, then the shifted one", kept, mixed);
    cr_expect_lt(mixed.small_, mostWaiting);
    cr_expect_lt(mixed.large_, mostWaiting);
}
