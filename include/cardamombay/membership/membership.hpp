/// \file
/// \brief SWIM-style membership and failure detection between entry VMs.
/// \details Each entry VM exchanges digests with the peers in its scope, probes the other members
/// of its region in turn, directly and indirectly, and suspects a silent member, which can refute
/// the suspicion. A few bridges per region exchange changes and summaries with other regions.
/// Digests also carry the observations, vetoes and demand of other modules; membership adjusts
/// their ages but bases no decision on them. It elects no leader and provides no consensus;
/// decisions that need agreement use the platform's store. Ages in digests are upper bounds, also
/// across process pauses, so that no group serves on a stale observation of a member and no leaving
/// VM gets new work.
#pragma once

#include <cardamombay/core/clock.hpp>
#include <cardamombay/core/random.hpp>
#include <cardamombay/membership/digest.hpp>
#include <cardamombay/membership/member_table.hpp>
#include <cardamombay/membership/membership_settings.hpp>
#include <cardamombay/membership/peer_link.hpp>
#include <cardamombay/membership/peer_transport.hpp>
#include <cardamombay/membership/update_queue.hpp>

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <span>
#include <vector>

namespace cardamombay::membership {

/// \brief Counters of the protocol.
struct MembershipCounters
{
    std::uint64_t exchangesStarted_ = 0;
    std::uint64_t exchangesFailed_ = 0;
    std::uint64_t digestsHandled_ = 0;
    std::uint64_t indirectProbes_ = 0;
    std::uint64_t suspicions_ = 0;
    std::uint64_t deaths_ = 0;
    std::uint64_t refutations_ = 0; ///< Of suspicions of this entry VM and of higher incarnations.
    std::uint64_t pausesDetected_ = 0;
    std::uint64_t tablesSent_ = 0;
};

/// \brief Membership protocol instance of one entry VM.
/// \code
/// auto program = makeMemberProgram(valueOf(charts.load("member")));
/// Membership membership(clock, transport, Random(seed), settings, self, valueOf(program));
/// membership.setPayloadSource([&](Digest &out, const EntryId &) { watcher.appendTo(out); });
/// membership.setPayloadSink([&](const Digest &in) { watcher.merge(in); });
/// membership.start(seeds);
/// \endcode
class Membership
{
public:
    /// \brief Adds the payload to a digest for a peer.
    using PayloadSource = std::function<void(Digest &outgoing, const EntryId &peer)>;
    /// \brief Receives the payload of a digest, with ages adjusted to the time of the call.
    using PayloadSink = std::function<void(const Digest &)>;
    /// \brief Called after a member was added or changed, except in its configuration version only.
    using ChangeHandler = std::function<void(const MemberEntry &)>;

    /// \param clock the runtime clock.
    /// \param transport sends digests.
    /// \param random source for probe targets and the first sequence number.
    /// \param settings timing parameters and limits.
    /// \param self this entry VM. Its incarnation should exceed that of any previous run; otherwise
    /// it is raised when a peer reports a higher one.
    /// \param program state machine of charts/member.toml, shared by all instances.
    Membership(Clock &clock, PeerTransport &transport, Random random, MembershipSettings settings,
               MemberEntry self, MemberProgramPtr program);
    Membership(const Membership &) = delete;
    Membership &operator=(const Membership &) = delete;
    ~Membership();

    /// \name Lifecycle
    /// \{
    /// \brief Starts exchanging digests; \p seeds are addresses of possible peers.
    void start(std::span<const Address> seeds);
    /// \brief Adds addresses to join through, such as the entry VMs of the VM list.
    void addSeeds(std::span<const Address> seeds);
    /// \brief Sets whether this entry VM is draining, and disseminates it to all members.
    void setDraining(bool isDraining);
    /// \brief Notifies peers that this entry VM is leaving, and stops. The status remains Left.
    void leave();
    /// \brief Sets the configuration version in use on this entry VM; a lower version is ignored.
    void setConfigVersion(ConfigVersion version);
    /// \}

    /// \name Digests
    /// \{
    /// \brief Processes a digest from a peer and returns the answer.
    [[nodiscard]] Digest handle(const Digest &incoming);
    void setPayloadSource(PayloadSource source) { source_ = std::move(source); }
    void setPayloadSink(PayloadSink sink) { sink_ = std::move(sink); }
    void onChange(ChangeHandler handler) { onChange_ = std::move(handler); }
    /// \brief Sets peers outside the scope to exchange payload with, such as watchers of VMs in
    /// other sites.
    void setExtraPeers(std::span<const EntryId> peers);
    /// \brief Requests an early exchange with all peers in scope after an urgent change, such as a
    /// veto; at most one per MembershipSettings::flushGap_.
    void flushSoon() { isFlushWanted_ = true; }
    /// \}

    /// \name State
    /// \{
    [[nodiscard]] const MemberEntry &self() const { return self_; }
    /// \brief The entry of another member, or null if it is unknown.
    [[nodiscard]] const MemberEntry *member(const EntryId &id) const;
    /// \brief All known members, including self, sorted by identifier.
    [[nodiscard]] std::vector<MemberEntry> members() const;
    /// \brief Members with status Alive or Suspect, including self unless it left.
    [[nodiscard]] std::vector<MemberEntry> aliveMembers() const;
    /// \brief The live peers with which payload is exchanged every period.
    [[nodiscard]] std::vector<EntryId> scopePeers() const;
    /// \brief Highest configuration version known from any member.
    [[nodiscard]] ConfigVersion highestConfigVersion() const { return newestConfig_; }
    /// \brief Configuration versions by site: the own site from the member table, which comes
    /// first, the others from received summaries.
    [[nodiscard]] std::vector<SiteSummary> siteSummaries() const;
    [[nodiscard]] const MembershipCounters &counters() const { return counters_; }
    /// \}

    /// \name Process pauses
    /// \{
    /// \brief Duration of the last pause of this process; zero if there was none.
    [[nodiscard]] Duration lastPauseDuration() const { return lastPauseDuration_; }
    /// \brief False during a pause of this process, and after it until a peer has answered or the
    /// time for an answer has passed.
    [[nodiscard]] bool isTrusted() const;
    /// \}

private:
    struct Peer
    {
        PeerLink link_;
        TimePoint nextExchangeAt_{};
        TimePoint probeDeadline_{}; ///< Of the pending probe.
        bool isIndirect_ = false;   ///< The indirect probes have been sent.
        TimePoint probeSentAt_{};
        TimePoint lastContactedAt_{}; ///< When send() last sent it a digest.
    };
    struct SentDigest
    {
        EntryId target_;
        std::uint64_t sequence_ = 0;
        TimePoint at_{};
        bool isProbe_ = false;
    };
    struct RemoteSite
    {
        SiteSummary summary_;
        TimePoint takenAt_{};
    };

    void scheduleTick(Duration delay);
    void tick();
    void detectPause();
    void resumeAfterPause(Duration gap);
    void exchangeWithAllSoon();

    void startDueExchanges();
    void probeNext();
    void bridge();
    void rejoin();
    void join();
    void checkProbes();
    void checkProbe(const EntryId &id);
    void purgeExpired();
    void checkSuspicions();
    void probeIndirectly(const EntryId &target);

    void send(const Member &target, Channel channel, bool wantsPayload);
    void sendDigest(Address address, Digest digest, const SentDigest &sent);
    void onExchangeDone(const SentDigest &sent, const Result<Digest> &result);
    void sendDifferingTable(const Digest &answer);
    void sendToSeed(const Address &seed);
    [[nodiscard]] Digest makeDigest(const EntryId &to, Channel channel, bool hasPayload);
    void appendClearedSuspicion(Digest &digest, const MemberEntry &entry);
    void appendUpdates(Digest &digest, Channel channel);
    void appendSummaries(Digest &digest) const;
    void appendTable(Digest &digest, const RegionName &region) const;

    void receive(const Digest &digest, std::optional<TimePoint> madeAfter);
    void noteHeard(const EntryId &id, Incarnation incarnation, TimePoint when);
    void applyReport(const MemberEntry &report);
    void refute(const MemberEntry &report);
    void handleReachRequests(const Digest &digest);
    void applyReachReports(const Digest &digest, std::optional<TimePoint> madeAfter);
    void mergeSiteSummaries(const Digest &digest, TimePoint madeAfter);
    void deliverPayload(const Digest &digest, TimePoint madeAfter);
    [[nodiscard]] std::optional<RegionName> differingRegion(const Digest &digest);

    void notifyChanged(const MemberEntry &entry);
    void noteConfigVersion(ConfigVersion version);
    void rebuildScope();
    [[nodiscard]] bool isInitiator(const EntryId &id) const;
    [[nodiscard]] bool isBridge() const;
    [[nodiscard]] bool isScope(const EntryId &id) const { return scope_.contains(id); }
    [[nodiscard]] Channel channelTo(const MemberEntry &entry) const;
    [[nodiscard]] Duration suspicionTimeout() const;
    [[nodiscard]] std::uint32_t retransmits() const;
    [[nodiscard]] SiteSummary ownSite() const;
    Peer &peer(const EntryId &id);

    Clock &clock_;
    PeerTransport &transport_;
    Random random_;
    MembershipSettings settings_;
    MemberEntry self_;
    MemberTable table_;
    UpdateQueue updates_;
    std::map<EntryId, Peer> peers_;
    std::set<EntryId> scope_;
    std::set<EntryId> extraPeers_;
    std::set<EntryId> probed_; ///< Members with a pending probe.
    std::vector<EntryId> probeOrder_;
    std::size_t regionSize_ = 0; ///< Number of other live members of the region.
    std::map<EntryId, std::vector<EntryId>> reachRequesters_;
    /// Suspicions that ended here but may persist at other members.
    std::map<EntryId, Incarnation> clearedSuspicions_;
    std::map<AvailabilityZone, RemoteSite> remoteSites_;
    std::vector<Address> seeds_;
    std::uint64_t nextSequence_;
    ConfigVersion newestConfig_;
    PayloadSource source_;
    PayloadSink sink_;
    ChangeHandler onChange_;
    MembershipCounters counters_;

    TimerId timer_ = TimerId::None;
    TimePoint nextTickAt_{};
    TimePoint nextProbeAt_{};
    TimePoint nextBridgeAt_{};
    TimePoint nextRejoinAt_{};
    TimePoint nextSyncAt_{};
    TimePoint nextFlushAt_{};
    TimePoint nextPurgeAt_{};
    TimePoint resumedAt_{};
    Duration lastPauseDuration_{};
    bool isAwaitingPeers_ = false;
    bool isScopeStale_ = true;
    bool isFlushWanted_ = false;
    bool hasJoined_ = false;
    bool isRunning_ = false;
    std::shared_ptr<bool> alive_; ///< Expires on destruction, so that late answers are ignored.
};

} // namespace cardamombay::membership
