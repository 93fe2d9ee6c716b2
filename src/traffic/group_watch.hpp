/// \file
/// \brief Whether a group that an attempt went to may still serve it.
#pragma once

#include <cardamombay/routing/routing_snapshot.hpp>

#include <unordered_map>

namespace cardamombay::traffic::impl {

/// \brief What the latest snapshot says of a group that was chosen from an earlier one.
enum class GroupStanding {
    Usable,  ///< It may get new work.
    Vetoed,  ///< It finishes what it has.
    NotWhole ///< It lapsed, was formed anew or is gone: it must not serve.
};

/// \brief Looks \p chosen up in \p snapshot.
[[nodiscard]] GroupStanding standingOf(const routing::SnapshotGroup &chosen,
                                       const ServiceName &service,
                                       const routing::RoutingSnapshot &snapshot, TimePoint now);

/// \brief standingOf() for many attempts: finds a group without a search.
class GroupWatch
{
public:
    /// \brief Takes the latest snapshot.
    void update(routing::RoutingSnapshotPtr snapshot);

    [[nodiscard]] GroupStanding standing(const routing::SnapshotGroup &chosen, TimePoint now) const;

private:
    routing::RoutingSnapshotPtr snapshot_;
    std::unordered_map<GroupId, const routing::SnapshotGroup *> groups_; ///< Of snapshot_.
};

} // namespace cardamombay::traffic::impl
