// Configurations of the store that entry VMs cannot read.
#include "support/node_fleet.hpp"

#include <criterion/criterion.h>

using namespace cardamombay;
using namespace cardamombay::support;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

constexpr Duration revocation = seconds(5);

/// A fleet that serves with a key, after the store has got a configuration that it cannot read.
class RefusingFleet : public NodeFleet
{
public:
    explicit RefusingFleet(std::size_t entries)
        : NodeFleet(entries, 3, 1, entries)
    {
        configure(1, {"key"});
        start();
        pass(seconds(4));
        cr_assert_eq(accepting(), entries);
        configure(unreadableVersion, {});
    }

    /// Number of entry VMs that accept the key.
    [[nodiscard]] std::size_t accepting()
    {
        std::size_t result = 0;
        for (std::size_t i = 0; i < size(); ++i)
            result += node(i).isRunning() && node(i).acceptsKey("key") ? 1 : 0;
        return result;
    }

private:
    static constexpr std::uint64_t unreadableVersion = 0;
};

} // namespace

/// The unreadable configuration may have removed the key.
Test(refused_configuration, key_of_the_earlier_one_is_not_honoured_past_its_bound)
{
    for (const std::size_t entries : {1, 7, 40}) {
        RefusingFleet fleet(entries);
        fleet.pass(revocation);
        for (int i = 0; i < 100; ++i) {
            fleet.pass(milliseconds(100));
            cr_assert_eq(fleet.accepting(), 0, "%zu entry VMs", entries);
        }
    }
}

Test(refused_configuration, keys_are_accepted_again_with_the_next_readable_one)
{
    RefusingFleet fleet(7);
    fleet.pass(seconds(20));
    fleet.configure(2, {"key"});
    fleet.pass(seconds(3));
    cr_assert_eq(fleet.accepting(), fleet.size());
}

Test(refused_configuration, restarted_entry_vm_does_not_confirm_the_earlier_one_to_its_peers)
{
    RefusingFleet fleet(7);
    for (std::size_t i = 0; i < fleet.size(); ++i) {
        fleet.pass(milliseconds(500));
        fleet.kill(i);
        fleet.restart(i);
    }
    fleet.pass(revocation);
    cr_assert_eq(fleet.accepting(), 0);
}
