/// \file
/// \brief What entry VMs tell each other: changes plus a short heartbeat.
/// \details Values only. Times travel as ages, as no clock is shared. A digest carries what peers
/// need for the promises on freshness, on leaving VMs and on rising configuration versions.
#pragma once

#include <cardamombay/core/address.hpp>
#include <cardamombay/core/ids.hpp>
#include <cardamombay/core/time.hpp>
#include <cardamombay/endpoint/endpoint_state.hpp>
#include <cardamombay/routing/routing_snapshot.hpp>

#include <cstdint>
#include <optional>
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

/// \brief New load of an endpoint VM whose state is otherwise as the receiver knows it.
struct LoadEntry
{
    VmId vm_;
    endpoint::LoadReport load_;

    friend bool operator==(const LoadEntry &, const LoadEntry &) = default;
};

/// \brief An endpoint VM that refused the sender's connection, or was another VM by then.
struct GoneEntry
{
    VmId vm_;
    Duration age_{};

    friend bool operator==(const GoneEntry &, const GoneEntry &) = default;
};

/// \brief An endpoint VM learnt to be leaving; new work to it is vetoed.
struct LeavingEntry
{
    VmId vm_;
    Duration age_{};          ///< Since the first entry VM learnt it.
    std::uint64_t count_ = 1; ///< Changes so far: odd is leaving, even is lifted; highest wins.
    Incarnation incarnation_; ///< Of the VM when it was vetoed; none if unknown.

    friend bool operator==(const LeavingEntry &, const LeavingEntry &) = default;
};

/// \brief In-flight requests the sender has at a group.
struct InFlightEntry
{
    GroupId group_;
    std::uint32_t inFlight_ = 0;

    friend bool operator==(const InFlightEntry &, const InFlightEntry &) = default;
};

/// \brief Which digest of the receiver the sender had received last, and how long ago.
/// \details The receiver knows when it sent that digest, so sending time plus hold is an instant,
/// on its own clock, after which the present digest was made. Ages are counted from that instant;
/// no allowance for the flight has to be guessed, and a digest that waited in a buffer while its
/// receiver was paused counts as old.
struct EchoEntry
{
    std::uint64_t sequence_ = 0; ///< Zero: no digest received yet.
    Duration hold_{};

    friend bool operator==(const EchoEntry &, const EchoEntry &) = default;
};

/// \brief What the sender's observations in this digest mean as a whole.
/// \details Each watcher numbers the changes of the set of VMs it observes. A digest holds what
/// changed since base_, the last revision that the receiver said it has; one line then says that
/// everything at revision_ was seen within age_.
struct WatchSummary
{
    std::uint64_t base_ = 0; ///< Zero: the observations are the whole set.
    std::uint64_t revision_ = 0;
    Duration age_{};            ///< Age of the oldest observation of the set.
    std::uint64_t applied_ = 0; ///< Revision of the receiver's own set that the sender has.
    std::vector<VmId> removed_; ///< Not observed any longer, or silent.

    friend bool operator==(const WatchSummary &, const WatchSummary &) = default;
};

/// \brief Members of a region in a few bytes; unequal hashes call for the whole table.
struct RegionSummary
{
    RegionName region_;
    std::uint64_t hash_ = 0; ///< Over identifiers and incarnations of live members.

    friend bool operator==(const RegionSummary &, const RegionSummary &) = default;
};

/// \brief Configuration in force at a site, as its entry VMs report it.
struct SiteSummary
{
    AvailabilityZone zone_;
    std::uint32_t alive_ = 0;
    ConfigVersion oldest_;
    ConfigVersion newest_;
    Duration age_{};

    friend bool operator==(const SiteSummary &, const SiteSummary &) = default;
};

/// \brief Asks the receiver to probe a member that the sender cannot reach.
struct ReachRequest
{
    EntryId target_;
    Address address_;

    friend bool operator==(const ReachRequest &, const ReachRequest &) = default;
};

/// \brief A member that the sender reached on request, and how long ago.
struct ReachReport
{
    EntryId target_;
    Incarnation incarnation_;
    Duration age_{};

    friend bool operator==(const ReachReport &, const ReachReport &) = default;
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
    EchoEntry echo_;
    bool wantsTable_ = false;    ///< The sender joins: the answer holds every member.
    bool wantsPayload_ = false;  ///< The answer holds observations, demand and the like.
    ConfigVersion newestConfig_; ///< Highest version that the sender has heard of.
    std::optional<WatchSummary> watch_;
    std::vector<RegionSummary> regions_;
    std::vector<SiteSummary> sites_;
    std::vector<ReachRequest> reachRequests_;
    std::vector<ReachReport> reachReports_;
    std::vector<LoadEntry> loads_; ///< Part of the set that watch_ is about.
    std::vector<GoneEntry> gone_;

    friend bool operator==(const Digest &, const Digest &) = default;
};

} // namespace cardamombay::membership
