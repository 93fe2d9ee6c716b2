/// \file
/// \brief What the control thread hands to the traffic threads: an immutable state of the fleet.
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

/// \brief A replica (or one endpoint of a plain service) as routing sees it.
/// \details A group is usable only before freshUntil_, the earliest instant at which the
/// observation of one of its members lapses. Silence thus ends its use without any event.
struct SnapshotGroup
{
    GroupId group_; ///< Plain endpoints: the VM's name.
    Generation generation_;
    AvailabilityZone zone_;
    FabricDomain domain_;
    endpoint::ModelSpec model_;
    endpoint::GroupRole role_ = endpoint::GroupRole::Mixed;
    VmId leader_;
    Address address_; ///< Where rank 0 takes requests.
    std::vector<VmId> members_;
    TimePoint freshUntil_{};
    bool isVetoed_ = false; ///< A member leaves or the group drains: no new work.
    bool isStraggler_ = false;
    std::uint32_t capacity_ = 1;
    endpoint::LoadReport load_;
    TimePoint loadTakenAt_{};        ///< When the engine took the figures: hearing less load_.lag_.
    std::uint32_t peerInFlight_ = 0; ///< In flight from other entry VMs, by their digests.

    /// \brief True if new work may be handed to the group at \p now.
    [[nodiscard]] bool isUsable(TimePoint now) const { return !isVetoed_ && now < freshUntil_; }
};

/// \brief Groups of one service.
struct SnapshotService
{
    ServiceName service_;
    std::vector<SnapshotGroup> groups_;
};

/// \brief Demand of a team for a service at one entry VM, as digested.
struct DemandReport
{
    ServiceName service_;
    TeamName team_;
    std::uint32_t inFlight_ = 0;
    std::uint32_t waiting_ = 0;

    friend bool operator==(const DemandReport &, const DemandReport &) = default;
};

/// \brief Demand that a live peer reported.
struct PeerDemand
{
    EntryId entry_;
    std::vector<DemandReport> demand_;
};

/// \brief Immutable state of the fleet; replaced whole, read without locks.
struct RoutingSnapshot
{
    std::uint64_t sequence_ = 0;
    EntryId self_;
    AvailabilityZone zone_;
    config::ConfigurationPtr configuration_;
    std::vector<SnapshotService> services_;
    std::vector<PeerDemand> peerDemand_; ///< Live peers only, sorted by entry.
    bool isStoreReachable_ = false;

    /// \brief The groups of \p service, or null.
    [[nodiscard]] const SnapshotService *service(const ServiceName &service) const;
};

using RoutingSnapshotPtr = std::shared_ptr<const RoutingSnapshot>;

} // namespace cardamombay::routing
