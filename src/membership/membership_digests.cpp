// Creation and processing of digests.
#include <cardamombay/membership/membership.hpp>

#include <algorithm>
#include <utility>

namespace cardamombay::membership {

Digest Membership::handle(const Digest &incoming)
{
    detectPause();
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
    handleReachRequests(incoming);
    const auto differing = differingRegion(incoming);
    const bool hasRegionSummaries = !incoming.regions_.empty();
    const Channel channel = hasRegionSummaries ? channelTo(incoming.from_) : Channel::Scope;
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
        // A member that is considered suspect or dead can refute it only after hearing of it.
        const Member *member = table_.find(to);
        if (member != nullptr && member->entry_.status_ != MemberStatus::Alive)
            digest.members_.push_back(member->entry_);
        else if (member != nullptr)
            appendClearedSuspicion(digest, member->entry_);
    }
    appendUpdates(digest, channel);
    if (channel != Channel::Scope)
        appendSummaries(digest);
    if (hasPayload && source_ && !to.isEmpty())
        source_(digest, to);
    return digest;
}

void Membership::appendClearedSuspicion(Digest &digest, const MemberEntry &entry)
{
    const auto found = clearedSuspicions_.find(entry.id_);
    if (found == clearedSuspicions_.end())
        return;
    if (entry.incarnation_ > found->second) {
        clearedSuspicions_.erase(found);
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
    applyReachReports(digest, madeAfter);
    if (!madeAfter)
        return;
    mergeSiteSummaries(digest, *madeAfter);
    deliverPayload(digest, *madeAfter);
}

void Membership::noteHeard(const EntryId &id, Incarnation incarnation, TimePoint when)
{
    if (!table_.heard(id, incarnation, when, clock_.now()))
        return;
    const Member *member = table_.find(id);
    // The suspicion may have spread to members without evidence of their own. Only the suspected
    // member can refute it there, so it is told of the suspicion in later digests.
    clearedSuspicions_[id] = member->entry_.incarnation_;
    notifyChanged(member->entry_);
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
        notifyChanged(report);
}

void Membership::refute(const MemberEntry &report)
{
    const bool isFromPreviousRun = report.incarnation_ > self_.incarnation_;
    const bool isReportedNotAlive
        = report.status_ != MemberStatus::Alive && report.incarnation_ == self_.incarnation_;
    if (self_.status_ == MemberStatus::Left || (!isFromPreviousRun && !isReportedNotAlive))
        return;
    ++counters_.refutations_;
    self_.incarnation_ = report.incarnation_.next();
    updates_.add(self_.id_, clock_.now());
    flushSoon();
}

void Membership::applyReachReports(const Digest &digest, std::optional<TimePoint> madeAfter)
{
    if (!madeAfter)
        return;
    for (const ReachReport &report : digest.reachReports_) {
        noteHeard(report.target_, report.incarnation_, *madeAfter - report.age_);
    }
}

void Membership::mergeSiteSummaries(const Digest &digest, TimePoint madeAfter)
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

void Membership::deliverPayload(const Digest &digest, TimePoint madeAfter)
{
    if (!sink_)
        return;
    const Duration transitTime = clock_.now() - madeAfter;
    Digest adjusted = digest;
    if (adjusted.watch_)
        adjusted.watch_->age_ += transitTime;
    for (ObservationEntry &observation : adjusted.observations_)
        observation.age_ += transitTime;
    for (GoneEntry &gone : adjusted.gone_)
        gone.age_ += transitTime;
    for (LeavingEntry &leaving : adjusted.leaving_)
        leaving.age_ += transitTime;
    sink_(adjusted);
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
        // A recent change may still be spreading, which does not justify a full table transfer.
        const bool isSettled
            = now - table_.regionChangedAt(summary.region_) > 3 * settings_.probePeriod_;
        if (isEqual || !isSettled)
            continue;
        nextSyncAt_ = now + settings_.syncPeriod_;
        return summary.region_;
    }
    return std::nullopt;
}

void Membership::notifyChanged(const MemberEntry &entry)
{
    updates_.add(entry.id_, clock_.now());
    isScopeStale_ = true;
    if (onChange_)
        onChange_(entry);
}

} // namespace cardamombay::membership
