/// \file
/// \brief What entry VMs tell each other several times a second: their work under way.
/// \details One small datagram to each peer; a lost one is made good by the next. Decides nothing.
#pragma once

#include <cardamombay/core/address.hpp>
#include <cardamombay/core/ids.hpp>
#include <cardamombay/core/time.hpp>
#include <cardamombay/serving/duty_order.hpp>
#include <cardamombay/serving/endpoint.hpp>
#include <cardamombay/serving/endpoint_limits.hpp>
#include <cardamombay/serving/endpoint_notices.hpp>
#include <cardamombay/serving/evacuations.hpp>
#include <cardamombay/serving/peer_clocks.hpp>
#include <cardamombay/serving/poison_pills.hpp>
#include <cardamombay/serving/repeat_window.hpp>

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace cardamombay::serving {

/// \brief How far an entry VM that watches the store is, for those that do not.
struct RelayState
{
    ConfigVersion config_;
    Duration configAge_{}; ///< Since the store confirmed that it is the newest.
    RowVersion endpoints_; ///< Of the newest change of the table of endpoints.
    Duration endpointsAge_{};
    EvacuationState evacuations_{};

    friend bool operator==(const RelayState &, const RelayState &) = default;
};

/// \brief One entry VM's news.
struct LoadDigest
{
    EntryId from_;
    Address address_; ///< Where its own datagrams arrive.
    AvailabilityZone zone_;
    EntryCapacity capacity_ = 0;
    ClockStamp stamp_; ///< When it was sent.
    std::optional<RelayState> relay_;
    RowVersion endpoints_; ///< It has all changes of endpoints up to this version.
    std::unordered_map<VmId, std::size_t> underWay_; ///< Its requests at each endpoint.
    std::unordered_map<VmId, std::size_t> sent_;     ///< Prompt tokens since it started.
    std::vector<VmId> silent_;                       ///< Endpoints whose streams stalled there.
    /// Entry VMs to which an endpoint has sent something just now.
    std::unordered_map<VmId, std::size_t> heard_;
    std::map<ModelName, double> demand_; ///< Its requests a second by model, times their work.
    std::map<ServiceName, RepeatCounts> repeats_; ///< Of the last window.
    PoisonNews poison_;                           ///< Requests that end endpoints.
    std::vector<LimitUpdate> limits_;             ///< That endpoints named.
    std::vector<CooldownUpdate> cooldowns_;       ///< That endpoints named to it.
    bool isDraining_ = false;

    friend bool operator==(const LoadDigest &, const LoadDigest &) = default;
};

/// \brief An entry VM and where its datagrams arrive.
struct PeerSeat
{
    EntryId entry_;
    Address address_;
    AvailabilityZone zone_;
    EntryCapacity capacity_ = 0;

    friend bool operator==(const PeerSeat &, const PeerSeat &) = default;
};

/// \brief The news of several entry VMs, added up by one of them for the others.
struct LoadSummary
{
    LoadDigest sum_; ///< Sender in from_; tokens sent since since_.
    /// Counts are since this start of the sender; another one makes them incomparable.
    Incarnation since_;
    bool isOfZone_ = false;        ///< Of the sender's zone only, for the other zones.
    std::vector<PeerSeat> roster_; ///< Some of the entry VMs that it holds news of.
    /// RosterSums::total() of all that the sender knows; 0 if it does not say.
    std::uint64_t rosterTotal_ = 0;

    friend bool operator==(const LoadSummary &, const LoadSummary &) = default;
};

/// \brief An endpoint's new entry, or its end.
struct EndpointChange
{
    VmId id_;
    RowVersion version_;               ///< Of the entry in the platform's list.
    std::optional<Endpoint> endpoint_; ///< Nothing if it is no longer listed.

    friend bool operator==(const EndpointChange &, const EndpointChange &) = default;
};

/// \brief Changes of endpoints that a watching entry VM passes on.
struct EndpointRelay
{
    RowVersion after_;                    ///< For a reader that has at least this version.
    RowVersion to_;                       ///< It has this version then.
    std::vector<EndpointChange> changes_; ///< In the order of their versions.
};

/// \brief Endpoints that have just stalled at an entry VM, for those that may plan.
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
/// \returns nothing if \p text is no digest.
[[nodiscard]] std::optional<LoadDigest> decodeLoadDigest(std::string_view text);
/// \returns nothing if \p text is no summary.
[[nodiscard]] std::optional<LoadSummary> decodeLoadSummary(std::string_view text);
/// \returns nothing if \p text is no alarm.
[[nodiscard]] std::optional<SilenceAlarm> decodeSilenceAlarm(std::string_view text);
/// \returns nothing if \p text passes on no changes.
[[nodiscard]] std::optional<EndpointRelay> decodeEndpointRelay(std::string_view text);
/// \}

/// \brief Splits changes so that each message fits into a datagram of usual size.
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
