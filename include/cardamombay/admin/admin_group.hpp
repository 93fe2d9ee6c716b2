/// \file
/// \brief Answer to GET /admin/groups: the groups of VMs and why one is not in use.
/// \details What this entry VM knows of the groups, with the reason why it would not use one. It
/// decides nothing.
#pragma once

#include <cardamombay/core/ids.hpp>
#include <cardamombay/core/result.hpp>
#include <cardamombay/core/time.hpp>

#include <cstdint>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace cardamombay::admin {

/// \brief A member VM of a group.
struct AdminGroupMember
{
    VmId vm_;
    bool isFresh_ = false;
    Duration age_{};    ///< Of the last observation.
    std::string phase_; ///< What the engine says of itself; "unknown" if never observed.

    friend bool operator==(const AdminGroupMember &, const AdminGroupMember &) = default;
};

/// \brief A group, as the answering entry VM sees it.
struct AdminGroup
{
    GroupId id_;
    ServiceName service_;
    AvailabilityZone zone_;
    FabricDomain domain_;
    Generation generation_;
    std::string phase_; ///< State of the group chart.
    std::vector<AdminGroupMember> members_;
    std::uint32_t inFlight_ = 0;
    bool isUsable_ = false;
    std::string whyNot_; ///< Reason if it is not usable, one line.

    friend bool operator==(const AdminGroup &, const AdminGroup &) = default;
};

/// \brief Writes \p groups as JSON.
[[nodiscard]] std::string encode(std::span<const AdminGroup> groups);

/// \brief Reads what encode() wrote.
[[nodiscard]] Result<std::vector<AdminGroup>> decodeGroups(std::string_view text);

} // namespace cardamombay::admin
