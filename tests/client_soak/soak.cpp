// Real gateways among seeded faults, beside clients whose input exceeds the memory.
#include "fleet_platform/soak_play.hpp"

Test(soak, input_among_faults_stays_within_memory_and_breaks_no_promise)
{
    soakAll(Beside::HostileClients);
}
