/// \file
/// \brief Watching of endpoint VMs by two entry VMs each.
/// \details Decides which endpoint VMs this entry VM probes, and for every endpoint VM what is
/// known and how old it is. Observations travel between entry VMs as ages; freshness lapses by
/// itself, so silence of an endpoint, of its watchers or of this process ends the use of a VM
/// without any event. It never decides which group serves. Guards promise 1 (no group serves with
/// a member missing) and promise 6 (no new work for leaving VMs).
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

/// \brief Counters of watching.
struct WatchCounters
{
    std::uint64_t probesSent_ = 0;
    std::uint64_t probesFailed_ = 0;
    std::uint64_t ownProbesForNeed_ = 0;
    std::uint64_t restartsSeen_ = 0;
    std::uint64_t summariesApplied_ = 0;
    std::uint64_t summariesRefused_ = 0; ///< Revision did not match; the whole set follows.
    std::uint64_t wholeSetsSent_ = 0;
};

/// \brief Watches endpoint VMs for one entry VM.
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
    /// \brief Told when the state of a VM changed in more than load, or a veto began or ended.
    using ChangeHandler = std::function<void(const VmId &)>;

    EndpointWatcher(Clock &clock, endpoint::EndpointOrders &orders, WatchSettings settings,
                    EntryId self);
    EndpointWatcher(const EndpointWatcher &) = delete;
    EndpointWatcher &operator=(const EndpointWatcher &) = delete;
    ~EndpointWatcher();

    /// \brief Begins to probe.
    void start();

    /// \name What to watch
    /// \{
    /// \brief The endpoint VMs by the platform's list (entry VMs in it are passed over).
    /// \param vms the list.
    /// \param age of the list; the vetoes in it are that old.
    void setVms(std::span<const platform::VmRecord> vms, Duration age = {});
    /// \brief The availability zones and their regions; zones of other regions are not watched.
    void setSites(std::span<const config::Site> sites);
    /// \brief The live entry VMs, self included. A VM is watched by those of its site, or by those
    /// of its region if the site has fewer than two.
    void setWatchers(std::span<const membership::MemberEntry> alive);
    /// \brief The entry VMs that watch \p vm, highest rank first.
    [[nodiscard]] const std::vector<EntryId> &watchersOf(const VmId &vm) const;
    /// \brief True if this entry VM is one of them.
    [[nodiscard]] bool isWatched(const VmId &vm) const { return own_.contains(vm); }
    /// \}

    /// \name Digests
    /// \{
    /// \brief Takes a peer's observations and vetoes; ages are counted from now.
    void merge(const membership::Digest &digest);
    /// \brief Adds observations and vetoes for the receiver of \p digest.
    void appendTo(membership::Digest &digest);
    /// \}

    /// \name What is known
    /// \{
    /// \brief The latest observation, fresh or not; null if there is none.
    [[nodiscard]] const Observation *observation(const VmId &vm) const;
    /// \brief Until when the observation may be used; the zero instant if there is none.
    [[nodiscard]] TimePoint freshUntil(const VmId &vm) const;
    [[nodiscard]] bool isFresh(const VmId &vm) const { return clock_.now() < freshUntil(vm); }
    /// \brief True if the VM answers, but much slower than others.
    [[nodiscard]] bool isStraggler(const VmId &vm) const;
    [[nodiscard]] const WatchCounters &counters() const { return counters_; }
    void onChange(ChangeHandler handler) { onChange_ = std::move(handler); }
    /// \brief Told when peers should hear at once; see Membership::flushSoon().
    void onUrgent(std::function<void()> handler) { onUrgent_ = std::move(handler); }
    /// \}

    /// \name Asking
    /// \{
    /// \brief Probes \p vm now, whoever watches it.
    void probeNow(const VmId &vm);
    /// \brief A router relies on \p vm: if its observation is about to lapse, this entry VM probes
    /// by itself. To be repeated while the VM is relied on.
    void need(const VmId &vm);
    /// \brief Watchers, outside \p scope, of VMs that are needed; see Membership::setExtraPeers().
    [[nodiscard]] std::vector<EntryId> neededPeers(std::span<const EntryId> scope) const;
    /// \}

    /// \name Leaving
    /// \{
    /// \brief Vetoes new work for \p vm and spreads it.
    void markLeaving(const VmId &vm);
    /// \brief Ends the veto, as an operator's undrain does.
    void clearLeaving(const VmId &vm);
    [[nodiscard]] bool isLeaving(const VmId &vm) const;
    [[nodiscard]] std::vector<VmId> leaving() const { return vetoes_.leaving(); }
    /// \}

private:
    struct Endpoint ///< One VM of the list.
    {
        platform::VmRecord record_;
        bool isListedLeaving_ = false;
    };
    struct OwnWatch ///< One VM probed regularly by this entry VM.
    {
        TimePoint nextProbeAt_{};
        Observation last_;                ///< Last answer to an own probe.
        Observation told_;                ///< What peers know at revision_.
        std::uint64_t revision_ = 0;      ///< Zero while the VM is not told.
        std::uint64_t stateRevision_ = 0; ///< Last revision that changed more than the load.
    };
    struct Removal
    {
        std::uint64_t revision_ = 0;
        VmId vm_;
        TimePoint goneAt_{}; ///< Zero if the VM was merely silent.
    };
    struct Latency
    {
        Duration average_{};
        TimePoint sentAt_{};     ///< Of the last probe.
        bool isPending_ = false; ///< It is under way.
    };
    struct PeerSet ///< The set of VMs a peer reports.
    {
        std::uint64_t revision_ = 0;
        std::map<VmId, Observation> rows_;
        std::uint64_t acknowledged_ = 0; ///< Revision of the own set that the peer has.
    };

    [[nodiscard]] Duration periodOf(const OwnWatch &watch) const;
    void scheduleTick();
    void tick();
    void probeNeeded();
    void applyRows(PeerSet &set, const membership::Digest &digest);
    void urgent();
    void rebuildOwn();
    [[nodiscard]] const std::vector<EntryId> &candidatesFor(const AvailabilityZone &zone) const;
    void probe(const VmId &vm);
    void answered(const VmId &vm, TimePoint sentAt, const endpoint::EndpointState &state);
    void failed(const VmId &vm, TimePoint sentAt, const Result<endpoint::EndpointState> &result);
    void noteOwn(OwnWatch &watch, const Observation &observation);
    void removeRow(const VmId &vm, OwnWatch &watch, TimePoint goneAt = {});
    void appendRow(membership::Digest &digest, const VmId &vm, const OwnWatch &watch) const;
    void appendRemovals(membership::Digest &digest, bool isKnown) const;
    void noteGone(const VmId &vm, TimePoint when);
    void removeLateRows();
    void consider(const VmId &vm, const Observation &candidate);
    void liftIfReplaced(const VmId &vm);
    void noteLatency(const VmId &vm, Duration latency);
    void updateMedian();
    [[nodiscard]] bool isSlow(const VmId &vm) const;
    [[nodiscard]] bool isInOwnRegion(const AvailabilityZone &zone) const;
    [[nodiscard]] bool isWorthTelling(const Observation &now, const Observation &told) const;
    void changed(const VmId &vm);

    Clock &clock_;
    endpoint::EndpointOrders &orders_;
    WatchSettings settings_;
    EntryId self_;
    std::map<VmId, Endpoint> endpoints_;
    std::map<AvailabilityZone, RegionName> regions_;
    std::vector<EntryId> everyone_; ///< Live entry VMs.
    std::map<AvailabilityZone, std::vector<EntryId>> bySite_;
    std::map<RegionName, std::vector<EntryId>> byRegion_;
    std::optional<RegionName> ownRegion_;
    mutable std::unordered_map<VmId, std::vector<EntryId>> choices_; ///< Of watchersOf().
    std::map<VmId, OwnWatch> own_;
    std::deque<Removal> removals_;
    std::uint64_t revision_ = 0;
    std::uint64_t removalFloor_ = 0; ///< Changes up to here cannot be told one by one.
    std::map<EntryId, PeerSet> peerSets_;
    std::unordered_map<VmId, Observation> best_;
    std::unordered_map<VmId, TimePoint> gone_; ///< When a VM last refused a connection.
    std::unordered_map<VmId, Latency> latencies_;
    std::map<VmId, TimePoint> needed_;
    Duration medianLatency_{};
    TimePoint listTakenAt_{};
    TimePoint nextMedianAt_{};
    TimePoint nextTickAt_{};
    TimePoint wokeAt_{};
    VetoTable vetoes_;
    ChangeHandler onChange_;
    std::function<void()> onUrgent_;
    WatchCounters counters_;
    TimerId timer_ = TimerId::None;
    std::shared_ptr<bool> alive_; ///< Guards answers that arrive after destruction.
};

} // namespace cardamombay::watching
