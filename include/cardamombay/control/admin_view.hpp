/// \file
/// \brief Shows a control node to operators.
/// \details Read-only: turns what the node knows into the messages of module admin. It decides
/// nothing; the reason why a group is not usable follows the rules of the snapshot.
#pragma once

#include <cardamombay/admin/admin_group.hpp>
#include <cardamombay/admin/admin_status.hpp>
#include <cardamombay/admin/admin_vm.hpp>
#include <cardamombay/control/control_node.hpp>

#include <string>
#include <string_view>
#include <vector>

namespace cardamombay::control {

/// \brief Why requests do not go to a group whose members are all in order: the traffic threads
/// have not been told of it. Without this a group was shown as usable, and the next request refused
/// for want of capacity.
///
/// \returns nothing if they do.
[[nodiscard]] std::string whyNotRouted(const routing::RoutingSnapshot &snapshot,
                                       const ServiceName &service, const GroupId &group,
                                       TimePoint now);

/// \brief State of the node; \p lifecycleState comes from the daemon's chart.
[[nodiscard]] admin::AdminStatus statusOf(const ControlNode &node, std::string_view lifecycleState);

/// \brief Every group slot that was ever formed, with the reason if it is not usable.
[[nodiscard]] std::vector<admin::AdminGroup> groupsOf(const ControlNode &node);

/// \brief Every endpoint VM.
[[nodiscard]] std::vector<admin::AdminVm> vmsOf(const ControlNode &node);

/// \brief Says that the place of this entry VM is no site of \p configuration; empty if it is one.
[[nodiscard]] std::string siteWarning(const AvailabilityZone &zone, const RegionName &region,
                                      const config::Configuration &configuration);

} // namespace cardamombay::control
