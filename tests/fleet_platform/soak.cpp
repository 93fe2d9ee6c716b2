// Randomized faults from outside real gateways; the promises are checked from what callers and
// endpoints see. CARDAMOMBAY_SOAK="FIRST COUNT SECONDS" chooses other seeds than the one that CI
// runs.
#include "fleet_platform/soak_play.hpp"

Test(soak, faults_break_no_promise)
{
    soakAll(Beside::Nothing);
}

Test(soak, poison_pill_among_faults_ends_few_engines)
{
    soakAll(Beside::Pill);
}

/// Read, not seen: versions go back, and what was written in the last seconds is gone.
Test(soak, restores_of_the_store_among_faults_break_no_promise)
{
    soakAll(Beside::Restores);
}

Test(soak, notices_of_endpoints_among_faults_break_no_promise)
{
    soakAll(Beside::Notices);
}
