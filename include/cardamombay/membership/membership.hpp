/// \file
/// \brief Membership between entry VMs: who runs, who is suspected, who left.
/// \details Decides which entry VMs are alive, by exchanging digests with the peers of the site,
/// probing the other members of the region in turn, directly and through others, and by suspicion
/// that the member itself can refute. Regions are joined by a few bridges that pass on changes and
/// summaries. It carries the observations, vetoes and demand of other modules and never decides on
/// them. It never elects anyone and agrees on nothing: what must be agreed goes through the
/// platform's store. Guards promises 1 and 6 by making ages of digests sound, also across pauses.
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
    std::uint64_t refutations_ = 0; ///< Of suspicions against this entry VM.
    std::uint64_t wakes_ = 0;
    std::uint64_t tablesSent_ = 0;
};

/// \brief One entry VM's part in the membership protocol.
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
    /// \brief Adds to a digest that goes to a peer in scope.
    using PayloadSource = std::function<void(Digest &outgoing, const EntryId &peer)>;
    /// \brief Takes the payload of a digest; its ages are already counted from now.
    using PayloadSink = std::function<void(const Digest &)>;
    /// \brief Told after a member appeared or changed in anything but its configuration version.
    using ChangeHandler = std::function<void(const MemberEntry &)>;

    /// \param clock the runtime clock.
    /// \param transport carries digests.
    /// \param random seeded; decides targets and phases only.
    /// \param settings periods and bounds.
    /// \param self this entry VM; its incarnation is higher than in any former run if possible, and
    /// raised by itself otherwise.
    /// \param program of charts/member.toml, shared by all.
    Membership(Clock &clock, PeerTransport &transport, Random random, MembershipSettings settings,
               MemberEntry self, MemberProgramPtr program);
    Membership(const Membership &) = delete;
    Membership &operator=(const Membership &) = delete;
    ~Membership();

    /// \name Life
    /// \{
    /// \brief Begins to exchange digests; \p seeds are addresses of peers that may exist.
    void start(std::span<const Address> seeds);
    /// \brief Adds addresses to join through, such as the entry VMs of the VM list.
    void addSeeds(std::span<const Address> seeds);
    /// \brief Marks this entry VM as draining; spread to all.
    void setDraining(bool isDraining);
    /// \brief Tells peers that this entry VM goes, and stops. It stays Left until destroyed.
    void leave();
    /// \brief The configuration version in force here.
    void setConfigVersion(ConfigVersion version);
    /// \}

    /// \name Digests
    /// \{
    /// \brief Takes a digest from a peer and returns the answer to it.
    [[nodiscard]] Digest handle(const Digest &incoming);
    void setPayloadSource(PayloadSource source) { source_ = std::move(source); }
    void setPayloadSink(PayloadSink sink) { sink_ = std::move(sink); }
    void onChange(ChangeHandler handler) { onChange_ = std::move(handler); }
    /// \brief Peers outside the scope whose payload is wanted, such as watchers of VMs elsewhere.
    void setExtraPeers(std::span<const EntryId> peers);
    /// \brief Exchanges with the scope within one tick: something urgent, such as a veto, changed.
    void flushSoon() { isFlushWanted_ = true; }
    /// \}

    /// \name What is known
    /// \{
    [[nodiscard]] const MemberEntry &self() const { return self_; }
    /// \brief The entry of another member, or null if it is unknown.
    [[nodiscard]] const MemberEntry *member(const EntryId &id) const;
    /// \brief All members that are known, self included, by identifier.
    [[nodiscard]] std::vector<MemberEntry> members() const;
    /// \brief Members that may be alive (Alive or Suspect), self included unless it left.
    [[nodiscard]] std::vector<MemberEntry> aliveMembers() const;
    /// \brief The live peers whose payload arrives each period.
    [[nodiscard]] std::vector<EntryId> scopePeers() const;
    /// \brief Highest configuration version that was heard of, here or from any member.
    [[nodiscard]] ConfigVersion highestConfigVersion() const { return newestConfig_; }
    /// \brief Configuration in force by site, own site first-hand, others by their summaries.
    [[nodiscard]] std::vector<SiteSummary> siteSummaries() const;
    [[nodiscard]] const MembershipCounters &counters() const { return counters_; }
    /// \}

    /// \name Pauses
    /// \{
    /// \brief Length of the last pause of this process; zero if there was none.
    [[nodiscard]] Duration lastWakeGap() const { return lastWakeGap_; }
    /// \brief False from a wake until peers have answered again, or until they had the time to.
    [[nodiscard]] bool isTrusted() const;
    /// \}

private:
    struct Peer
    {
        PeerLink link_;
        TimePoint nextExchangeAt_{};
        TimePoint probeDeadline_{}; ///< Of the probe that is awaited.
        bool isIndirect_ = false;   ///< The indirect probes have left.
        TimePoint probeSentAt_{};
        TimePoint askedAt_{}; ///< Last digest that was sent to it unasked.
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
    void noticePause();
    void wake(Duration gap);
    void refresh();

    void exchangeWithScope();
    void probeNext();
    void bridge();
    void rejoin();
    void join();
    void checkProbes();
    void checkProbe(const EntryId &id);
    void forgetOld();
    void checkSuspicions();
    void probeIndirectly(const EntryId &target);

    void send(const Member &target, Channel channel, bool wantsPayload);
    void sendDigest(Address address, Digest digest, const SentDigest &sent);
    void finished(const SentDigest &sent, const Result<Digest> &result);
    void returnTable(const Digest &answer);
    void sendToSeed(const Address &seed);
    [[nodiscard]] Digest makeDigest(const EntryId &to, Channel channel, bool hasPayload);
    void appendCleared(Digest &digest, const MemberEntry &entry);
    void appendUpdates(Digest &digest, Channel channel);
    void appendSummaries(Digest &digest) const;
    void appendTable(Digest &digest, const RegionName &region) const;

    void receive(const Digest &digest, std::optional<TimePoint> madeAfter);
    void noteHeard(const EntryId &id, Incarnation incarnation, TimePoint when);
    void applyReport(const MemberEntry &report);
    void refute(const MemberEntry &report);
    void takeReachRequests(const Digest &digest);
    void takeReachReports(const Digest &digest, std::optional<TimePoint> madeAfter);
    void takeSites(const Digest &digest, TimePoint madeAfter);
    void passOn(const Digest &digest, TimePoint madeAfter);
    [[nodiscard]] std::optional<RegionName> differingRegion(const Digest &digest);

    void changed(const MemberEntry &entry);
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
    std::set<EntryId> probed_; ///< Members from whom an answer is awaited.
    std::vector<EntryId> probeOrder_;
    std::size_t regionSize_ = 0; ///< Other live members of the region.
    std::map<EntryId, std::vector<EntryId>> reachRequesters_;
    std::map<EntryId, Incarnation> cleared_; ///< Suspicions ended here that spread before.
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
    TimePoint nextForgetAt_{};
    TimePoint wokeAt_{};
    Duration lastWakeGap_{};
    bool isAwaitingPeers_ = false;
    bool isScopeStale_ = true;
    bool isFlushWanted_ = false;
    bool hasJoined_ = false;
    bool isRunning_ = false;
    std::shared_ptr<bool> alive_; ///< Guards answers that arrive after destruction.
};

} // namespace cardamombay::membership
