/// \file
/// \brief The groups of a service, prepared for routing decisions.
#pragma once

#include "routing/group_registry.hpp"

#include <cardamombay/routing/router_policy.hpp>
#include <cardamombay/routing/routing_snapshot.hpp>

#include <cstdint>
#include <optional>
#include <vector>

namespace cardamombay::routing::impl {

/// \brief The data of one group that a decision reads, without the strings of the snapshot.
struct GroupView
{
    const SnapshotGroup *group_ = nullptr;
    OwnerIndex owner_ = 0;
    std::uint64_t hash_ = 0;     ///< Hash of the group's identifier, the same on every entry VM.
    double otherInFlight_ = 0;   ///< Requests in flight from other entry VMs.
    double inverseCapacity_ = 1; ///< 1 / capacity of the group.
    TimePoint freshUntil_{};
    endpoint::GroupRole role_ = endpoint::GroupRole::Mixed;
    bool isVetoed_ = false;
    bool isLocal_ = true;
    bool isEjected_ = false;
};

/// \brief One service of one snapshot.
struct ServiceView
{
    ServiceName service_;
    std::vector<GroupView> groups_;
    std::vector<std::uint32_t> positionOf_; ///< Index in groups_ plus one, by owner; zero if none.
    bool isDisaggregated_ = false;          ///< Has both prefill and decode groups.

    /// \brief Index in groups_ of the group with that owner index.
    [[nodiscard]] std::optional<std::size_t> position(OwnerIndex owner) const;
};

/// \brief Builds the view of \p service and updates \p registry from it.
[[nodiscard]] ServiceView makeServiceView(const RoutingSnapshot &snapshot,
                                          const SnapshotService &service,
                                          const RouterPolicy &policy, GroupRegistry &registry,
                                          TimePoint now);

/// \brief Marks slow groups of \p view as ejected, slowest first, as long as the minimum capacity
/// remains.
void ejectStragglers(ServiceView &view, const RouterPolicy &policy, GroupRegistry &registry,
                     TimePoint now);

} // namespace cardamombay::routing::impl
