/// \file
/// \brief Converts the state of a control node to admin messages.
/// \details Read-only. The reason why a group is unusable follows the same rules as the routing
/// snapshot.
#pragma once

#include <cardamombay/admin/admin_group.hpp>
#include <cardamombay/admin/admin_status.hpp>
#include <cardamombay/admin/admin_vm.hpp>
#include <cardamombay/control/control_node.hpp>

#include <string>
#include <string_view>
#include <vector>

namespace cardamombay::control {

/// \brief Why no requests are routed to a group although all its members are healthy: the published
/// snapshot has no usable entry for it yet. Without this check a group was reported as usable while
/// the next request was refused for lack of capacity.
///
/// \returns an empty string if requests are routed to it.
[[nodiscard]] std::string unroutedReason(const routing::RoutingSnapshot &snapshot,
                                         const ServiceName &service, const GroupId &group,
                                         TimePoint now);

/// \brief Status of the node; \p lifecycleState comes from the daemon's state chart.
[[nodiscard]] admin::AdminStatus statusOf(const ControlNode &node, std::string_view lifecycleState);

/// \brief Every group slot that was ever formed, with the reason if the group is unusable.
[[nodiscard]] std::vector<admin::AdminGroup> groupsOf(const ControlNode &node);

/// \brief Every endpoint VM.
[[nodiscard]] std::vector<admin::AdminVm> vmsOf(const ControlNode &node);

/// \brief Warning if \p zone and \p region do not match a site of \p configuration; empty if they
/// do.
[[nodiscard]] std::string siteWarning(const AvailabilityZone &zone, const RegionName &region,
                                      const config::Configuration &configuration);

} // namespace cardamombay::control
