#include "control_side.hpp"

#include <cardamombay/control/hosted_node.hpp>

#include <csignal>

namespace cardamombay::daemon {

std::unique_ptr<traffic::ControlSide> makeControlSide(const ControlParts &parts)
{
    return std::make_unique<control::HostedNode>(control::HostedNodeDependencies{
        parts.context_, parts.clock_, parts.settings_, parts.incarnation_, parts.registry_,
        parts.lifecycleState_, [] { std::raise(SIGTERM); }});
}

} // namespace cardamombay::daemon
