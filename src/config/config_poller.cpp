#include <cardamombay/config/config_poller.hpp>

#include <cardamombay/core/hash.hpp>

namespace cardamombay::config {

bool isConfigPoller(const EntryId &self, const AvailabilityZone &zone,
                    std::span<const EntryId> liveMembers)
{
    return rendezvousRank("config-poller/" + zone.text(), self, liveMembers) < pollersPerSite;
}

} // namespace cardamombay::config
