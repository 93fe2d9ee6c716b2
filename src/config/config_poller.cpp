#include <cardamombay/config/config_poller.hpp>

#include <cardamombay/core/hash.hpp>

#include <algorithm>
#include <utility>

namespace cardamombay::config {

bool isConfigPoller(const EntryId &self, const AvailabilityZone &zone,
                    std::span<const EntryId> liveMembers)
{
    const std::string key = "config-poller/" + zone.text();
    const auto rank = [&key](const EntryId &id) {
        return std::make_pair(rendezvousWeight(key, id.text()), id.text());
    };
    const auto own = rank(self);
    const auto higher = std::count_if(liveMembers.begin(), liveMembers.end(),
                                      [&](const EntryId &id) { return rank(id) > own; });
    return static_cast<std::size_t>(higher) < pollersPerSite;
}

} // namespace cardamombay::config
