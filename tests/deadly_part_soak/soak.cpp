// Real gateways among seeded faults, beside callers of different requests with a deadly part.
#include "fleet_platform/soak_play.hpp"

Test(soak, deadly_part_among_faults_ends_few_engines)
{
    soakAll(Beside::DeadlyPart);
}
