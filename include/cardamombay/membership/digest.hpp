/// \file
/// \brief What entry VMs tell each other: changes plus a short heartbeat.
#pragma once

#include <cardamombay/core/address.hpp>
#include <cardamombay/core/ids.hpp>
#include <cardamombay/core/time.hpp>
#include <cardamombay/endpoint/endpoint_state.hpp>
#include <cardamombay/routing/routing_snapshot.hpp>

#include <cstdint>
#include <vector>

namespace cardamombay::membership {

/// \brief Where a member of the entry VMs stands, as seen by the sender.
enum class MemberStatus { Alive, Suspect, Dead, Left };

/// \brief One entry VM in a digest.
struct MemberEntry
{
    EntryId id_;
    Address address_;
    AvailabilityZone zone_;
    RegionName region_;
    Incarnation incarnation_;
    MemberStatus status_ = MemberStatus::Alive;
    bool isDraining_ = false;
    ConfigVersion configVersion_;

    friend bool operator==(const MemberEntry &, const MemberEntry &) = default;
};

/// \brief Observation of an endpoint VM, with its age when the digest was made.
struct ObservationEntry
{
    endpoint::EndpointState state_;
    Duration age_{};
    bool isStraggler_ = false;

    friend bool operator==(const ObservationEntry &, const ObservationEntry &) = default;
};

/// \brief An endpoint VM learnt to be leaving; new work to it is vetoed.
struct LeavingEntry
{
    VmId vm_;
    Duration age_{}; ///< Since the first entry VM learnt it.

    friend bool operator==(const LeavingEntry &, const LeavingEntry &) = default;
};

/// \brief In-flight requests the sender has at a group.
struct InFlightEntry
{
    GroupId group_;
    std::uint32_t inFlight_ = 0;

    friend bool operator==(const InFlightEntry &, const InFlightEntry &) = default;
};

/// \brief One message between entry VMs; also the shape of the answer to it.
struct Digest
{
    MemberEntry from_;
    EntryId to_; ///< Empty if the sender does not know who listens at the address.
    std::uint64_t sequence_ = 0;
    std::vector<MemberEntry> members_; ///< Changes only, piggybacked.
    std::vector<ObservationEntry> observations_;
    std::vector<LeavingEntry> leaving_;
    std::vector<routing::DemandReport> demand_;
    std::vector<InFlightEntry> inFlight_;

    friend bool operator==(const Digest &, const Digest &) = default;
};

} // namespace cardamombay::membership
