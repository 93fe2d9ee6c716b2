/// \file
/// \brief Control plane of one entry VM: its state of the store, its peers and the endpoints.
/// \details Feeds the gateway with the configuration, the endpoints and the peers' load, and runs
/// the planner periodically. Decides whether the entry VM is ready for callers. Runs on one thread.
#pragma once

#include <cardamombay/serving/avoidance_log.hpp>
#include <cardamombay/serving/change_history.hpp>
#include <cardamombay/serving/configuration_exchange.hpp>
#include <cardamombay/serving/digest_hub.hpp>
#include <cardamombay/serving/evacuations.hpp>
#include <cardamombay/serving/fleet_size.hpp>
#include <cardamombay/serving/gateway.hpp>
#include <cardamombay/serving/peer_digests.hpp>
#include <cardamombay/serving/propagation_budget.hpp>
#include <cardamombay/serving/quota_history.hpp>
#include <cardamombay/serving/replica_manager.hpp>
#include <cardamombay/serving/reporters.hpp>
#include <cardamombay/serving/roster.hpp>
#include <cardamombay/serving/store_format.hpp>
#include <cardamombay/serving/store_watch.hpp>

#include <set>

namespace cardamombay::serving {

/// \brief Identity and resources of a node.
struct NodeSettings
{
    EntryId entry_;
    AvailabilityZone zone_;
    Incarnation incarnation_;
    Address digests_;           ///< Address at which peers' datagrams arrive.
    bool isFirstStart_ = false; ///< True at the first start of the whole system.
    double cores_ = 1;
    double linkMegabits_ = 1000; ///< Bandwidth of its network link, Mbit/s.
    /// Upper bound on the time until all entry VMs know of a leaving endpoint or a new
    /// configuration.
    Duration propagationBound_ = std::chrono::seconds(2);

    [[nodiscard]] EntryCapacity capacity() const { return cores_ * linkMegabits_; }
};

/// \brief Dependencies of a node; all must outlive it.
struct NodeParts
{
    Clock &clock_;
    platform::TableStore &store_;
    platform::ChangeFeed &feed_;
    const StoreFormat &format_;
    DatagramChannel &datagrams_;
    leases::LeaseKeeper &lease_;
    EndpointRegistry &endpointRegistry_;
    LoadTracker &loadTracker_;
    Gateway &gateway_;
    ReplicaManager &manager_;
};

/// \brief Control plane of one entry VM.
class Node final : public WatchListener
{
public:
    Node(NodeParts parts, NodeSettings settings);
    ~Node() override;

    void start();

    /// \brief Sets the function to call with each configuration that takes effect.
    void onConfiguration(std::function<void(const Configuration &)> action)
    {
        configurationHandler_ = std::move(action);
    }

    /// \brief Shuts down: notifies the peers and releases the lease.
    void leave();
    [[nodiscard]] bool hasLeft() const { return isLeaving_ && parts_.lease_.isReleased(); }

    /// \brief True if callers may be sent to this entry VM.
    [[nodiscard]] bool isReady() const;

    /// \brief Number of known peers, not counting this entry VM.
    [[nodiscard]] std::size_t peerCount() const { return peers_.size(); }

    /// \name WatchListener
    /// \{
    void tableListed(const std::string &table, const std::vector<platform::Row> &rows) override;
    void rowChanged(const platform::RowChange &change) override;
    void changesArrived(const std::string &table, RowVersion after, RowVersion to) override;
    void tableConfirmed(const std::string &table, TimePoint asOf) override;
    void storeReachable(const std::string &table, bool isReachable) override;
    /// \}

private:
    void applyConfiguration(std::string_view text, RowVersion row);
    void reportReadability();
    void onConfigurationPart(const ConfigurationPart &part);
    void operatorsListed(const std::vector<platform::Row> &rows);
    void operatorRowChanged(const platform::RowChange &change);
    void evacuationsChanged(const std::set<AvailabilityZone> &before, std::string_view source);
    void zoneEvacuated(const AvailabilityZone &zone, std::string_view source) const;
    void zoneReturned(const AvailabilityZone &zone, std::string_view source);
    void applyRelayedConfiguration(const RelayState &relay, const Address &source, TimePoint now);
    void endpointsListed(const std::vector<platform::Row> &rows);
    void applyEndpointRow(const platform::RowChange &change);
    [[nodiscard]] std::optional<Endpoint> readEndpoint(const platform::Row &row);
    void mergeKnownState(Endpoint &endpoint) const;
    void endpointRestarted(const Endpoint &before);
    void endpointChanged(const EndpointChange &change, std::string_view source);
    void logLeaving(const EndpointChange &change, std::string_view source) const;
    [[nodiscard]] Duration viewAge() const;
    void onEndpointRelay(const EndpointRelay &relay);
    [[nodiscard]] bool shouldLog(const Endpoint *known, const Endpoint &now) const;
    void readQuarantines();
    void quarantinesListed(const std::vector<platform::Row> &rows);
    void syncQuarantines(TimePoint now);
    void applyPeerRow(const platform::RowChange &change);
    void noteStoreAnswer(TimePoint asOf);
    [[nodiscard]] StoreTimeline timelineOf(const std::string &table) const;
    void noteTimeline(StoreTimeline timeline, std::string_view source);
    void storeRestored(StoreTimeline before, std::string_view source);
    [[nodiscard]] bool isSettling(TimePoint now) const { return now < settledAt_; }
    void updateLearning();
    void announce();
    [[nodiscard]] std::string peerRow() const;
    [[nodiscard]] bool isStandingBy(TimePoint now) const;
    void tickFast();
    void checkViewAge(TimePoint now);
    void logEndpoints(TimePoint now);
    void startLease(TimePoint now);
    void tickPlan();
    void sendSilenceAlarm();
    void reportUrgent();
    void reportLostPaths();
    void notePartitioned(const LoadDigest &digest, TimePoint now);
    void expirePartitions(TimePoint now);
    void partitionsChanged();
    void dropPartitioned(std::vector<EntryId> &entries) const;
    void onSilenceAlarm(const SilenceAlarm &alarm);
    void tickDigest();
    [[nodiscard]] LoadDigest ownDigest(TimePoint now);
    void broadcast(const LoadDigest &digest);
    void report(TimePoint now);
    void setReporter(const std::optional<EntryId> &reporter, bool isNeeded);
    void sendSums(TimePoint now);
    void pagePartitioned(LoadDigest &sum) const;
    [[nodiscard]] std::vector<PeerInfo> rosterPageOf(std::vector<PeerInfo> roster) const;
    void onDatagram(std::string_view text);
    bool meet(const PeerInfo &peerInfo, TimePoint now);
    void onDigest(LoadDigest digest);
    void onSummary(LoadSummary summary);
    void recordLoad(const EntryId &from, LoadDigest sum, std::size_t entries, TimePoint now);
    [[nodiscard]] std::size_t entriesIn(const AvailabilityZone &zone) const;
    [[nodiscard]] std::map<ServiceName, RetryCounts> peerRetries() const;
    [[nodiscard]] TimePoint oldestPeerRetries(TimePoint now) const;
    void updateReservePart(TimePoint now);
    [[nodiscard]] double ownReservePart() const;
    void recoverQuota(TimePoint now);
    void askForQuotaReport();
    void onQuotaReportRequest(const QuotaReportRequest &request);
    void onQuotaReportAnswer(const QuotaReportAnswer &answer);
    [[nodiscard]] bool hasUnreportedRetries() const;
    [[nodiscard]] std::optional<QuotaReport> dueQuotaReport(TimePoint now);
    void peerLeft(const EntryId &entry, TimePoint now);
    [[nodiscard]] std::vector<Address> relayTargets() const;
    void sendRelay(EndpointRelay relay, const std::vector<Address> &targets);
    void applyRelayState(const RelayState &relay, const Address &source, TimePoint now);
    void applyRelayedEndpoints(const RelayState &relay, TimePoint now);
    void addTransitTime(LoadDigest &digest, TimePoint now);
    void onClockQuestion(const ClockQuestion &question);
    void chooseWatches(TimePoint now);
    [[nodiscard]] Duration ownWatchDelay() const;
    void setPropagationBudget(bool hasReporters);
    [[nodiscard]] RelayState relayState(TimePoint now) const;
    void peersChanged();
    void markPeersChanged();
    [[nodiscard]] std::vector<PeerInfo> rosterOf(const AvailabilityZone &zone) const;
    [[nodiscard]] const RosterSums &rosterSums(const AvailabilityZone &zone);
    [[nodiscard]] std::vector<PeerInfo> authoritativeRoster(const AvailabilityZone &zone,
                                                            TimePoint now) const;
    [[nodiscard]] bool isRosterAuthority(TimePoint now) const;
    [[nodiscard]] std::uint64_t authoritativeTotal(const AvailabilityZone &zone,
                                                   TimePoint now) const;
    [[nodiscard]] bool isRosterSource(const EntryId &from, const AvailabilityZone &zone) const;
    void compareRoster(const LoadSummary &summary, TimePoint now);
    void onRosterQuestion(const RosterQuestion &question);
    void onRosterAnswer(const RosterAnswer &answer);
    void applyBucket(const RosterBucket &bucket, const AvailabilityZone &zone, TimePoint now);
    void relistPeersIfDue(TimePoint now);
    void peersListed(const std::vector<platform::Row> &rows);
    [[nodiscard]] static std::optional<PeerInfo> peerInfoIn(const platform::Row &row);
    void probeLostPeer(TimePoint now);
    [[nodiscard]] LoadDigest emptyDigest(TimePoint now) const;
    void dropSilentPeers(TimePoint now);
    [[nodiscard]] std::map<ModelName, double> fleetDemand() const;
    void takeDemand();
    void repeat(Duration period, void (Node::*step)());

    struct Peer
    {
        Address address_;
        AvailabilityZone zone_;
        EntryCapacity capacity_ = 0;
        std::map<ModelName, double> demand_;         ///< Received directly from the peer.
        std::map<ServiceName, RetryCounts> retries_; ///< Received directly from the peer.
        overload::FleetDemand overload_;             ///< Received directly from the peer.
        TimePoint overloadAt_{};
        TimePoint heardAt_{};
    };
    struct OverloadFigures
    {
        overload::FleetDemand demand_;
        std::optional<TimePoint> at_; ///< When the newest part was received.
    };
    [[nodiscard]] OverloadFigures peerOverload(TimePoint now) const;
    void updateOverload(TimePoint now, Duration passed);
    void logAvoidedEndpoints(TimePoint now);
    void logIgnoredReports(const EntryId &from, std::size_t reports);
    [[nodiscard]] bool namesTeams() const;
    [[nodiscard]] TimePoint lastConfirmedAt(const Peer &peer) const;

    /// Progress of comparing the known peers with those of another entry VM.
    struct RosterComparison
    {
        TimePoint confirmedAt_{}; ///< When the other side last had the same peers.
        std::optional<TimePoint> differsSince_;
        TimePoint askedAt_{};
    };
    /// Load of several peers, received in one sum from a reporter.
    struct Sum
    {
        std::map<ModelName, double> demand_;
        std::map<ServiceName, RetryCounts> retries_;
        overload::FleetDemand overload_;
        TimePoint at_{};
    };

    /// Rows of quarantined requests: the key is the fingerprint, the value lists the endpoints that
    /// ended.
    static constexpr auto quarantineTable = "quarantine";
    /// Entry VMs that start together have all written their rows by then; later ones announce
    /// themselves by their digests.
    static constexpr Duration startupPeriod = std::chrono::milliseconds(700);
    /// Endpoints whose entries lapsed while the store was unavailable write them again within about
    /// two seconds.
    static constexpr Duration absenceGracePeriod = std::chrono::milliseconds(1900);

    /// Minimum interval between reports when endpoints end in quick succession. A failing domain
    /// ends dozens within a few milliseconds; a reporter that sent sums to all members for each
    /// would saturate its link.
    static constexpr Duration minReportInterval = std::chrono::milliseconds(40);

    NodeParts parts_;
    NodeSettings settings_;
    /// Time limit of each step in which a change of the store spreads.
    PropagationBudget propagationBudget_;
    StoreWatch configurationWatch_;
    StoreWatch endpointWatch_;
    StoreWatch peerWatch_;
    StoreWatch quarantineWatch_;
    std::function<void(const Configuration &)> configurationHandler_;
    std::map<EntryId, Peer> peers_;
    std::map<EntryId, TimePoint> leftAt_;
    FleetSize fleetSize_; ///< Entry VMs that may have a part of the reserve of retries.
    TimePoint fleetSizeAt_{};
    QuotaHistory quotaHistory_; ///< What processes of peers have spent.
    QuotaRecovery quotaRecovery_;
    double inheritedReservePart_ = 0; ///< Of the previous process, if it has told.
    TimePoint quotaReportedAt_{};
    PeerClocks clocks_;
    SendBudget sendBudget_; ///< Bandwidth limit for data relayed to peers.
    ConfigurationExchange exchange_;
    Evacuations evacuations_;
    ChangeHistory history_;    ///< Recent changes of endpoints.
    RowVersion listedVersion_; ///< Version of the newest change of an endpoint that was applied.
    DigestHub hub_;
    FleetReader fleet_;
    Reporters reporters_;
    std::optional<EntryId> reporter_; ///< Destination of digests; none if they go to all peers or
                                      ///< this entry VM is the reporter.
    /// By zone; the empty zone stands for the whole fleet.
    std::map<AvailabilityZone, RosterComparison> rosterComparisons_;
    /// Hashes of the current peers, computed on demand.
    std::map<AvailabilityZone, RosterSums> rosterSums_;
    bool havePeersChanged_ = false; ///< The peers have changed since duties were last assigned.
    TimePoint reportsSince_{};      ///< When the current reporter, or the lack of one, was set.
    /// The fleet is too large for every entry VM to send digests to every other.
    bool hasReporters_ = false;
    LoadDigest lastDigest_; ///< The last digest sent.
    std::map<EntryId, Sum> sums_;
    AvoidanceLog avoidanceLog_;
    std::vector<EntryId> planners_; ///< Entry VMs that may hold the planner's lease.
    /// Stalled endpoints that the planners have been alerted to.
    std::vector<VmId> alarmedEndpoints_;
    std::size_t sumsSent_ = 0;
    std::size_t maxPeers_ = 0;  ///< Maximum since the peers were last listed.
    TimePoint peersListedAt_{}; ///< Last listing, not counting the one at the start.
    /// Known peers before the loss that led to the repeated listing in progress; 0 if there is
    /// none.
    std::size_t relistedFrom_ = 0;
    /// Listed entry VMs that were not heard since this one lost them.
    std::vector<PeerInfo> lostPeers_;
    TimePoint probedAt_{};
    std::size_t probesSent_ = 0;
    ConfirmationTracker configurationTracker_;
    ConfirmationTracker endpointTracker_;
    std::size_t dutyPosition_ = 0; ///< Position of this entry VM among all, in the order of duties.
    std::optional<std::uint32_t> rank_; ///< Position among the entry VMs that watch the store for
                                        ///< all; none if it is not one of them.
    /// Last message from an entry VM that confirms data of the store.
    TimePoint relayReceivedAt_{};
    TimePoint configQueriedAt_{}; ///< Last query to the store for a version that a peer has.
    RowVersion peerVersion_;      ///< Version of the newest change of an endpoint that a peer has.
    TimePoint behindSince_{};     ///< When changes were first found missing; the epoch if none are.
    TimePoint storeAnsweredAt_{}; ///< Latest known answer of the store to any entry VM.
    std::optional<StoreTimeline> timeline_; ///< Latest known timeline of the store.
    std::size_t rejectedTimelines_ = 0;
    /// Until then the store may lack rows that were written before it was restored.
    TimePoint settledAt_{};
    bool isNewestUnreadable_ = false; ///< The store's configuration cannot be read.
    TimePoint startedAt_{};
    /// When the lease was acquired; the current time while it is not held.
    TimePoint leaseHeldSince_{};
    TimePoint standbyUntil_{}; ///< Until then this entry VM does not compete for the lease.
    std::map<ModelName, double> ownDemand_; ///< Smoothed demand here, in groups' worth of work.
    TimePoint demandAt_{};
    std::uint64_t digestsSent_ = 0;
    bool hasUnreportedCrash_ = false; ///< An endpoint ended here since the last report.
    bool isLossReported_ = false;     ///< The last digest inquired about unreachable endpoints.
    /// Entry VMs that have lost their paths to endpoints, and when a digest or sum last said so.
    std::map<EntryId, TimePoint> partitionedAt_;
    bool wasPartitioned_ = false; ///< This entry VM had lost its paths at the last digest.
    TimePoint reportedAt_{};
    /// Quarantines in the store, as far as this entry VM knows; the planner maintains them.
    std::set<RequestFingerprint> storedQuarantines_;
    bool isWritingQuarantines_ = false; ///< A write of quarantines is in progress.
    TimePoint quarantinesListedAt_{};
    bool areEndpointsListed_ = false;
    bool isLeaving_ = false;
    bool isWatching_ = false;
    bool isLeaseStarted_ = false;
    std::set<VmId> unreadableEndpoints_; ///< Endpoints whose latest entries could not be parsed.
    /// Entries of endpoints received since the last summary line in the log.
    std::size_t entryCount_ = 0;
    std::size_t removedCount_ = 0; ///< Endpoints that ended since then.
    TimePoint endpointsLoggedAt_{};
    bool wasReady_ = false;
    std::shared_ptr<bool> isAlive_ = std::make_shared<bool>(true);
};

} // namespace cardamombay::serving
