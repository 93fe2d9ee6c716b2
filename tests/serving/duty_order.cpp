// Duties go to large entry VMs, and all entry VMs agree on the order.
#include <cardamombay/serving/duty_order.hpp>
#include <cardamombay/serving/reporters.hpp>

#include <algorithm>

#include <criterion/criterion.h>

using namespace cardamombay;
using namespace cardamombay::serving;

namespace {

constexpr EntryCapacity large = 0.5 * 200;
constexpr EntryCapacity small = 0.12 * 20;

/// A fleet of \p count entry VMs, three of them large.
std::map<EntryId, EntryCapacity> fleet(int count)
{
    std::map<EntryId, EntryCapacity> result;
    for (int i = 0; i < count; ++i)
        result.emplace(EntryId("a" + std::to_string(i)), i % (count / 3) == 1 ? large : small);
    return result;
}

} // namespace

Test(duty_order, large_entry_vms_come_first)
{
    const auto all = fleet(39);
    for (const auto *duty : {"planner", "a", "b", "c", "d"}) {
        const auto order = dutyOrder(duty, all);
        cr_assert_eq(order.size(), all.size());
        cr_assert(std::all_of(order.begin(), order.begin() + 3,
                              [&all](const EntryId &one) { return all.at(one) == large; }));
    }
}

Test(duty_order, small_entry_vms_take_over_when_all_large_ones_are_gone)
{
    auto all = fleet(39);
    std::erase_if(all, [](const auto &one) { return one.second == large; });
    cr_assert_eq(dutyOrder("planner", all).size(), 36);
}

Test(duty_order, equal_entry_vms_share_the_duties)
{
    std::map<EntryId, EntryCapacity> all;
    for (int i = 0; i < 8; ++i)
        all.emplace(EntryId("e" + std::to_string(i)), 250);
    std::map<EntryId, int> first;
    for (int duty = 0; duty < 100; ++duty)
        ++first[dutyOrder("duty-" + std::to_string(duty), all).front()];
    cr_assert_eq(first.size(), 8);
}

Test(duty_order, one_loss_moves_only_the_duty_of_the_one_that_is_lost)
{
    const auto all = fleet(39);
    const auto order = dutyOrder("planner", all);
    auto left = all;
    left.erase(order.front());
    const auto after = dutyOrder("planner", left);
    cr_assert(std::equal(order.begin() + 1, order.end(), after.begin(), after.end()));
}

Test(reporters, large_entry_vms_collect_the_digests_of_a_zone)
{
    const auto all = fleet(39);
    std::map<EntryId, AvailabilityZone> zones;
    for (const auto &[entry, capacity] : all)
        zones.emplace(entry, AvailabilityZone("a"));
    const auto self = EntryId("a0");
    zones.erase(self);
    Reporters reporters(self, AvailabilityZone("a"));
    reporters.setPeers(zones, all);
    const auto own = reporters.own(TimePoint{});
    cr_assert(own);
    cr_assert_eq(all.at(*own), large);
}
