/// \file
/// \brief Messages that entry VMs exchange several times per second: load digests, sums and relayed
/// changes.
/// \details Each peer gets one small datagram per period; the next one makes up for a lost one.
/// Only defines and encodes the messages.
#pragma once

#include <cardamombay/core/address.hpp>
#include <cardamombay/core/ids.hpp>
#include <cardamombay/core/time.hpp>
#include <cardamombay/overload/admission_figures.hpp>
#include <cardamombay/serving/duty_order.hpp>
#include <cardamombay/serving/endpoint.hpp>
#include <cardamombay/serving/endpoint_limits.hpp>
#include <cardamombay/serving/endpoint_notices.hpp>
#include <cardamombay/serving/evacuations.hpp>
#include <cardamombay/serving/peer_clocks.hpp>
#include <cardamombay/serving/poison_pills.hpp>
#include <cardamombay/serving/quota_messages.hpp>
#include <cardamombay/serving/retry_quota.hpp>

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace cardamombay::serving {

/// \brief Versions and ages of the store's data at an entry VM that watches it, for those that
/// don't.
struct RelayState
{
    ConfigVersion config_;
    Duration configAge_{}; ///< Time since the store confirmed that it is the newest.
    RowVersion endpoints_; ///< Version of the newest change in the table of endpoints.
    Duration endpointsAge_{};
    EvacuationState evacuations_{};

    friend bool operator==(const RelayState &, const RelayState &) = default;
};

/// \brief Load and state of one entry VM.
struct LoadDigest
{
    EntryId from_;
    Address address_; ///< Address at which its own datagrams arrive.
    AvailabilityZone zone_;
    EntryCapacity capacity_ = 0;
    ClockStamp stamp_; ///< When the digest was sent.
    std::optional<RelayState> relay_;
    RowVersion endpoints_; ///< The sender has all changes of endpoints up to this version.
    std::unordered_map<VmId, std::size_t> underWay_; ///< Its requests in flight at each endpoint.
    /// Prompt tokens sent to each endpoint since the sender started.
    std::unordered_map<VmId, std::size_t> sent_;
    std::vector<VmId> silent_; ///< Endpoints whose streams stalled at the sender.
    /// Number of entry VMs that received data from an endpoint recently.
    std::unordered_map<VmId, std::size_t> heard_;
    /// Its request rate per model, weighted by work per request.
    std::map<ModelName, double> demand_;
    std::map<ServiceName, RetryCounts> retries_; ///< Counts of the last window.
    /// What its process has counted; not in sums, nor in each digest.
    std::optional<QuotaReport> quota_;
    PoisonUpdate poison_;             ///< Requests that crash endpoints.
    std::vector<LimitUpdate> limits_; ///< Limits that endpoints announced.
    overload::FleetDemand overload_;  ///< Work of services under admission control.
    /// Endpoints that break new requests, with the number of entry VMs that avoid them for it.
    std::unordered_map<VmId, std::size_t> failing_;
    /// Entry VMs that have lost their paths to endpoints.
    std::vector<EntryId> partitioned_;
    std::vector<VmId> inquired_;  ///< Endpoints that the sender cannot reach.
    std::vector<VmId> witnessed_; ///< Endpoints that it hears and others have inquired about.
    std::vector<CooldownUpdate> cooldowns_; ///< Cooldowns that endpoints announced to the sender.
    bool isDraining_ = false;

    friend bool operator==(const LoadDigest &, const LoadDigest &) = default;
};

/// \brief An entry VM and the address at which its datagrams arrive.
struct PeerInfo
{
    EntryId entry_;
    Address address_;
    AvailabilityZone zone_;
    EntryCapacity capacity_ = 0;

    friend bool operator==(const PeerInfo &, const PeerInfo &) = default;
};

/// \brief Sum of the digests of several entry VMs, computed by one of them for the others.
struct LoadSummary
{
    LoadDigest sum_; ///< from_ is the sender of the sum; tokens are counted from since_ on.
    /// Start of the sender's process; counts from different processes are not comparable.
    Incarnation since_;
    bool isOfZone_ = false;        ///< Covers only the sender's zone, for reporters of other zones.
    std::vector<PeerInfo> roster_; ///< Some of the entry VMs that the sum covers.
    /// RosterSums::total() of all entry VMs that the sender knows; 0 if unspecified.
    std::uint64_t rosterTotal_ = 0;

    friend bool operator==(const LoadSummary &, const LoadSummary &) = default;
};

/// \brief A new entry of an endpoint, or its removal.
struct EndpointChange
{
    VmId id_;
    RowVersion version_;               ///< Version of the entry in the store's table.
    std::optional<Endpoint> endpoint_; ///< Empty if the endpoint is no longer listed.

    friend bool operator==(const EndpointChange &, const EndpointChange &) = default;
};

/// \brief Changes of endpoints, relayed by an entry VM that watches the store.
struct EndpointRelay
{
    RowVersion after_;                    ///< Applies to receivers that have at least this version.
    RowVersion to_;                       ///< The version that the receiver has afterwards.
    std::vector<EndpointChange> changes_; ///< In ascending order of version.
};

/// \brief Alerts the planner candidates to endpoints that have just stalled at an entry VM.
struct SilenceAlarm
{
    EntryId from_;
    std::vector<VmId> silent_;

    friend bool operator==(const SilenceAlarm &, const SilenceAlarm &) = default;
};

/// \name JSON-RPC notifications
/// \{
[[nodiscard]] std::string encode(const LoadDigest &digest);
[[nodiscard]] std::string encode(const LoadSummary &summary);
[[nodiscard]] std::string encode(const EndpointRelay &relay);
[[nodiscard]] std::string encode(const SilenceAlarm &alarm);
/// \returns nothing if \p text is not a digest.
[[nodiscard]] std::optional<LoadDigest> decodeLoadDigest(std::string_view text);
/// \returns nothing if \p text is not a summary.
[[nodiscard]] std::optional<LoadSummary> decodeLoadSummary(std::string_view text);
/// \returns nothing if \p text is not an alarm.
[[nodiscard]] std::optional<SilenceAlarm> decodeSilenceAlarm(std::string_view text);
/// \returns nothing if \p text is not a relay message.
[[nodiscard]] std::optional<EndpointRelay> decodeEndpointRelay(std::string_view text);
/// \}

/// \brief Splits changes so that each message fits into a datagram of common size.
[[nodiscard]] std::vector<EndpointRelay> splitRelay(EndpointRelay relay);

/// \brief Sends and receives datagrams.
class DatagramChannel
{
public:
    DatagramChannel() = default;
    DatagramChannel(const DatagramChannel &) = delete;
    DatagramChannel &operator=(const DatagramChannel &) = delete;
    virtual ~DatagramChannel() = default;

    virtual void send(const Address &to, std::string_view text) = 0;
    virtual void onReceived(std::function<void(std::string_view)> handler) = 0;
};

} // namespace cardamombay::serving
