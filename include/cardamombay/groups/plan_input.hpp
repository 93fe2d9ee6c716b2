/// \file
/// \brief Input of a group manager's tick.
/// \details The pointers need to be valid during the tick only.
#pragma once

#include <cardamombay/config/configuration.hpp>
#include <cardamombay/core/ids.hpp>
#include <cardamombay/groups/group_cache.hpp>
#include <cardamombay/groups/vm_view.hpp>
#include <cardamombay/platform/vm_directory.hpp>

#include <vector>

namespace cardamombay::groups {

/// \brief What an entry VM knows about an availability zone.
struct PlanInput
{
    config::ConfigurationPtr configuration_;
    AvailabilityZone zone_;
    std::vector<platform::VmRecord> vms_; ///< Engine VMs of all domains of the zone.
    const VmView *view_ = nullptr;
    GroupCache *groupCache_ = nullptr;
};

} // namespace cardamombay::groups
