/// \file
/// \brief Immutable state of the fleet, passed from the control thread to the traffic threads.
#pragma once

#include <cardamombay/config/configuration.hpp>
#include <cardamombay/core/address.hpp>
#include <cardamombay/core/ids.hpp>
#include <cardamombay/core/time.hpp>
#include <cardamombay/endpoint/endpoint_state.hpp>

#include <cstdint>
#include <memory>
#include <optional>
#include <vector>

namespace cardamombay::routing {

/// \brief Routing data of a replica, or of one endpoint of a plain service.
/// \details A group is usable only before freshUntil_, the earliest time at which the observation
/// of one of its members expires. A group that stops reporting thus becomes unusable without any
/// event.
struct SnapshotGroup
{
    GroupId group_; ///< For plain endpoints, the VM's name.
    Generation generation_;
    AvailabilityZone zone_;
    FabricDomain domain_;
    endpoint::ModelSpec model_;
    endpoint::GroupRole role_ = endpoint::GroupRole::Mixed;
    VmId leader_;
    Address address_; ///< Request address of rank 0.
    std::vector<VmId> members_;
    TimePoint freshUntil_{};
    bool isVetoed_ = false; ///< A member is leaving or the group is draining: no new requests.
    bool isStraggler_ = false;
    std::uint32_t capacity_ = 1;
    endpoint::LoadReport load_;
    TimePoint loadTakenAt_{}; ///< When the engine measured load_: reception minus load_.lag_.
    std::uint32_t peerInFlight_ = 0; ///< In flight from other entry VMs, from their digests.

    /// \brief True if new requests may be sent to the group at \p now.
    [[nodiscard]] bool isUsable(TimePoint now) const { return !isVetoed_ && now < freshUntil_; }
};

/// \brief Groups of one service.
struct SnapshotService
{
    ServiceName service_;
    std::vector<SnapshotGroup> groups_;
};

/// \brief Demand of a team for a service at one entry VM, as sent in digests.
struct DemandReport
{
    ServiceName service_;
    TeamName team_;
    std::uint32_t inFlight_ = 0;
    std::uint32_t waiting_ = 0;

    friend bool operator==(const DemandReport &, const DemandReport &) = default;
};

/// \brief Demand reported by a live peer.
struct PeerDemand
{
    EntryId entry_;
    std::vector<DemandReport> demand_;
};

/// \brief Immutable state of the fleet; replaced as a whole and read without locks.
struct RoutingSnapshot
{
    std::uint64_t sequence_ = 0;
    EntryId self_;
    AvailabilityZone zone_;
    config::ConfigurationPtr configuration_;
    std::vector<SnapshotService> services_;
    std::vector<PeerDemand> peerDemand_; ///< Live peers only, sorted by entry.
    bool isStoreReachable_ = false;

    /// \brief The groups of \p service, or null if it is unknown.
    [[nodiscard]] const SnapshotService *service(const ServiceName &service) const;
};

using RoutingSnapshotPtr = std::shared_ptr<const RoutingSnapshot>;

} // namespace cardamombay::routing
