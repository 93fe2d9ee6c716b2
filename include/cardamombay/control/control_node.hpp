/// \file
/// \brief The control side of one entry VM.
/// \details Owns configuration, membership, watching, leases, groups and claims, and builds the
/// routing snapshot. Events, time and I/O are injected through interfaces, so that a daemon can run
/// one node and a test or benchmark many in one process. Single-threaded.
#pragma once

#include <cardamombay/claims/claim_expiry.hpp>
#include <cardamombay/claims/claim_registry.hpp>
#include <cardamombay/config/config_agent.hpp>
#include <cardamombay/config/config_store.hpp>
#include <cardamombay/control/config_peers.hpp>
#include <cardamombay/control/control_settings.hpp>
#include <cardamombay/control/node_charts.hpp>
#include <cardamombay/control/peer_reports.hpp>
#include <cardamombay/control/vm_list_poller.hpp>
#include <cardamombay/control/zone_planner.hpp>
#include <cardamombay/core/decision_log.hpp>
#include <cardamombay/endpoint/endpoint_orders.hpp>
#include <cardamombay/groups/group_cache.hpp>
#include <cardamombay/membership/membership.hpp>
#include <cardamombay/membership/peer_transport.hpp>
#include <cardamombay/platform/object_store.hpp>
#include <cardamombay/platform/paced_table_store.hpp>
#include <cardamombay/platform/table_store.hpp>
#include <cardamombay/platform/vm_directory.hpp>
#include <cardamombay/routing/routing_snapshot.hpp>
#include <cardamombay/watching/endpoint_watcher.hpp>

#include <functional>

namespace cardamombay::control {

/// \brief External interfaces that a control node uses.
struct ControlLinks
{
    Clock &clock_;
    membership::PeerTransport &peers_;
    ConfigPeers &configPeers_;
    platform::TableStore &table_;
    platform::ObjectStore &objects_;
    platform::VmDirectory &directory_;
    endpoint::EndpointOrders &orders_;
    DecisionSink &decisions_;
};

/// \brief One control node.
/// \code
/// ControlNode node(links, settings, charts);
/// node.onSnapshot([&](routing::RoutingSnapshotPtr snapshot) { holder.publish(snapshot); });
/// node.start();
/// \endcode
class ControlNode
{
public:
    using SnapshotSink = std::function<void(routing::RoutingSnapshotPtr)>;

    ControlNode(ControlLinks links, ControlSettings settings, const NodeCharts &charts);
    ControlNode(const ControlNode &) = delete;
    ControlNode &operator=(const ControlNode &) = delete;
    ~ControlNode();

    /// \name Lifecycle
    /// \{
    void start();
    /// \brief Announces to peers that this entry VM is draining and releases its leases.
    void drain();
    /// \brief True once a drain has released every lease.
    [[nodiscard]] bool isDrained() const { return planner_.isReleased(); }
    /// \brief Announces to peers that this entry VM has left.
    void leave() { membership_.leave(); }
    /// \}

    /// \name Events
    /// \{
    /// \brief Processes the digest of a peer and returns the reply.
    [[nodiscard]] membership::Digest handle(const membership::Digest &incoming);
    /// \brief Sets demand and in-flight requests of this entry VM, replacing the previous report.
    void setTraffic(std::vector<routing::DemandReport> demand,
                    std::vector<membership::InFlightEntry> inFlight);
    /// \brief Drains an endpoint VM for an operator: it gets no new work and its group is
    /// relocated.
    void drainVm(const VmId &vm) { watcher_.markLeaving(vm); }
    /// \brief Cancels the drain of an endpoint VM.
    void undrainVm(const VmId &vm) { watcher_.clearLeaving(vm); }
    /// \brief Sets the callback that receives every new routing snapshot.
    void onSnapshot(SnapshotSink sink) { sink_ = std::move(sink); }
    /// \}

    /// \name Components, for status pages, claims and tests
    /// \{
    [[nodiscard]] claims::ClaimRegistry &claims() { return claims_; }
    [[nodiscard]] config::ConfigAgent &configuration() { return config_; }
    [[nodiscard]] const config::ConfigAgent &configuration() const { return config_; }
    [[nodiscard]] const membership::Membership &membership() const { return membership_; }
    [[nodiscard]] const watching::EndpointWatcher &watcher() const { return watcher_; }
    [[nodiscard]] const groups::GroupCache &groupCache() const { return groupCache_; }
    [[nodiscard]] const ZonePlanner &planner() const { return planner_; }
    [[nodiscard]] const VmRecords &vms() const { return vms_; }
    [[nodiscard]] const ControlSettings &settings() const { return settings_; }
    [[nodiscard]] const routing::RoutingSnapshotPtr &snapshot() const { return snapshot_; }
    [[nodiscard]] TimePoint startedAt() const { return startedAt_; }
    [[nodiscard]] TimePoint now() const { return clock_.now(); }
    /// \brief In-flight requests of this entry VM by group, as last reported.
    [[nodiscard]] const std::vector<membership::InFlightEntry> &inFlight() const
    {
        return inFlight_;
    }
    [[nodiscard]] bool isStoreReachable() const { return store_.isReachable(); }
    /// \}

private:
    /// Adapts the watcher to the planner's view of VMs.
    class WatcherView final : public groups::VmView
    {
    public:
        explicit WatcherView(const watching::EndpointWatcher &watcher)
            : watcher_(watcher)
        {
        }
        [[nodiscard]] groups::VmObservation observe(const VmId &vm) const override;

    private:
        const watching::EndpointWatcher &watcher_;
    };

    /// Adapts membership to the liveness check of claims.
    class MemberLiveness final : public claims::EntryLiveness
    {
    public:
        explicit MemberLiveness(const membership::Membership &membership)
            : membership_(membership)
        {
        }
        [[nodiscard]] bool isAlive(const EntryId &entry, Incarnation incarnation) const override;

    private:
        const membership::Membership &membership_;
    };

    void connect();
    void applyVmList();
    void applyMembers();
    void applyConfiguration();
    void fillDigest(membership::Digest &digest);
    void mergeDigest(const membership::Digest &digest);
    void tickSnapshot();
    void tickPlan();
    void publish();
    void requestDemandedVms();
    void requestOwnZoneVms(const routing::SnapshotService &service);
    void requestRemoteZoneVms(const routing::SnapshotService &service);
    [[nodiscard]] bool isDemanded(const ServiceName &service) const;
    [[nodiscard]] bool isMissingVm() const;
    [[nodiscard]] bool isPoller() const;

    void fetchFromPeers(ConfigVersion atLeast, Callback<std::string> done);

    ControlSettings settings_;
    Clock &clock_;
    ConfigPeers &configPeers_;
    Random random_;
    platform::PacedTableStore store_;
    membership::Membership membership_;
    watching::EndpointWatcher watcher_;
    groups::GroupCache groupCache_;
    config::ConfigStore configStore_;
    config::ConfigAgent config_;
    VmListPoller list_;
    ZonePlanner planner_;
    claims::ClaimRegistry claims_;
    claims::ClaimExpiry claimExpiry_;
    WatcherView view_;
    MemberLiveness liveness_;
    PeerReports reports_;
    VmRecords vms_;
    std::vector<routing::DemandReport> demand_;
    std::vector<membership::InFlightEntry> inFlight_;
    std::uint64_t sequence_ = 0;
    routing::RoutingSnapshotPtr snapshot_;
    SnapshotSink sink_;
    TimePoint startedAt_{};
    TimerId snapshotTimer_ = TimerId::None;
    TimerId planTimer_ = TimerId::None;
};

} // namespace cardamombay::control
