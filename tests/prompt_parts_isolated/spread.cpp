// Tests how fast all entry VMs stop sending a deadly part if many datagrams are lost.
#include "support/part_spread.hpp"

#include <criterion/criterion.h>

using namespace cardamombay;
using namespace cardamombay::support;

Test(prompt_parts_isolated,
     no_entry_vm_sends_a_deadly_part_despite_loss_of_a_third_of_the_datagrams)
{
    for (const std::size_t entries : {7U, 74U, 195U}) {
        for (std::uint64_t seed = 1; seed <= 3; ++seed)
            assertSpread(entries, seed, 0.33);
    }
}
