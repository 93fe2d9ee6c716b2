/// \file
/// \brief Health monitoring of endpoint VMs, each by two entry VMs.
/// \details Selects the endpoint VMs this entry VM probes, and keeps the latest observation of
/// every endpoint VM with its age. Entry VMs exchange observations with ages instead of timestamps.
/// An observation expires after the freshness window, so a VM falls out of use without any event
/// when the endpoint, its watchers or this process stop responding. This ensures that no group
/// serves with a member missing and that leaving VMs get no new work; which group serves is decided
/// elsewhere.
#pragma once

#include <cardamombay/config/configuration.hpp>
#include <cardamombay/core/clock.hpp>
#include <cardamombay/endpoint/endpoint_orders.hpp>
#include <cardamombay/membership/digest.hpp>
#include <cardamombay/platform/vm_directory.hpp>
#include <cardamombay/watching/observation.hpp>
#include <cardamombay/watching/veto_table.hpp>
#include <cardamombay/watching/watch_settings.hpp>

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <span>
#include <unordered_map>
#include <vector>

namespace cardamombay::watching {

/// \brief Counters of EndpointWatcher.
struct WatchCounters
{
    std::uint64_t probesSent_ = 0;
    std::uint64_t probesFailed_ = 0;
    std::uint64_t probesOfNeededVms_ = 0;
    std::uint64_t restartsObserved_ = 0;
    std::uint64_t summariesApplied_ = 0;
    std::uint64_t summariesRejected_ = 0; ///< Revision mismatch; the full set follows.
    std::uint64_t fullSetsSent_ = 0;
};

/// \brief Monitors endpoint VMs on behalf of one entry VM.
/// \code
/// EndpointWatcher watcher(clock, orders, settings, self);
/// watcher.setSites(configuration->sites_);
/// watcher.setWatchers(membership.aliveMembers());
/// watcher.setVms(list.vms_, list.age_);
/// watcher.start();
/// if (clock.now() < watcher.freshUntil(vm)) { ... }
/// \endcode
class EndpointWatcher
{
public:
    /// \brief Called when the state of a VM other than its load changes, or a veto begins or ends.
    using ChangeHandler = std::function<void(const VmId &)>;

    EndpointWatcher(Clock &clock, endpoint::EndpointOrders &orders, WatchSettings settings,
                    EntryId self);
    EndpointWatcher(const EndpointWatcher &) = delete;
    EndpointWatcher &operator=(const EndpointWatcher &) = delete;
    ~EndpointWatcher();

    /// \brief Starts probing.
    void start();

    /// \name Targets and watchers
    /// \{
    /// \brief Sets the endpoint VMs from the platform's VM list; a list older than the last one and
    /// the entry VMs in the list are ignored.
    /// \param vms the list.
    /// \param age age of the list.
    void setVms(std::span<const platform::VmRecord> vms, Duration age = {});
    /// \brief Sets the regions of the availability zones; VMs of other regions are not watched.
    void setSites(std::span<const config::Site> sites);
    /// \brief Sets the live entry VMs, including self. A VM is watched by entry VMs of its site, or
    /// of its region if the site has fewer than WatchSettings::watchersPerVm_.
    void setWatchers(std::span<const membership::MemberEntry> alive);
    /// \brief The entry VMs that watch \p vm, highest rank first.
    [[nodiscard]] const std::vector<EntryId> &watchersOf(const VmId &vm) const;
    /// \brief True if this entry VM watches \p vm.
    [[nodiscard]] bool isWatched(const VmId &vm) const { return watched_.contains(vm); }
    /// \}

    /// \name Digests
    /// \{
    /// \brief Merges a peer's observations and vetoes; ages are relative to the current time.
    void merge(const membership::Digest &digest);
    /// \brief Adds observations and vetoes for the receiver of \p digest.
    void appendTo(membership::Digest &digest);
    /// \}

    /// \name State
    /// \{
    /// \brief The latest observation, fresh or not; null if there is none.
    [[nodiscard]] const Observation *observation(const VmId &vm) const;
    /// \brief Expiry of the observation; the zero instant if there is none, or if the VM has since
    /// refused a connection or been replaced by another VM.
    [[nodiscard]] TimePoint freshUntil(const VmId &vm) const;
    [[nodiscard]] bool isFresh(const VmId &vm) const { return clock_.now() < freshUntil(vm); }
    /// \brief True if the VM answers much more slowly than the others.
    [[nodiscard]] bool isStraggler(const VmId &vm) const;
    [[nodiscard]] const WatchCounters &counters() const { return counters_; }
    void onChange(ChangeHandler handler) { onChange_ = std::move(handler); }
    /// \brief Sets the handler for changes to be sent to peers at once; see
    /// Membership::flushSoon().
    void onUrgent(std::function<void()> handler) { onUrgent_ = std::move(handler); }
    /// \}

    /// \name Probes on demand
    /// \{
    /// \brief Probes \p vm now, even if other entry VMs watch it.
    void probeNow(const VmId &vm);
    /// \brief Keeps \p vm fresh for a router: if its observation is about to expire, this entry VM
    /// probes it. Applies for WatchSettings::needDuration_ after each call.
    void need(const VmId &vm);
    /// \brief Watchers of needed VMs of which no watcher is in \p scope; see
    /// Membership::setExtraPeers().
    [[nodiscard]] std::vector<EntryId> neededPeers(std::span<const EntryId> scope) const;
    /// \}

    /// \name Leaving
    /// \{
    /// \brief Vetoes new work for \p vm and sends the veto to peers.
    void markLeaving(const VmId &vm);
    /// \brief Lifts the veto, for example when an operator undrains the VM.
    void clearLeaving(const VmId &vm);
    [[nodiscard]] bool isLeaving(const VmId &vm) const;
    [[nodiscard]] std::vector<VmId> leaving() const { return vetoes_.leaving(); }
    /// \}

private:
    struct Endpoint ///< An endpoint VM of the VM list.
    {
        platform::VmRecord record_;
        bool isListedLeaving_ = false;
    };
    struct WatchedVm ///< An endpoint VM probed periodically by this entry VM.
    {
        TimePoint nextProbeAt_{};
        Observation last_;                ///< Last answer to a probe of this entry VM.
        Observation announced_;           ///< Observation reported to peers at revision_.
        std::uint64_t revision_ = 0;      ///< Zero while the VM is not reported to peers.
        std::uint64_t stateRevision_ = 0; ///< Last revision that changed more than the load.
    };
    struct Removal
    {
        std::uint64_t revision_ = 0;
        VmId vm_;
        TimePoint goneAt_{}; ///< When the VM was found gone, see GoneEntry; zero if not.
    };
    struct Latency
    {
        Duration average_{};
        TimePoint sentAt_{};     ///< Of the last probe.
        bool isPending_ = false; ///< The last probe is unanswered.
    };
    struct PeerSet ///< The set of VMs reported by a peer.
    {
        std::uint64_t revision_ = 0;
        std::map<VmId, Observation> rows_;
        std::uint64_t acknowledged_ = 0; ///< Revision of the own set acknowledged by the peer.
    };

    [[nodiscard]] Duration periodOf(const WatchedVm &watch) const;
    void scheduleTick();
    void tick();
    void probeNeeded();
    void applyRows(PeerSet &set, const membership::Digest &digest);
    void notifyUrgent();
    void rebuildWatched();
    [[nodiscard]] const std::vector<EntryId> &candidatesFor(const AvailabilityZone &zone) const;
    void probe(const VmId &vm);
    void onProbeAnswered(const VmId &vm, TimePoint sentAt, const endpoint::EndpointState &state);
    void onProbeFailed(const VmId &vm, TimePoint sentAt,
                       const Result<endpoint::EndpointState> &result);
    void recordOwnObservation(WatchedVm &watch, const Observation &observation);
    void removeRow(const VmId &vm, WatchedVm &watch, TimePoint goneAt = {});
    void appendRow(membership::Digest &digest, const VmId &vm, const WatchedVm &watch) const;
    void appendRemovals(membership::Digest &digest, bool isIncremental) const;
    void recordGone(const VmId &vm, TimePoint when);
    void removeStaleRows();
    void applyObservation(const VmId &vm, const Observation &candidate);
    void liftIfReplaced(const VmId &vm);
    void recordLatency(const VmId &vm, Duration latency);
    void updateMedian();
    [[nodiscard]] bool isSlow(const VmId &vm) const;
    [[nodiscard]] bool isInOwnRegion(const AvailabilityZone &zone) const;
    [[nodiscard]] bool needsAnnouncement(const Observation &now,
                                         const Observation &announced) const;
    void notifyChanged(const VmId &vm);

    Clock &clock_;
    endpoint::EndpointOrders &orders_;
    WatchSettings settings_;
    EntryId self_;
    std::map<VmId, Endpoint> endpoints_;
    std::map<AvailabilityZone, RegionName> regions_;
    std::vector<EntryId> liveEntries_;
    std::map<AvailabilityZone, std::vector<EntryId>> entriesBySite_;
    std::map<RegionName, std::vector<EntryId>> entriesByRegion_;
    std::optional<RegionName> ownRegion_;
    mutable std::unordered_map<VmId, std::vector<EntryId>> watcherCache_; ///< For watchersOf().
    std::map<VmId, WatchedVm> watched_;
    std::deque<Removal> removals_;
    std::uint64_t revision_ = 0;
    std::uint64_t removalFloor_ = 0; ///< Peers at earlier revisions need the full set.
    std::map<EntryId, PeerSet> peerSets_;
    std::unordered_map<VmId, Observation> latest_;
    std::unordered_map<VmId, TimePoint> gone_; ///< When a VM last refused a connection or was
                                               ///< found replaced by another VM.
    std::unordered_map<VmId, Latency> latencies_;
    std::map<VmId, TimePoint> needed_;
    Duration medianLatency_{};
    TimePoint listTakenAt_{};
    TimePoint nextMedianAt_{};
    TimePoint nextTickAt_{};
    TimePoint resumedAt_{};
    VetoTable vetoes_;
    ChangeHandler onChange_;
    std::function<void()> onUrgent_;
    WatchCounters counters_;
    TimerId timer_ = TimerId::None;
    std::shared_ptr<bool> alive_; ///< Expires on destruction, so that late answers are ignored.
};

} // namespace cardamombay::watching
