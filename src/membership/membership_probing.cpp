// Target selection for outgoing digests, and failure detection.
#include <cardamombay/membership/membership.hpp>

#include <algorithm>
#include <iterator>
#include <utility>

namespace cardamombay::membership {

void Membership::startDueExchanges()
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
        const bool isInitiatedHere = !isScope(id) || isInitiator(id);
        // If the peer is the initiator, exchange only after it has been silent for too long.
        const Duration silenceLimit = isInitiatedHere
                                          ? Duration::zero()
                                          : settings_.exchangePeriod_ + settings_.probeTimeout_;
        const bool isSilent = now - member->heardAt_ >= silenceLimit;
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
    // Members purged from the table during a long partition are found again through the seeds.
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
    // Until a peer answers, all seeds are contacted once per probe period.
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
    const bool isSilentInOwnRegion = isSilent && member->entry_.region_ == self_.region_;
    if (isSilentInOwnRegion && !other.isIndirect_) {
        other.isIndirect_ = true;
        other.probeDeadline_ = now + settings_.indirectTimeout_;
        probeIndirectly(id);
        return;
    }
    probed_.erase(id);
    if (!isSilentInOwnRegion || !table_.suspect(id, now))
        return;
    ++counters_.suspicions_;
    notifyChanged(member->entry_);
}

void Membership::checkSuspicions()
{
    const TimePoint now = clock_.now();
    const Duration timeout = suspicionTimeout();
    std::vector<EntryId> timedOut;
    for (const EntryId &id : table_.suspects()) {
        const Member &member = *table_.find(id);
        if (member.entry_.region_ != self_.region_)
            continue;
        const Duration held = now - member.statusSince_;
        if (held >= timeout)
            timedOut.push_back(id);
        // At half the timeout the suspect is contacted directly, so that no member is declared dead
        // on reports of others alone.
        else if (held >= timeout / 2 && peer(id).lastContactedAt_ < member.statusSince_)
            send(member, Channel::Region, false);
    }
    for (const EntryId &id : timedOut) {
        if (!table_.declareDead(id, now))
            continue;
        ++counters_.deaths_;
        notifyChanged(table_.find(id)->entry_);
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
    other.lastContactedAt_ = now;
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
                                onExchangeDone(sent, result);
                        });
}

void Membership::onExchangeDone(const SentDigest &sent, const Result<Digest> &result)
{
    detectPause();
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
    if (sent.at_ >= resumedAt_)
        isAwaitingPeers_ = false;
    receive(answer, sent.at_);
    sendDifferingTable(answer);
}

void Membership::sendDifferingTable(const Digest &answer)
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

void Membership::handleReachRequests(const Digest &digest)
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
                onExchangeDone(sent, result);
                const auto waiting = reachRequesters_.extract(sent.target_);
                if (waiting.empty() || !isOk(result) || valueOf(result).from_.id_ != sent.target_)
                    return;
                for (const EntryId &requester : waiting.mapped()) {
                    const Member *requesterMember = table_.find(requester);
                    if (requesterMember == nullptr)
                        continue;
                    Digest report = makeDigest(requester, Channel::Region, false);
                    report.reachReports_.push_back(ReachReport{
                        sent.target_, valueOf(result).from_.incarnation_, clock_.now() - sent.at_});
                    const SentDigest reportSent{requester, report.sequence_, clock_.now(), false};
                    sendDigest(requesterMember->entry_.address_, std::move(report), reportSent);
                }
            });
    }
}

} // namespace cardamombay::membership
