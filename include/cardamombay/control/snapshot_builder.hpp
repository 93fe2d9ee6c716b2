/// \file
/// \brief Makes the routing snapshot out of what the control side knows.
/// \details Pure: no time passes and nothing is asked. It guards the promise that no group serves
/// with a member missing: a group's freshness is the earliest of its members', and a member whose
/// own report does not match the assignment has none.
#pragma once

#include <cardamombay/groups/group_cache.hpp>
#include <cardamombay/platform/vm_directory.hpp>
#include <cardamombay/routing/routing_snapshot.hpp>
#include <cardamombay/watching/endpoint_watcher.hpp>

#include <map>
#include <unordered_map>
#include <vector>

namespace cardamombay::control {

/// \brief VM records by name.
using VmRecords = std::unordered_map<VmId, platform::VmRecord>;

/// \brief Load that live peers reported, by group.
using PeerLoad = std::map<GroupId, std::uint32_t>;

/// \brief What a snapshot is made of; all of it outlives the call only.
struct SnapshotInput
{
    config::ConfigurationPtr configuration_;
    const groups::GroupCache &groupCache_;
    const watching::EndpointWatcher &watcher_;
    const VmRecords &vms_;
    const PeerLoad &peerLoad_;
};

/// \brief The groups of every service, model and plain.
[[nodiscard]] std::vector<routing::SnapshotService> buildServices(const SnapshotInput &input);

/// \brief Until when \p group may be used: the earliest lapse of its members' observations; the
/// zero instant if a member is unknown or reports something else than \p group asks for.
[[nodiscard]] TimePoint groupFreshUntil(const groups::GroupRow &group,
                                        const watching::EndpointWatcher &watcher);

} // namespace cardamombay::control
