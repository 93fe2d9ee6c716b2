// Configurations of the store that entry VMs cannot read.
#include "support/node_fleet.hpp"

#include <criterion/criterion.h>

using namespace cardamombay;
using namespace cardamombay::support;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

constexpr Duration revocation = seconds(5);

/// FleetFormat reads no version 0.
void writeUnreadable(NodeFleet &fleet)
{
    fleet.configure(0, {});
}

std::size_t nodesAccepting(NodeFleet &fleet, const std::string &key)
{
    std::size_t result = 0;
    for (std::size_t i = 0; i < fleet.size(); ++i)
        result += fleet.node(i).isRunning() && fleet.node(i).acceptsKey(key) ? 1 : 0;
    return result;
}

} // namespace

/// The unreadable configuration may have removed the key.
Test(refused_configuration, key_of_the_earlier_one_is_not_honoured_past_its_bound)
{
    for (const std::size_t entries : {1, 7, 40}) {
        NodeFleet fleet(entries, 3, 1, entries);
        fleet.configure(1, {"key"});
        fleet.start();
        fleet.pass(seconds(4));
        cr_assert_eq(nodesAccepting(fleet, "key"), entries);
        writeUnreadable(fleet);
        fleet.pass(revocation);
        for (int i = 0; i < 100; ++i) {
            fleet.pass(milliseconds(100));
            cr_assert_eq(nodesAccepting(fleet, "key"), 0, "%zu entry VMs", entries);
        }
    }
}

Test(refused_configuration, keys_are_accepted_again_with_the_next_readable_one)
{
    NodeFleet fleet(7, 3, 1, 1);
    fleet.configure(1, {"key"});
    fleet.start();
    fleet.pass(seconds(4));
    writeUnreadable(fleet);
    fleet.pass(seconds(20));
    fleet.configure(2, {"key"});
    fleet.pass(seconds(3));
    cr_assert_eq(nodesAccepting(fleet, "key"), fleet.size());
}

Test(refused_configuration, restarted_entry_vm_does_not_confirm_the_earlier_one_to_its_peers)
{
    NodeFleet fleet(7, 3, 1, 1);
    fleet.configure(1, {"key"});
    fleet.start();
    fleet.pass(seconds(4));
    writeUnreadable(fleet);
    for (std::size_t i = 0; i < fleet.size(); ++i) {
        fleet.pass(milliseconds(500));
        fleet.kill(i);
        fleet.restart(i);
    }
    fleet.pass(revocation);
    cr_assert_eq(nodesAccepting(fleet, "key"), 0);
}
