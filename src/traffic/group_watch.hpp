/// \file
/// \brief Whether a group that an attempt went to may still serve it.
#pragma once

#include <cardamombay/routing/routing_snapshot.hpp>

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

} // namespace cardamombay::traffic::impl
