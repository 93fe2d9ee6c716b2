/// \file
/// \brief What a group manager is given at each tick.
/// \details Values and references that stay valid during the tick only. It decides nothing.
#pragma once

#include <cardamombay/config/configuration.hpp>
#include <cardamombay/core/ids.hpp>
#include <cardamombay/groups/group_cache.hpp>
#include <cardamombay/groups/vm_view.hpp>
#include <cardamombay/platform/vm_directory.hpp>

#include <vector>

namespace cardamombay::groups {

/// \brief Knowledge of an entry VM about one fabric domain and the availability zone around it.
struct PlanInput
{
    config::ConfigurationPtr configuration_;
    AvailabilityZone zone_;
    std::vector<platform::VmRecord> vms_; ///< Engines of the whole zone, all of its domains.
    const VmView *view_ = nullptr;
    GroupCache *groupCache_ = nullptr;
};

} // namespace cardamombay::groups
