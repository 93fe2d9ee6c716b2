#include <cardamombay/routing/routing_snapshot.hpp>

#include <algorithm>

namespace cardamombay::routing {

const SnapshotService *RoutingSnapshot::service(const ServiceName &service) const
{
    const auto found
        = std::find_if(services_.begin(), services_.end(),
                       [&](const SnapshotService &entry) { return entry.service_ == service; });
    return found == services_.end() ? nullptr : &*found;
}

} // namespace cardamombay::routing
