/// \file
/// \brief Builds the services of a routing snapshot from the state of the control side.
/// \details Pure functions without I/O. They ensure that no group serves with a member missing: a
/// group expires with the earliest expiry of its members' observations, and at once if a member
/// reports a state that does not match its assignment.
#pragma once

#include <cardamombay/groups/group_cache.hpp>
#include <cardamombay/platform/vm_directory.hpp>
#include <cardamombay/routing/routing_snapshot.hpp>
#include <cardamombay/watching/endpoint_watcher.hpp>

#include <map>
#include <unordered_map>
#include <vector>

namespace cardamombay::control {

/// \brief VM records by id.
using VmRecords = std::unordered_map<VmId, platform::VmRecord>;

/// \brief In-flight requests reported by live peers, by group.
using PeerLoad = std::map<GroupId, std::uint32_t>;

/// \brief Inputs of a snapshot; references need to be valid during the call only.
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

/// \brief Time until which \p group may be used: the earliest expiry of its members' observations,
/// or a zero time point if a member is unknown or its reported state does not match \p group.
[[nodiscard]] TimePoint groupFreshUntil(const groups::GroupRow &group,
                                        const watching::EndpointWatcher &watcher);

} // namespace cardamombay::control
