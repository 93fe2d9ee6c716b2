/// \file
/// \brief Answer to GET /admin/status: one entry VM and what it knows of the others.
/// \details What this entry VM knows of itself and of its peers. It decides nothing; the uptime
/// travels as whole milliseconds.
#pragma once

#include <cardamombay/core/address.hpp>
#include <cardamombay/core/ids.hpp>
#include <cardamombay/core/result.hpp>
#include <cardamombay/core/time.hpp>
#include <cardamombay/membership/digest.hpp>

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace cardamombay::admin {

/// \brief An entry VM, as the answering one sees it; it lists itself too.
struct AdminMember
{
    EntryId id_;
    Address peers_; ///< Peer listener; where operators can ask it.
    AvailabilityZone zone_;
    RegionName region_;
    membership::MemberStatus status_ = membership::MemberStatus::Alive;
    ConfigVersion configVersion_;
    bool isDraining_ = false;

    friend bool operator==(const AdminMember &, const AdminMember &) = default;
};

/// \brief Capacity and load of a service at the answering entry VM.
struct AdminService
{
    ServiceName name_;
    std::uint32_t declaredReplicas_ = 0; ///< Over all sites.
    std::uint32_t servingReplicas_ = 0;  ///< Usable now.
    std::uint32_t inFlight_ = 0;         ///< From this entry VM.

    friend bool operator==(const AdminService &, const AdminService &) = default;
};

/// \brief State of one daemon.
struct AdminStatus
{
    EntryId entry_;
    AvailabilityZone zone_;
    RegionName region_;
    Incarnation incarnation_;
    std::string state_; ///< State of the daemon's life cycle chart.
    ConfigVersion configVersion_;
    bool isStoreReachable_ = false;
    Duration uptime_{};
    std::vector<AdminMember> members_;
    std::vector<AdminService> services_;
    std::string warning_; ///< What an operator has to put right; empty if there is nothing.

    friend bool operator==(const AdminStatus &, const AdminStatus &) = default;
};

/// \brief Writes \p status as JSON.
[[nodiscard]] std::string encode(const AdminStatus &status);

/// \brief Reads what encode() wrote.
[[nodiscard]] Result<AdminStatus> decodeStatus(std::string_view text);

} // namespace cardamombay::admin
