#include <cardamombay/membership/membership.hpp>

#include <cardamombay/core/hash.hpp>

#include <algorithm>
#include <cmath>
#include <iterator>
#include <utility>

namespace cardamombay::membership {

namespace {

constexpr Duration forgetPeriod = std::chrono::seconds(10);
/// By then a change has gone out on every channel this node uses; what missed it is found by the
/// comparison of tables.
constexpr Duration updateLifetime = std::chrono::seconds(60);

/// Sequence numbers of two runs of one entry VM must not meet: an echo of the former run would
/// give a digest a wrong age.
std::uint64_t firstSequence(Random &random)
{
    constexpr std::uint64_t span = 1ULL << 31U;
    return 1 + random.below(span);
}

double sizeFactor(std::size_t others)
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
    , nextSequence_(firstSequence(random_))
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
    // A few hops in quick succession carry it through the site, the region and the others.
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
    noticePause();
    scheduleTick(settings_.tick_);
    if (isScopeStale_)
        rebuildScope();
    join();
    checkProbes();
    checkSuspicions();
    exchangeWithScope();
    probeNext();
    bridge();
    rejoin();
    forgetOld();
}

void Membership::forgetOld()
{
    const TimePoint now = clock_.now();
    if (now < nextForgetAt_)
        return;
    nextForgetAt_ = now + forgetPeriod;
    table_.forgetBefore(now - settings_.tombstoneTime_);
    updates_.dropBefore(now - updateLifetime);
    const auto isUnknown = [this](const auto &item) { return table_.find(item.first) == nullptr; };
    std::erase_if(peers_, isUnknown);
    std::erase_if(cleared_, isUnknown);
}

bool Membership::isTrusted() const
{
    const bool isPaused = isRunning_ && clock_.now() - nextTickAt_ > settings_.wakeThreshold_;
    return !isPaused && !isAwaitingPeers_;
}

void Membership::noticePause()
{
    if (!isRunning_)
        return;
    const TimePoint now = clock_.now();
    const Duration gap = now - nextTickAt_;
    if (gap > settings_.wakeThreshold_) {
        nextTickAt_ = now;
        wake(gap);
    }
    const Duration allowed = settings_.probeTimeout_ + settings_.indirectTimeout_;
    if (isAwaitingPeers_ && now - wokeAt_ > std::max(allowed, suspicionTimeout()))
        isAwaitingPeers_ = false;
}

void Membership::wake(Duration gap)
{
    ++counters_.wakes_;
    lastWakeGap_ = gap;
    wokeAt_ = clock_.now();
    isAwaitingPeers_ = table_.aliveCount() > 0;
    table_.postpone(gap);
    for (const EntryId &id : probed_)
        peer(id).probeDeadline_ += gap;
    refresh();
}

void Membership::refresh()
{
    for (auto &[id, other] : peers_)
        other.nextExchangeAt_ = TimePoint{};
    nextProbeAt_ = TimePoint{};
    isFlushWanted_ = true;
}

void Membership::exchangeWithScope()
{
    const TimePoint now = clock_.now();
    const bool isFlush = isFlushWanted_ && now >= nextFlushAt_;
    if (isFlush) {
        isFlushWanted_ = false;
        nextFlushAt_ = now + settings_.flushGap_;
    }
    std::set<EntryId> targets = scope_;
    targets.insert(extraPeers_.begin(), extraPeers_.end());
    for (const EntryId &id : targets) {
        const Member *member = table_.find(id);
        if (member == nullptr || !isLive(member->entry_.status_))
            continue;
        Peer &other = peer(id);
        const bool isMine = !isScope(id) || isInitiator(id);
        // The other side starts the exchange, unless it has been silent.
        const Duration patience
            = isMine ? Duration::zero() : settings_.exchangePeriod_ + settings_.probeTimeout_;
        const bool isSilent = now - member->heardAt_ >= patience;
        if (isFlush || (now >= other.nextExchangeAt_ && isSilent))
            send(*member, Channel::Scope, true);
    }
}

void Membership::probeNext()
{
    const TimePoint now = clock_.now();
    if (now < nextProbeAt_)
        return;
    nextProbeAt_ = now + settings_.probePeriod_;
    for (std::size_t tries = table_.members().size(); tries > 0; --tries) {
        if (probeOrder_.empty()) {
            for (const auto &[id, member] : table_.members()) {
                if (member.entry_.region_ == self_.region_)
                    probeOrder_.push_back(id);
            }
            for (std::size_t i = probeOrder_.size(); i > 1; --i)
                std::swap(probeOrder_[i - 1], probeOrder_[random_.below(i)]);
        }
        if (probeOrder_.empty())
            return;
        const EntryId id = probeOrder_.back();
        probeOrder_.pop_back();
        const Member *member = table_.find(id);
        if (member == nullptr || !isLive(member->entry_.status_) || isScope(id))
            continue;
        send(*member, Channel::Region, false);
        return;
    }
}

void Membership::bridge()
{
    const TimePoint now = clock_.now();
    if (now < nextBridgeAt_)
        return;
    nextBridgeAt_ = now + settings_.bridgePeriod_;
    if (!isBridge())
        return;
    std::map<RegionName, std::vector<const Member *>> targets;
    for (const auto &[id, member] : table_.members()) {
        if (member.entry_.region_ != self_.region_ && isLive(member.entry_.status_))
            targets[member.entry_.region_].push_back(&member);
    }
    for (const auto &[region, members] : targets)
        send(*members[random_.below(members.size())], Channel::Bridge, false);
}

void Membership::rejoin()
{
    const TimePoint now = clock_.now();
    if (now < nextRejoinAt_)
        return;
    nextRejoinAt_ = now + settings_.rejoinPeriod_;
    std::vector<const Member *> dead;
    for (const auto &[id, member] : table_.members()) {
        if (member.entry_.status_ == MemberStatus::Dead)
            dead.push_back(&member);
    }
    if (!dead.empty()) {
        send(*dead[random_.below(dead.size())], Channel::Region, false);
        return;
    }
    // Members forgotten during a long partition are found again through the seeds.
    std::set<Address> live;
    for (const auto &[id, member] : table_.members()) {
        if (isLive(member.entry_.status_))
            live.insert(member.entry_.address_);
    }
    std::vector<Address> absent;
    std::copy_if(seeds_.begin(), seeds_.end(), std::back_inserter(absent),
                 [&](const Address &seed) { return !live.contains(seed); });
    if (!absent.empty())
        sendToSeed(absent[random_.below(absent.size())]);
}

void Membership::join()
{
    const TimePoint now = clock_.now();
    const bool isAlone = table_.aliveCount() == 0;
    if ((hasJoined_ && !isAlone) || seeds_.empty() || now < nextSyncAt_)
        return;
    // Until somebody answers, all seeds are asked once each probe period.
    nextSyncAt_ = now + settings_.probePeriod_;
    for (const Address &seed : seeds_)
        sendToSeed(seed);
}

void Membership::sendToSeed(const Address &seed)
{
    Digest digest = makeDigest(EntryId(), Channel::Region, false);
    digest.wantsTable_ = true;
    const SentDigest sent{EntryId(), digest.sequence_, clock_.now(), false};
    sendDigest(seed, std::move(digest), sent);
}

void Membership::checkProbes()
{
    const TimePoint now = clock_.now();
    std::vector<EntryId> due;
    for (const EntryId &id : probed_) {
        if (now >= peer(id).probeDeadline_)
            due.push_back(id);
    }
    for (const EntryId &id : due)
        checkProbe(id);
}

void Membership::checkProbe(const EntryId &id)
{
    const TimePoint now = clock_.now();
    Peer &other = peer(id);
    const Member *member = table_.find(id);
    const bool isSilent = member != nullptr && member->heardAt_ < other.probeSentAt_;
    const bool isOurs = isSilent && member->entry_.region_ == self_.region_;
    if (isOurs && !other.isIndirect_) {
        other.isIndirect_ = true;
        other.probeDeadline_ = now + settings_.indirectTimeout_;
        probeIndirectly(id);
        return;
    }
    probed_.erase(id);
    if (!isOurs || !table_.suspect(id, now))
        return;
    ++counters_.suspicions_;
    changed(member->entry_);
}

void Membership::checkSuspicions()
{
    const TimePoint now = clock_.now();
    const Duration timeout = suspicionTimeout();
    std::vector<EntryId> lapsed;
    for (const EntryId &id : table_.suspects()) {
        const Member &member = *table_.find(id);
        if (member.entry_.region_ != self_.region_)
            continue;
        const Duration held = now - member.statusSince_;
        if (held >= timeout)
            lapsed.push_back(id);
        // Nobody is declared dead on hearsay alone: it is asked once more, at half-time.
        else if (held >= timeout / 2 && peer(id).askedAt_ < member.statusSince_)
            send(member, Channel::Region, false);
    }
    for (const EntryId &id : lapsed) {
        if (!table_.declareDead(id, now))
            continue;
        ++counters_.deaths_;
        changed(table_.find(id)->entry_);
    }
}

void Membership::probeIndirectly(const EntryId &target)
{
    const Member *member = table_.find(target);
    std::vector<const Member *> helpers;
    for (const auto &[id, candidate] : table_.members()) {
        if (id != target && candidate.entry_.region_ == self_.region_
            && candidate.entry_.status_ == MemberStatus::Alive)
            helpers.push_back(&candidate);
    }
    for (std::uint32_t i = 0; i < settings_.indirectProbes_ && !helpers.empty(); ++i) {
        const std::size_t index = random_.below(helpers.size());
        const MemberEntry &helper = helpers[index]->entry_;
        helpers.erase(helpers.begin() + static_cast<std::ptrdiff_t>(index));
        Digest digest = makeDigest(helper.id_, Channel::Region, false);
        digest.reachRequests_.push_back(ReachRequest{target, member->entry_.address_});
        const SentDigest sent{helper.id_, digest.sequence_, clock_.now(), false};
        ++counters_.indirectProbes_;
        sendDigest(helper.address_, std::move(digest), sent);
    }
}

void Membership::send(const Member &target, Channel channel, bool wantsPayload)
{
    const EntryId id = target.entry_.id_;
    const TimePoint now = clock_.now();
    Digest digest = makeDigest(id, channel, wantsPayload);
    digest.wantsPayload_ = wantsPayload;
    Peer &other = peer(id);
    const Duration jitter = settings_.tick_ / 2;
    other.nextExchangeAt_ = now + settings_.exchangePeriod_ - jitter;
    other.askedAt_ = now;
    const bool isProbe = target.entry_.status_ == MemberStatus::Alive;
    if (isProbe && probed_.insert(id).second) {
        other.probeDeadline_ = now + settings_.probeTimeout_;
        other.probeSentAt_ = now;
        other.isIndirect_ = false;
    }
    const SentDigest sent{id, digest.sequence_, now, isProbe};
    sendDigest(target.entry_.address_, std::move(digest), sent);
}

void Membership::sendDigest(Address address, Digest digest, const SentDigest &sent)
{
    ++counters_.exchangesStarted_;
    const std::weak_ptr<bool> guard = alive_;
    transport_.exchange(std::move(address), std::move(digest),
                        [this, guard, sent](const Result<Digest> &result) {
                            if (!guard.expired())
                                finished(sent, result);
                        });
}

void Membership::finished(const SentDigest &sent, const Result<Digest> &result)
{
    noticePause();
    if (!isOk(result)) {
        ++counters_.exchangesFailed_;
        return;
    }
    const Digest &answer = valueOf(result);
    const bool isExpected = sent.target_.isEmpty() || answer.from_.id_ == sent.target_;
    const bool isAnswer = answer.echo_.sequence_ == sent.sequence_;
    if (!isExpected || !isAnswer)
        return;
    if (answer.from_.id_ == self_.id_)
        return;
    hasJoined_ = true;
    if (sent.at_ >= wokeAt_)
        isAwaitingPeers_ = false;
    receive(answer, sent.at_);
    returnTable(answer);
}

void Membership::returnTable(const Digest &answer)
{
    const auto region = differingRegion(answer);
    const Member *member = region ? table_.find(answer.from_.id_) : nullptr;
    if (member == nullptr)
        return;
    Digest digest = makeDigest(answer.from_.id_, channelTo(answer.from_), false);
    appendTable(digest, *region);
    ++counters_.tablesSent_;
    const SentDigest sent{answer.from_.id_, digest.sequence_, clock_.now(), false};
    sendDigest(member->entry_.address_, std::move(digest), sent);
}

Digest Membership::handle(const Digest &incoming)
{
    noticePause();
    const TimePoint now = clock_.now();
    const EntryId from = incoming.from_.id_;
    Digest answer;
    if (from.isEmpty() || from == self_.id_) {
        answer.from_ = self_;
        answer.sequence_ = nextSequence_++;
        return answer;
    }
    ++counters_.digestsHandled_;
    receive(incoming, peer(from).link_.madeAfter(incoming.echo_, now));
    takeReachRequests(incoming);
    const auto differing = differingRegion(incoming);
    const bool isWide = !incoming.regions_.empty();
    const Channel channel = isWide ? channelTo(incoming.from_) : Channel::Scope;
    answer = makeDigest(from, channel, incoming.wantsPayload_);
    answer.echo_ = EchoEntry{incoming.sequence_, Duration::zero()};
    if (incoming.wantsTable_) {
        for (const RegionName &region : table_.regions())
            appendTable(answer, region);
        ++counters_.tablesSent_;
    } else if (differing) {
        appendTable(answer, *differing);
        ++counters_.tablesSent_;
    }
    return answer;
}

Digest Membership::makeDigest(const EntryId &to, Channel channel, bool hasPayload)
{
    const TimePoint now = clock_.now();
    Digest digest;
    digest.from_ = self_;
    digest.to_ = to;
    digest.sequence_ = nextSequence_++;
    digest.newestConfig_ = newestConfig_;
    if (!to.isEmpty()) {
        PeerLink &link = peer(to).link_;
        digest.echo_ = link.echo(now);
        link.noteSent(digest.sequence_, now);
        // A member that is not taken for alive must learn it, or it cannot refute.
        const Member *member = table_.find(to);
        if (member != nullptr && member->entry_.status_ != MemberStatus::Alive)
            digest.members_.push_back(member->entry_);
        else if (member != nullptr)
            appendCleared(digest, member->entry_);
    }
    appendUpdates(digest, channel);
    if (channel != Channel::Scope)
        appendSummaries(digest);
    if (hasPayload && source_ && !to.isEmpty())
        source_(digest, to);
    return digest;
}

void Membership::appendCleared(Digest &digest, const MemberEntry &entry)
{
    const auto found = cleared_.find(entry.id_);
    if (found == cleared_.end())
        return;
    if (entry.incarnation_ > found->second) {
        cleared_.erase(found);
        return;
    }
    MemberEntry suspected = entry;
    suspected.status_ = MemberStatus::Suspect;
    digest.members_.push_back(std::move(suspected));
}

void Membership::appendUpdates(Digest &digest, Channel channel)
{
    for (const EntryId &id : updates_.take(channel, settings_.updatesPerDigest_, retransmits())) {
        if (id == self_.id_)
            continue; // from_ carries it.
        const Member *member = table_.find(id);
        if (member != nullptr && id != digest.to_)
            digest.members_.push_back(member->entry_);
    }
}

void Membership::appendSummaries(Digest &digest) const
{
    for (const RegionName &region : table_.regions()) {
        std::uint64_t hash = table_.regionHash(region);
        if (region == self_.region_ && isLive(self_.status_))
            hash ^= memberHash(self_.id_, self_.incarnation_);
        digest.regions_.push_back(RegionSummary{region, hash});
    }
    digest.sites_ = siteSummaries();
}

void Membership::appendTable(Digest &digest, const RegionName &region) const
{
    for (const auto &[id, member] : table_.members()) {
        if (member.entry_.region_ == region && id != digest.to_)
            digest.members_.push_back(member.entry_);
    }
}

void Membership::receive(const Digest &digest, std::optional<TimePoint> madeAfter)
{
    const TimePoint now = clock_.now();
    const MemberEntry &from = digest.from_;
    peer(from.id_).link_.noteReceived(digest.sequence_, now);
    applyReport(from);
    noteConfigVersion(std::max(from.configVersion_, digest.newestConfig_));
    if (madeAfter)
        noteHeard(from.id_, from.incarnation_, *madeAfter);
    for (const MemberEntry &report : digest.members_)
        applyReport(report);
    takeReachReports(digest, madeAfter);
    if (!madeAfter)
        return;
    takeSites(digest, *madeAfter);
    passOn(digest, *madeAfter);
}

void Membership::noteHeard(const EntryId &id, Incarnation incarnation, TimePoint when)
{
    if (!table_.heard(id, incarnation, when, clock_.now()))
        return;
    const Member *member = table_.find(id);
    // The suspicion may have reached others, who have no evidence of their own: only the member
    // can refute it there, so it has to hear of it.
    cleared_[id] = member->entry_.incarnation_;
    changed(member->entry_);
}

void Membership::applyReport(const MemberEntry &report)
{
    if (report.id_.isEmpty())
        return;
    if (report.id_ == self_.id_) {
        refute(report);
        return;
    }
    if (table_.apply(report, clock_.now()))
        changed(report);
}

void Membership::refute(const MemberEntry &report)
{
    const bool isFormerLife = report.incarnation_ > self_.incarnation_;
    const bool isAccused
        = report.status_ != MemberStatus::Alive && report.incarnation_ == self_.incarnation_;
    if (self_.status_ == MemberStatus::Left || (!isFormerLife && !isAccused))
        return;
    ++counters_.refutations_;
    self_.incarnation_ = report.incarnation_.next();
    updates_.add(self_.id_, clock_.now());
    flushSoon();
}

void Membership::takeReachRequests(const Digest &digest)
{
    for (const ReachRequest &request : digest.reachRequests_) {
        const Member *member = table_.find(request.target_);
        if (member == nullptr)
            continue;
        auto &requesters = reachRequesters_[request.target_];
        requesters.push_back(digest.from_.id_);
        Digest probe = makeDigest(request.target_, Channel::Region, false);
        const SentDigest sent{request.target_, probe.sequence_, clock_.now(), false};
        ++counters_.exchangesStarted_;
        const std::weak_ptr<bool> guard = alive_;
        transport_.exchange(
            request.address_, std::move(probe), [this, guard, sent](const Result<Digest> &result) {
                if (guard.expired())
                    return;
                finished(sent, result);
                const auto waiting = reachRequesters_.extract(sent.target_);
                if (waiting.empty() || !isOk(result) || valueOf(result).from_.id_ != sent.target_)
                    return;
                for (const EntryId &requester : waiting.mapped()) {
                    const Member *asker = table_.find(requester);
                    if (asker == nullptr)
                        continue;
                    Digest report = makeDigest(requester, Channel::Region, false);
                    report.reachReports_.push_back(ReachReport{
                        sent.target_, valueOf(result).from_.incarnation_, clock_.now() - sent.at_});
                    const SentDigest back{requester, report.sequence_, clock_.now(), false};
                    sendDigest(asker->entry_.address_, std::move(report), back);
                }
            });
    }
}

void Membership::takeReachReports(const Digest &digest, std::optional<TimePoint> madeAfter)
{
    if (!madeAfter)
        return;
    for (const ReachReport &report : digest.reachReports_) {
        noteHeard(report.target_, report.incarnation_, *madeAfter - report.age_);
    }
}

void Membership::takeSites(const Digest &digest, TimePoint madeAfter)
{
    for (const SiteSummary &summary : digest.sites_) {
        if (summary.zone_ == self_.zone_)
            continue;
        const TimePoint takenAt = madeAfter - summary.age_;
        RemoteSite &known = remoteSites_[summary.zone_];
        if (takenAt > known.takenAt_)
            known = RemoteSite{summary, takenAt};
    }
}

void Membership::passOn(const Digest &digest, TimePoint madeAfter)
{
    if (!sink_)
        return;
    const Duration flight = clock_.now() - madeAfter;
    Digest counted = digest;
    if (counted.watch_)
        counted.watch_->age_ += flight;
    for (ObservationEntry &observation : counted.observations_)
        observation.age_ += flight;
    for (GoneEntry &gone : counted.gone_)
        gone.age_ += flight;
    for (LeavingEntry &leaving : counted.leaving_)
        leaving.age_ += flight;
    sink_(counted);
}

std::optional<RegionName> Membership::differingRegion(const Digest &digest)
{
    const TimePoint now = clock_.now();
    if (digest.regions_.empty() || now < nextSyncAt_)
        return std::nullopt;
    Digest own;
    appendSummaries(own);
    for (const RegionSummary &summary : own.regions_) {
        const auto theirs
            = std::find_if(digest.regions_.begin(), digest.regions_.end(),
                           [&](const RegionSummary &r) { return r.region_ == summary.region_; });
        const bool isEqual = theirs != digest.regions_.end() && theirs->hash_ == summary.hash_;
        // A change still on its way is no reason to send a whole table.
        const bool isSettled
            = now - table_.regionChangedAt(summary.region_) > 3 * settings_.probePeriod_;
        if (isEqual || !isSettled)
            continue;
        nextSyncAt_ = now + settings_.syncPeriod_;
        return summary.region_;
    }
    return std::nullopt;
}

void Membership::changed(const MemberEntry &entry)
{
    updates_.add(entry.id_, clock_.now());
    isScopeStale_ = true;
    if (onChange_)
        onChange_(entry);
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
    // Only members of the region suspect each other, so only they need time to hear of it.
    const double factor = settings_.suspicionFactor_ * sizeFactor(regionSize_);
    return std::chrono::duration_cast<Duration>(factor * settings_.probePeriod_);
}

std::uint32_t Membership::retransmits() const
{
    const double factor = settings_.retransmitFactor_ * sizeFactor(table_.aliveCount());
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
