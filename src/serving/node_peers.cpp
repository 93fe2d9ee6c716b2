// Communication between entry VMs: load digests, sums, alarms and peer liveness.
#include <cardamombay/serving/node.hpp>

#include "serving/log_events.hpp"

#include <cardamombay/log/log.hpp>

#include <algorithm>
#include <utility>

namespace cardamombay::serving {

namespace {

/// Roster entries per sum. Whole rosters cause bursts whose end a small link drops.
constexpr std::size_t rosterPageSize = 8;

/// A peer that sent nothing for that long is dropped; its next digest adds it again.
constexpr Duration peerLifetime = std::chrono::seconds(6);

/// Interval at which an entry VM that has lost most of its peers lists them again; each listing is
/// a call to the store.
constexpr Duration peerRelistInterval = std::chrono::seconds(4);

/// Interval between probes of lost peers. A fleet that shrank for good probes as long as the rows
/// of the others stay in the table, at 1.2 KB/s.
constexpr Duration probeInterval = std::chrono::milliseconds(200);

/// An entry VM that has kept less than this part of its peers counts as isolated. Zones that are
/// cut off from each other keep more, with up to seven zones.
constexpr std::size_t isolationDivisor = 8;

/// Lost peers that get every other probe; with two large entry VMs in each of four zones, these.
constexpr std::size_t firstProbed = 8;

/// Time constant for smoothing the demand; forming a group takes some seconds.
constexpr double demandSmoothingSeconds = 4;

} // namespace

void Node::tickDigest()
{
    const auto now = parts_.clock_.now();
    const double seconds = std::max(0.001, toSeconds(now - std::exchange(demandAt_, now)));
    const double weight = std::min(1.0, seconds / demandSmoothingSeconds);
    const auto asked = parts_.gateway_.takeDemand();
    for (const auto &[model, work] : asked)
        ownDemand_.emplace(model, 0);
    for (auto &[model, demand] : ownDemand_) {
        const auto found = asked.find(model);
        const double rate = found == asked.end() ? 0 : found->second / seconds;
        demand += (rate - demand) * weight;
    }
    parts_.gateway_.poisonPills().expire(now);
    updateOverload(now, fromSeconds(seconds));
    logAvoidedEndpoints(now);
    expirePartitions(now);
    if (havePeersChanged_)
        peersChanged();
    report(now);
    dropSilentPeers(now);
    chooseWatches(now);
    relistPeersIfDue(now);
    probeLostPeer(now);
    updateReservePart(now);
    parts_.gateway_.retries().setPeerCounts(peerRetries(), oldestPeerRetries(now));
    parts_.clock_.schedule(digestPeriod, [this, alive = std::weak_ptr(isAlive_)] {
        if (!alive.expired())
            tickDigest();
    });
}

/// A digest without load.
LoadDigest Node::emptyDigest(TimePoint now) const
{
    LoadDigest digest;
    digest.from_ = settings_.entry_;
    digest.address_ = settings_.digests_;
    digest.zone_ = settings_.zone_;
    digest.capacity_ = settings_.capacity();
    digest.stamp_ = {settings_.incarnation_, readingOf(now)};
    digest.endpoints_ = endpointWatch_.version();
    return digest;
}

LoadDigest Node::ownDigest(TimePoint now)
{
    auto digest = emptyDigest(now);
    digest.underWay_ = parts_.loadTracker_.ownRequestCounts();
    digest.sent_ = parts_.loadTracker_.ownSentTokens(now);
    digest.silent_ = parts_.loadTracker_.locallyStalled();
    digest.heard_ = parts_.loadTracker_.locallyActive(now);
    digest.failing_ = parts_.loadTracker_.locallyFailing(now);
    if (parts_.gateway_.paths().isPartitionedFromAny())
        digest.partitioned_ = {settings_.entry_};
    digest.inquired_ = parts_.gateway_.paths().unconfirmed();
    digest.witnessed_ = parts_.loadTracker_.locallyWitnessed(now);
    digest.demand_ = ownDemand_;
    digest.retries_ = parts_.gateway_.retries().counts();
    digest.quota_ = dueQuotaReport(now);
    digest.overload_ = parts_.gateway_.overloadDemand(namesTeams());
    digest.poison_ = parts_.gateway_.poisonPills().pendingUpdate(now);
    auto &reservations = parts_.gateway_.reservations();
    digest.limits_ = parts_.gateway_.limits().updates(
        now, [&reservations](const EndpointIncarnation &endpoint) {
            return reservations.owns(endpoint);
        });
    digest.cooldowns_ = parts_.gateway_.notices().updates(now);
    digest.isDraining_ = isLeaving_;
    if (isWatching_ && areEndpointsListed_)
        digest.relay_ = relayState(now);
    return digest;
}

void Node::broadcast(const LoadDigest &digest)
{
    const auto text = encode(digest);
    for (const auto &[entry, peer] : peers_)
        parts_.datagrams_.send(peer.address_, text);
}

/// Sends the digest to all peers or, in a large fleet, to the reporter of the zone.
void Node::report(TimePoint now)
{
    reportedAt_ = now;
    ++digestsSent_;
    hasUnreportedCrash_ = false;
    hub_.expire(now);
    auto digest = ownDigest(now);
    if (!reporters_.areNeeded()) {
        setReporter(std::nullopt, false);
        broadcast(digest);
        return;
    }
    reporters_.check(now);
    const auto reporter = reporters_.own(now);
    setReporter(reporter, true);
    if (!reporter)
        hub_.take(digest, now);
    else if (const auto found = peers_.find(*reporter); found != peers_.end())
        parts_.datagrams_.send(found->second.address_, encode(digest));
    lastDigest_ = std::move(digest);
    sendSums(now);
}

/// Drops the load received so far, since peers' load that arrived by the previous path would be
/// counted twice.
void Node::setReporter(const std::optional<EntryId> &reporter, bool isNeeded)
{
    const bool isSame = reporter_ == reporter && hasReporters_ == isNeeded;
    if (isSame)
        return;
    reporter_ = reporter;
    hasReporters_ = isNeeded;
    reportsSince_ = parts_.clock_.now();
    setPropagationBudget(isNeeded);
    parts_.loadTracker_.forgetPeers();
    sums_.clear();
    for (auto &[entry, peer] : peers_) {
        peer.demand_.clear();
        peer.retries_.clear();
        peer.overload_.clear();
    }
    log::info(event::reporterChanged, {{"reporter", reporter_  ? reporter_->text()
                                                    : isNeeded ? "self"
                                                               : "none"},
                                       {"peers", std::to_string(peers_.size())}});
}

/// Sends sums to the reporters of the other zones and to the members that report here.
void Node::sendSums(TimePoint now)
{
    const auto members = hub_.members();
    if (members.empty() && reporter_)
        return;
    ++sumsSent_;
    auto zone = hub_.zoneSummary(now);
    if (!namesTeams())
        overload::dropTeams(zone.sum_.overload_);
    pagePartitioned(zone.sum_);
    zone.roster_ = rosterPageOf(hub_.roster(false, now));
    zone.rosterTotal_ = authoritativeTotal(settings_.zone_, now);
    const auto zoneText = encode(zone);
    for (const auto &entry : reporters_.others(now)) {
        if (const auto found = peers_.find(entry); found != peers_.end())
            parts_.datagrams_.send(found->second.address_, zoneText);
    }
    if (members.empty())
        return;
    auto fleet = hub_.fleetSummary(now);
    if (!namesTeams())
        overload::dropTeams(fleet.sum_.overload_);
    pagePartitioned(fleet.sum_);
    fleet.roster_ = rosterPageOf(hub_.roster(true, now));
    // A member that lost sums may report here, and know only what was heard here while this entry
    // VM took itself for the reporter. It finds back to the reporter only if told of it.
    if (const auto found = reporter_ ? peers_.find(*reporter_) : peers_.end();
        found != peers_.end())
        fleet.roster_.push_back(
            {found->first, found->second.address_, found->second.zone_, found->second.capacity_});
    fleet.rosterTotal_ = authoritativeTotal({}, now);
    const auto fleetText = encode(fleet);
    // The link's queue drops what exceeds it; rotating the order spreads the losses over all
    // members.
    for (std::size_t i = 0; i < members.size(); ++i)
        parts_.datagrams_.send(members[(i + sumsSent_) % members.size()].address_, fleetText);
}

/// The next few roster entries, so that sums stay small; successive sums cycle through the whole
/// roster.
std::vector<PeerInfo> Node::rosterPageOf(std::vector<PeerInfo> roster) const
{
    if (roster.size() <= rosterPageSize)
        return roster;
    std::vector<PeerInfo> page;
    for (std::size_t i = 0; i < rosterPageSize; ++i)
        page.push_back(roster[(sumsSent_ * rosterPageSize + i) % roster.size()]);
    return page;
}

void Node::onSummary(LoadSummary summary)
{
    const auto now = parts_.clock_.now();
    addTransitTime(summary.sum_, now);
    parts_.gateway_.takePoisonUpdate(summary.sum_.poison_);
    parts_.gateway_.limits().take(summary.sum_.limits_, now);
    parts_.gateway_.notices().take(summary.sum_.cooldowns_, now);
    notePartitioned(summary.sum_, now);
    const auto &from = summary.sum_.from_;
    meet({from, summary.sum_.address_, summary.sum_.zone_, summary.sum_.capacity_}, now);
    for (const auto &peerInfo : summary.roster_)
        meet(peerInfo, now);
    compareRoster(summary, now);
    if (summary.sum_.relay_)
        applyRelayState(*summary.sum_.relay_, summary.sum_.address_, now);
    if (summary.isOfZone_) {
        reporters_.heardZone(summary.sum_.zone_, from, now);
        hub_.take(summary, now);
        if (hasReporters_ && !reporter_)
            recordLoad(from, summary.sum_, entriesIn(summary.sum_.zone_), now);
        return;
    }
    reporters_.heard(from, now);
    if (reporter_ == from)
        recordLoad(from, fleet_.others(summary, lastDigest_), peers_.size(), now);
}

/// Records the load of several entry VMs, received in one sum.
void Node::recordLoad(const EntryId &from, LoadDigest sum, std::size_t entries, TimePoint now)
{
    const auto isForged = [entries](const auto &one) { return one.second > entries; };
    logIgnoredReports(from, static_cast<std::size_t>(
                                std::count_if(sum.failing_.begin(), sum.failing_.end(), isForged)));
    auto &known = sums_[from];
    overload::keepTeams(sum.overload_, known.overload_);
    known = {std::move(sum.demand_), std::move(sum.retries_), std::move(sum.overload_), now};
    parts_.loadTracker_.setPeerLoad(
        from.text(), {std::move(sum.underWay_), std::move(sum.sent_), std::move(sum.silent_), now,
                      entries, std::move(sum.heard_), std::move(sum.failing_),
                      std::move(sum.inquired_), std::move(sum.witnessed_)});
}

std::size_t Node::entriesIn(const AvailabilityZone &zone) const
{
    return static_cast<std::size_t>(
        std::count_if(peers_.begin(), peers_.end(),
                      [&zone](const auto &one) { return one.second.zone_ == zone; }));
}

void Node::onDatagram(std::string_view text)
{
    if (auto digest = decodeLoadDigest(text))
        onDigest(*std::move(digest));
    else if (parts_.gateway_.reservations().take(text)
             || parts_.gateway_.overload().returns().take(text)
             || parts_.gateway_.retries().exchange().take(text))
        return;
    else if (auto summary = decodeLoadSummary(text))
        onSummary(*std::move(summary));
    else if (const auto wanted = decodeConfigurationRequest(text))
        exchange_.answer(*wanted, sendBudget_, parts_.clock_.now());
    else if (const auto part = decodeConfigurationPart(text))
        onConfigurationPart(*part);
    else if (const auto alarm = decodeSilenceAlarm(text))
        onSilenceAlarm(*alarm);
    else if (const auto question = decodeRosterQuestion(text))
        onRosterQuestion(*question);
    else if (const auto roster = decodeRosterAnswer(text))
        onRosterAnswer(*roster);
    else if (const auto relay = decodeEndpointRelay(text))
        onEndpointRelay(*relay);
    else if (const auto asked = decodeQuotaReportRequest(text))
        onQuotaReportRequest(*asked);
    else if (const auto counted = decodeQuotaReportAnswer(text))
        onQuotaReportAnswer(*counted);
    else if (const auto clock = decodeClockQuestion(text))
        onClockQuestion(*clock);
    else if (const auto answer = decodeClockAnswer(text))
        clocks_.take(*answer, parts_.clock_.now());
}

/// Records that a peer is alive.
/// \returns false if \p peerInfo is this entry VM, one that has just left, or one without an
/// address.
bool Node::meet(const PeerInfo &peerInfo, TimePoint now)
{
    const auto left = leftAt_.find(peerInfo.entry_);
    const bool hasLeft = left != leftAt_.end() && now - left->second < peerLifetime;
    if (peerInfo.entry_ == settings_.entry_ || peerInfo.address_.ip_.empty() || hasLeft)
        return false;
    auto &peer = peers_[peerInfo.entry_];
    const bool isChanged = peer.address_ != peerInfo.address_ || peer.zone_ != peerInfo.zone_
                           || peer.capacity_ != peerInfo.capacity_;
    peer.address_ = peerInfo.address_;
    peer.zone_ = peerInfo.zone_;
    peer.capacity_ = peerInfo.capacity_;
    peer.heardAt_ = now;
    if (isChanged)
        markPeersChanged();
    return true;
}

void Node::onDigest(LoadDigest digest)
{
    const auto now = parts_.clock_.now();
    if (digest.quota_)
        quotaHistory_.reported(digest.from_, digest.stamp_.since_, *std::move(digest.quota_), now);
    if (digest.isDraining_) {
        leftAt_[digest.from_] = now;
        peerLeft(digest.from_, now);
        return;
    }
    leftAt_.erase(digest.from_);
    if (!meet({digest.from_, digest.address_, digest.zone_, digest.capacity_}, now))
        return;
    // A single entry VM counts once, or a forged count would outweigh the others in sums.
    logIgnoredReports(digest.from_, std::erase_if(digest.failing_,
                                                  [](const auto &one) { return one.second != 1; }));
    parts_.gateway_.reservations().heard(digest.from_);
    addTransitTime(digest, now);
    notePartitioned(digest, now);
    parts_.gateway_.takePoisonUpdate(digest.poison_);
    parts_.gateway_.limits().take(digest.limits_, now);
    parts_.gateway_.notices().take(digest.cooldowns_, now);
    if (digest.relay_)
        applyRelayState(*digest.relay_, digest.address_, now);
    if (hasReporters_) {
        hub_.take(digest, now);
        if (auto missed = history_.after(digest.endpoints_))
            sendRelay(*std::move(missed), {digest.address_});
    }
    if (hasReporters_ && reporter_)
        return; // The reporter's sums include it.
    auto &peer = peers_[digest.from_];
    peer.demand_ = std::move(digest.demand_);
    peer.retries_ = std::move(digest.retries_);
    overload::keepTeams(digest.overload_, peer.overload_);
    peer.overload_ = std::move(digest.overload_);
    peer.overloadAt_ = now;
    parts_.loadTracker_.setPeerLoad(digest.from_.text(),
                                    {std::move(digest.underWay_), std::move(digest.sent_),
                                     std::move(digest.silent_), now, 1, std::move(digest.heard_),
                                     std::move(digest.failing_), std::move(digest.inquired_),
                                     std::move(digest.witnessed_)});
}

/// A failed engine blocks all streams of its group, so the planner candidates are alerted at once;
/// digests would take 0.2 s longer.
void Node::sendSilenceAlarm()
{
    auto silent = parts_.loadTracker_.locallyStalled();
    std::sort(silent.begin(), silent.end());
    const bool isNew = !std::includes(alarmedEndpoints_.begin(), alarmedEndpoints_.end(),
                                      silent.begin(), silent.end());
    alarmedEndpoints_ = std::move(silent);
    if (!isNew)
        return;
    const auto text = encode(SilenceAlarm{settings_.entry_, alarmedEndpoints_});
    for (const auto &entry : planners_) {
        if (const auto found = peers_.find(entry); found != peers_.end())
            parts_.datagrams_.send(found->second.address_, text);
    }
}

/// The sooner peers know which requests were in flight at an endpoint that ended, the fewer
/// endpoints the same request can end. What this process has spent of its quota is known to nobody
/// else once it has ended.
void Node::reportUrgent()
{
    const auto now = parts_.clock_.now();
    const bool isUrgent = hasUnreportedCrash_ || hasUnreportedRetries();
    if (isUrgent && now - reportedAt_ >= minReportInterval)
        report(now);
}

/// Expires like other load, by when digests or sums of the sender report the stalled endpoints too.
void Node::onSilenceAlarm(const SilenceAlarm &alarm)
{
    LoadTracker::PeerLoad load;
    load.silent_ = alarm.silent_;
    load.at_ = parts_.clock_.now();
    load.entries_ = 0;
    parts_.loadTracker_.setPeerLoad("alarm of " + alarm.from_.text(), std::move(load));
    tickPlan();
}

/// Lists the peers again. At the first start of the system this finds entry VMs that started later.
/// Later on it serves an entry VM that has lost most of its peers, to which nobody else might send
/// anything.
void Node::relistPeersIfDue(TimePoint now)
{
    maxPeers_ = std::max(maxPeers_, peers_.size());
    const bool isFirst = settings_.isFirstStart_ && peersListedAt_ == TimePoint{};
    const bool isDue
        = isFirst ? now - startedAt_ > startupPeriod
                  : peers_.size() * 2 < maxPeers_ && now - peersListedAt_ > peerRelistInterval;
    if (!isDue)
        return;
    peersListedAt_ = now;
    relistedFrom_ = isFirst ? 0 : maxPeers_;
    maxPeers_ = peers_.size();
    peerWatch_.start();
}

/// Rows of entry VMs that ended without leaving stay in the table. When an entry VM that still has
/// peers lists them again, those that it does not know are therefore probed before they count as
/// peers: otherwise they would be known for another peerLifetime, and be chosen as reporters. An
/// entry VM that has lost nearly all of its peers was probably suspended or cut off itself, and
/// takes the rows as they are: with few known peers it would claim duties that others have.
void Node::peersListed(const std::vector<platform::Row> &rows)
{
    const auto before = std::exchange(relistedFrom_, 0);
    const bool mustProbe = before > 0 && peers_.size() * isolationDivisor >= before;
    lostPeers_.clear();
    for (const auto &row : rows) {
        const auto info = peerInfoIn(row);
        if (!mustProbe)
            applyPeerRow({row, false});
        else if (info && info->entry_ != settings_.entry_ && !peers_.contains(info->entry_))
            lostPeers_.push_back(*info);
    }
    std::stable_sort(lostPeers_.begin(), lostPeers_.end(),
                     [](const PeerInfo &left, const PeerInfo &right) {
                         return left.capacity_ > right.capacity_;
                     });
}

/// Sends one lost peer a digest without load, which makes a live one send its sums for a while.
/// Every other probe goes to the largest, among which the reporters are.
void Node::probeLostPeer(TimePoint now)
{
    std::erase_if(lostPeers_,
                  [this](const PeerInfo &lost) { return peers_.contains(lost.entry_); });
    if (lostPeers_.empty() || now - probedAt_ < probeInterval)
        return;
    probedAt_ = now;
    ++probesSent_;
    const auto choices
        = probesSent_ % 2 == 0 ? lostPeers_.size() : std::min(lostPeers_.size(), firstProbed);
    parts_.datagrams_.send(lostPeers_[probesSent_ / 2 % choices].address_,
                           encode(emptyDigest(now)));
}

/// Drops peers and sums that were not updated lately.
void Node::dropSilentPeers(TimePoint now)
{
    std::erase_if(sums_, [now](const auto &one) { return now - one.second.at_ > peerLifetime; });
    // As long as the reporter has the same peers, none of them can be silent.
    const auto fleet = rosterComparisons_.find({});
    if (reporter_ && fleet != rosterComparisons_.end()
        && now - fleet->second.confirmedAt_ <= peerLifetime)
        return;
    const auto forgotten = std::erase_if(peers_, [this, now](const auto &one) {
        return now - one.second.heardAt_ > peerLifetime
               && now - lastConfirmedAt(one.second) > peerLifetime;
    });
    if (forgotten > 0)
        markPeersChanged();
}

} // namespace cardamombay::serving
