/// \file
/// \brief Answer to GET /admin/vms: the endpoint VMs.
/// \details What this entry VM observed of each endpoint VM. It decides nothing; ages travel as
/// whole milliseconds.
#pragma once

#include <cardamombay/core/ids.hpp>
#include <cardamombay/core/result.hpp>
#include <cardamombay/core/time.hpp>

#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace cardamombay::admin {

/// \brief An endpoint VM, as the answering entry VM sees it.
struct AdminVm
{
    VmId id_;
    AvailabilityZone zone_;
    FabricDomain domain_; ///< Empty for plain services.
    ServiceName service_; ///< Plain services only.
    GroupId group_;       ///< Empty if it is in none.
    std::string phase_;   ///< What the engine says of itself; "unknown" if never observed.
    Duration age_{};      ///< Of the last observation.
    bool isLeaving_ = false;
    bool isStraggler_ = false;

    friend bool operator==(const AdminVm &, const AdminVm &) = default;
};

/// \brief Writes \p vms as JSON.
[[nodiscard]] std::string encode(std::span<const AdminVm> vms);

/// \brief Reads what encode() wrote.
[[nodiscard]] Result<std::vector<AdminVm>> decodeVms(std::string_view text);

} // namespace cardamombay::admin
