/// \file
/// \brief The groups of a service in the form that a decision reads.
#pragma once

#include "routing/group_book.hpp"

#include <cardamombay/routing/router_policy.hpp>
#include <cardamombay/routing/routing_snapshot.hpp>

#include <cstdint>
#include <optional>
#include <vector>

namespace cardamombay::routing::impl {

/// \brief One group; what a decision needs, without the snapshot's texts.
struct GroupView
{
    const SnapshotGroup *group_ = nullptr;
    OwnerIndex owner_ = 0;
    std::uint64_t hash_ = 0; ///< Of the group's identifier; the same on every entry VM.
    double othersLoad_ = 0;  ///< Requests that other entry VMs have at the group.
    double perCapacity_ = 1; ///< One over the group's capacity.
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
    std::vector<std::uint32_t> positionOf_; ///< Index in groups_ plus one, by owner; zero is none.
    bool hasPairs_ = false;                 ///< Has groups to prefill and groups to decode.

    /// \brief Index in groups_ of the group with that owner index.
    [[nodiscard]] std::optional<std::size_t> position(OwnerIndex owner) const;
};

/// \brief Reads \p service into a view and notes in \p book what it shows of each group.
[[nodiscard]] ServiceView makeServiceView(const RoutingSnapshot &snapshot,
                                          const SnapshotService &service,
                                          const RouterPolicy &policy, GroupBook &book,
                                          TimePoint now);

/// \brief Marks the slow groups of \p view, worst first, while the floor on capacity holds.
void ejectStragglers(ServiceView &view, const RouterPolicy &policy, GroupBook &book, TimePoint now);

} // namespace cardamombay::routing::impl
