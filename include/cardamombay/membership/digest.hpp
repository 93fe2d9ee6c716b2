/// \file
/// \brief Gossip message between entry VMs: incremental changes plus a short heartbeat.
/// \details Plain values. Times are transmitted as ages because no clock is shared. The payload
/// keeps observations of endpoint VMs fresh and spreads vetoes of leaving VMs and configuration
/// versions.
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

/// \brief Status of an entry VM as seen by the sender.
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

/// \brief Observation of an endpoint VM, with its age when the digest was created.
struct ObservationEntry
{
    endpoint::EndpointState state_;
    Duration age_{};
    bool isStraggler_ = false;

    friend bool operator==(const ObservationEntry &, const ObservationEntry &) = default;
};

/// \brief Updated load of an endpoint VM whose other state the receiver already has.
struct LoadEntry
{
    VmId vm_;
    endpoint::LoadReport load_;

    friend bool operator==(const LoadEntry &, const LoadEntry &) = default;
};

/// \brief An endpoint VM that refused the sender's connection, or whose address now belongs to
/// another VM.
struct GoneEntry
{
    VmId vm_;
    Duration age_{};

    friend bool operator==(const GoneEntry &, const GoneEntry &) = default;
};

/// \brief Veto of new work for an endpoint VM that is leaving.
struct LeavingEntry
{
    VmId vm_;
    Duration age_{};          ///< Time since the first entry VM learned of it.
    std::uint64_t count_ = 1; ///< Change counter: odd is leaving, even is lifted; highest wins.
    Incarnation incarnation_; ///< Of the VM when the veto began; none if unknown.

    friend bool operator==(const LeavingEntry &, const LeavingEntry &) = default;
};

/// \brief Number of requests the sender has in flight at a group.
struct InFlightEntry
{
    GroupId group_;
    std::uint32_t inFlight_ = 0;

    friend bool operator==(const InFlightEntry &, const InFlightEntry &) = default;
};

/// \brief The last digest the sender received from the receiver, and how long ago.
/// \details The receiver knows when it sent that digest. Its send time plus the hold time is thus
/// an instant, on the receiver's own clock, before which the current digest was not created. Ages
/// are counted from that instant, so no transit time has to be estimated, and a digest that waited
/// in a buffer while its receiver was paused counts as old.
struct EchoEntry
{
    std::uint64_t sequence_ = 0; ///< Zero: no digest received yet.
    Duration hold_{};

    friend bool operator==(const EchoEntry &, const EchoEntry &) = default;
};

/// \brief Revision range and age of the sender's observations.
/// \details Each watcher numbers the changes to its set of observed VMs. A digest holds the changes
/// since base_, the last revision acknowledged by the receiver. The summary states that every VM of
/// the set at revision_ was observed within age_.
struct WatchSummary
{
    std::uint64_t base_ = 0; ///< Zero: the observations are the whole set.
    std::uint64_t revision_ = 0;
    Duration age_{};            ///< Age of the oldest observation of the set.
    std::uint64_t applied_ = 0; ///< Acknowledged revision of the receiver's own set.
    std::vector<VmId> removed_; ///< No longer observed, or not answering.

    friend bool operator==(const WatchSummary &, const WatchSummary &) = default;
};

/// \brief Hash of the members of a region; a mismatch triggers a transfer of the full table.
struct RegionSummary
{
    RegionName region_;
    std::uint64_t hash_ = 0; ///< Over identifiers and incarnations of live members.

    friend bool operator==(const RegionSummary &, const RegionSummary &) = default;
};

/// \brief Configuration versions in use at a site, as reported by its entry VMs.
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

/// \brief Result of a ReachRequest: a member that the sender reached, and how long ago.
struct ReachReport
{
    EntryId target_;
    Incarnation incarnation_;
    Duration age_{};

    friend bool operator==(const ReachReport &, const ReachReport &) = default;
};

/// \brief Message between entry VMs; requests and answers have the same form.
struct Digest
{
    MemberEntry from_;
    EntryId to_; ///< Empty if the sender does not know which entry VM has the address.
    std::uint64_t sequence_ = 0;
    std::vector<MemberEntry> members_; ///< Changes only, piggybacked.
    std::vector<ObservationEntry> observations_;
    std::vector<LeavingEntry> leaving_;
    std::vector<routing::DemandReport> demand_;
    std::vector<InFlightEntry> inFlight_;
    EchoEntry echo_;
    bool wantsTable_ = false;    ///< The sender is joining and requests all members.
    bool wantsPayload_ = false;  ///< The sender requests observations, demand and other payload.
    ConfigVersion newestConfig_; ///< Highest version known to the sender.
    std::optional<WatchSummary> watch_;
    std::vector<RegionSummary> regions_;
    std::vector<SiteSummary> sites_;
    std::vector<ReachRequest> reachRequests_;
    std::vector<ReachReport> reachReports_;
    std::vector<LoadEntry> loads_; ///< Belong to the set summarized by watch_.
    std::vector<GoneEntry> gone_;

    friend bool operator==(const Digest &, const Digest &) = default;
};

} // namespace cardamombay::membership
