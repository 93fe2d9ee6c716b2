#include <cardamombay/membership/membership.hpp>

#include <cardamombay/core/hash.hpp>

#include <algorithm>
#include <cmath>
#include <iterator>
#include <utility>

namespace cardamombay::membership {

namespace {

constexpr Duration purgePeriod = std::chrono::seconds(10);
/// By then a change has been sent on every channel this node uses. Members that missed it are
/// updated through the comparison of table hashes.
constexpr Duration updateLifetime = std::chrono::seconds(60);

/// Starts at a random number so that sequence numbers of two runs of an entry VM do not collide:
/// echoing a digest of the previous run would give a wrong age.
std::uint64_t randomFirstSequence(Random &random)
{
    constexpr std::uint64_t span = 1ULL << 31U;
    return 1 + random.below(span);
}

double logSizeFactor(std::size_t others)
{
    return std::max(1.0, std::log10(static_cast<double>(others + 2)));
}

} // namespace

Membership::Membership(Clock &clock, PeerTransport &transport, Random random,
                       MembershipSettings settings, MemberEntry self, MemberProgramPtr program)
    : clock_(clock)
    , transport_(transport)
    , random_(random)
    , settings_(settings)
    , self_(std::move(self))
    , table_(std::move(program))
    , nextSequence_(randomFirstSequence(random_))
    , alive_(std::make_shared<bool>(true))
{
    self_.status_ = MemberStatus::Alive;
    if (self_.incarnation_.isNone())
        self_.incarnation_ = Incarnation(1);
}

Membership::~Membership()
{
    clock_.cancel(timer_);
}

void Membership::start(std::span<const Address> seeds)
{
    addSeeds(seeds);
    isRunning_ = true;
    const TimePoint now = clock_.now();
    nextProbeAt_ = now + settings_.probePeriod_;
    nextBridgeAt_ = now + settings_.bridgePeriod_;
    nextRejoinAt_ = now;
    nextSyncAt_ = now;
    scheduleTick(Duration::zero());
}

void Membership::addSeeds(std::span<const Address> seeds)
{
    for (const Address &seed : seeds) {
        const bool isKnown = std::find(seeds_.begin(), seeds_.end(), seed) != seeds_.end();
        if (!isKnown && seed != self_.address_)
            seeds_.push_back(seed);
    }
}

void Membership::setDraining(bool isDraining)
{
    if (self_.isDraining_ == isDraining)
        return;
    self_.isDraining_ = isDraining;
    self_.incarnation_ = self_.incarnation_.next();
    updates_.add(self_.id_, clock_.now());
    flushSoon();
}

void Membership::leave()
{
    if (self_.status_ == MemberStatus::Left)
        return;
    self_.status_ = MemberStatus::Left;
    updates_.add(self_.id_, clock_.now());
    rebuildScope();
    for (const EntryId &id : scope_) {
        if (const Member *member = table_.find(id))
            send(*member, Channel::Scope, false);
    }
    isRunning_ = false;
    clock_.cancel(timer_);
    timer_ = TimerId::None;
}

void Membership::setConfigVersion(ConfigVersion version)
{
    self_.configVersion_ = std::max(self_.configVersion_, version);
    noteConfigVersion(version);
}

void Membership::noteConfigVersion(ConfigVersion version)
{
    if (version <= newestConfig_)
        return;
    newestConfig_ = version;
    // Exchange early on every channel, so that it spreads through the site, region and other
    // regions.
    flushSoon();
    nextProbeAt_ = TimePoint{};
    nextBridgeAt_ = TimePoint{};
}

void Membership::setExtraPeers(std::span<const EntryId> peers)
{
    extraPeers_ = std::set<EntryId>(peers.begin(), peers.end());
    extraPeers_.erase(self_.id_);
}

void Membership::scheduleTick(Duration delay)
{
    nextTickAt_ = clock_.now() + delay;
    timer_ = clock_.schedule(delay, [this] { tick(); });
}

void Membership::tick()
{
    detectPause();
    scheduleTick(settings_.tick_);
    if (isScopeStale_)
        rebuildScope();
    join();
    checkProbes();
    checkSuspicions();
    startDueExchanges();
    probeNext();
    bridge();
    rejoin();
    purgeExpired();
}

void Membership::purgeExpired()
{
    const TimePoint now = clock_.now();
    if (now < nextPurgeAt_)
        return;
    nextPurgeAt_ = now + purgePeriod;
    table_.purgeBefore(now - settings_.tombstoneTime_);
    updates_.dropBefore(now - updateLifetime);
    const auto isUnknown = [this](const auto &item) { return table_.find(item.first) == nullptr; };
    std::erase_if(peers_, isUnknown);
    std::erase_if(clearedSuspicions_, isUnknown);
}

bool Membership::isTrusted() const
{
    const bool isPaused = isRunning_ && clock_.now() - nextTickAt_ > settings_.pauseThreshold_;
    return !isPaused && !isAwaitingPeers_;
}

void Membership::detectPause()
{
    if (!isRunning_)
        return;
    const TimePoint now = clock_.now();
    const Duration gap = now - nextTickAt_;
    if (gap > settings_.pauseThreshold_) {
        nextTickAt_ = now;
        resumeAfterPause(gap);
    }
    const Duration allowed = settings_.probeTimeout_ + settings_.indirectTimeout_;
    if (isAwaitingPeers_ && now - resumedAt_ > std::max(allowed, suspicionTimeout()))
        isAwaitingPeers_ = false;
}

void Membership::resumeAfterPause(Duration gap)
{
    ++counters_.pausesDetected_;
    lastPauseDuration_ = gap;
    resumedAt_ = clock_.now();
    isAwaitingPeers_ = table_.aliveCount() > 0;
    table_.extendSuspicions(gap);
    for (const EntryId &id : probed_)
        peer(id).probeDeadline_ += gap;
    exchangeWithAllSoon();
}

void Membership::exchangeWithAllSoon()
{
    for (auto &[id, other] : peers_)
        other.nextExchangeAt_ = TimePoint{};
    nextProbeAt_ = TimePoint{};
    isFlushWanted_ = true;
}

void Membership::rebuildScope()
{
    isScopeStale_ = false;
    std::set<EntryId> region;
    std::set<EntryId> site;
    for (const auto &[id, member] : table_.members()) {
        if (!isLive(member.entry_.status_) || member.entry_.region_ != self_.region_)
            continue;
        region.insert(id);
        if (member.entry_.zone_ == self_.zone_)
            site.insert(id);
    }
    regionSize_ = region.size();
    const bool isSmall = region.size() < settings_.wholeRegionLimit_;
    scope_ = isSmall || site.empty() ? std::move(region) : std::move(site);
}

bool Membership::isInitiator(const EntryId &id) const
{
    const EntryId &low = std::min(self_.id_, id);
    const EntryId &high = std::max(self_.id_, id);
    const bool isLow = (rendezvousWeight(low.text(), high.text()) & 1U) == 0;
    return (isLow ? low : high) == self_.id_;
}

bool Membership::isBridge() const
{
    const std::uint64_t own = rendezvousWeight("bridge", self_.id_.text());
    std::uint32_t higher = 0;
    for (const auto &[id, member] : table_.members()) {
        const bool isRival
            = member.entry_.region_ == self_.region_ && isLive(member.entry_.status_);
        if (isRival && rendezvousWeight("bridge", id.text()) > own)
            ++higher;
    }
    return higher < settings_.bridgesPerRegion_;
}

Channel Membership::channelTo(const MemberEntry &entry) const
{
    return entry.region_ == self_.region_ ? Channel::Region : Channel::Bridge;
}

Duration Membership::suspicionTimeout() const
{
    // Suspicions are raised only within a region, so its size determines the dissemination time.
    const double factor = settings_.suspicionFactor_ * logSizeFactor(regionSize_);
    return std::chrono::duration_cast<Duration>(factor * settings_.probePeriod_);
}

std::uint32_t Membership::retransmits() const
{
    const double factor = settings_.retransmitFactor_ * logSizeFactor(table_.aliveCount());
    return static_cast<std::uint32_t>(std::ceil(factor));
}

Membership::Peer &Membership::peer(const EntryId &id)
{
    return peers_[id];
}

const MemberEntry *Membership::member(const EntryId &id) const
{
    const Member *found = table_.find(id);
    return found == nullptr ? nullptr : &found->entry_;
}

std::vector<MemberEntry> Membership::members() const
{
    std::vector<MemberEntry> all;
    all.reserve(table_.members().size() + 1);
    for (const auto &[id, member] : table_.members())
        all.push_back(member.entry_);
    const auto place = std::lower_bound(
        all.begin(), all.end(), self_,
        [](const MemberEntry &left, const MemberEntry &right) { return left.id_ < right.id_; });
    all.insert(place, self_);
    return all;
}

std::vector<MemberEntry> Membership::aliveMembers() const
{
    std::vector<MemberEntry> alive = members();
    std::erase_if(alive, [](const MemberEntry &entry) { return !isLive(entry.status_); });
    return alive;
}

std::vector<EntryId> Membership::scopePeers() const
{
    return {scope_.begin(), scope_.end()};
}

SiteSummary Membership::ownSite() const
{
    SiteSummary site{self_.zone_, 1, self_.configVersion_, self_.configVersion_, {}};
    for (const auto &[id, member] : table_.members()) {
        const MemberEntry &entry = member.entry_;
        if (entry.zone_ != self_.zone_ || !isLive(entry.status_))
            continue;
        ++site.alive_;
        site.oldest_ = std::min(site.oldest_, entry.configVersion_);
        site.newest_ = std::max(site.newest_, entry.configVersion_);
    }
    return site;
}

std::vector<SiteSummary> Membership::siteSummaries() const
{
    std::vector<SiteSummary> sites{ownSite()};
    const TimePoint now = clock_.now();
    for (const auto &[zone, remote] : remoteSites_) {
        SiteSummary summary = remote.summary_;
        summary.age_ = now - remote.takenAt_;
        sites.push_back(std::move(summary));
    }
    return sites;
}

} // namespace cardamombay::membership
