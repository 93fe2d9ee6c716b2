#include <cardamombay/serving/duty_order.hpp>

#include <cardamombay/core/hash.hpp>

#include <algorithm>
#include <utility>

namespace cardamombay::serving {

namespace {

/// VMs with at least this share of the greatest capacity count as large. It keeps VMs of one kind
/// together even if their settings give slightly different figures.
constexpr double largeCapacityShare = 0.5;

} // namespace

std::vector<EntryId> dutyOrder(std::string_view duty,
                               const std::map<EntryId, EntryCapacity> &capacities)
{
    EntryCapacity greatest = 0;
    for (const auto &[entry, capacity] : capacities)
        greatest = std::max(greatest, capacity);
    std::vector<EntryId> large;
    std::vector<EntryId> small;
    for (const auto &[entry, capacity] : capacities)
        (capacity >= greatest * largeCapacityShare ? large : small).push_back(entry);
    auto result = rendezvousOrder(duty, std::move(large));
    const auto rest = rendezvousOrder(duty, std::move(small));
    result.insert(result.end(), rest.begin(), rest.end());
    return result;
}

} // namespace cardamombay::serving
