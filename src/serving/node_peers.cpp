// What entry VMs tell each other: digests, sums, alarms, and who is alive.
#include <cardamombay/serving/node.hpp>

#include "serving/log_events.hpp"

#include <cardamombay/log/log.hpp>

#include <algorithm>
#include <utility>

namespace cardamombay::serving {

namespace {

/// Entries of the roster that one sum carries; whole rosters make bursts of which a small link
/// drops the end.
constexpr std::size_t rosterPage = 8;

/// A peer that is not heard of for that long no longer counts; it is back with its next digest.
constexpr Duration peerLifetime = std::chrono::seconds(6);

/// Between two listings of the peers by an entry VM that hears of few; a call costs.
constexpr Duration lostPeersPause = std::chrono::seconds(4);

/// Between two reports where endpoints end one after the other. A domain that fails ends dozens in
/// a few milliseconds, and a reporter's sums for all members with each would fill its link.
constexpr Duration leastReportGap = std::chrono::milliseconds(40);

/// Time over which the demand is smoothed; a group takes some seconds to form.
constexpr double demandMemorySeconds = 4;

} // namespace

void Node::tickDigest()
{
    const auto now = parts_.clock_.now();
    const double seconds = std::max(0.001, toSeconds(now - std::exchange(demandAt_, now)));
    const double weight = std::min(1.0, seconds / demandMemorySeconds);
    const auto asked = parts_.gateway_.takeDemand();
    for (const auto &[model, work] : asked)
        ownDemand_.emplace(model, 0);
    for (auto &[model, demand] : ownDemand_) {
        const auto found = asked.find(model);
        const double rate = found == asked.end() ? 0 : found->second / seconds;
        demand += (rate - demand) * weight;
    }
    parts_.gateway_.poisonPills().expire(now);
    if (arePeersOther_)
        peersChanged();
    report(now);
    forgetSilent(now);
    chooseWatches(now);
    lookForPeers(now);
    parts_.gateway_.setOthersRepeats(othersRepeats());
    parts_.clock_.schedule(digestPeriod, [this, alive = std::weak_ptr(isAlive_)] {
        if (!alive.expired())
            tickDigest();
    });
}

LoadDigest Node::ownDigest(TimePoint now)
{
    LoadDigest digest;
    digest.from_ = settings_.entry_;
    digest.address_ = settings_.digests_;
    digest.zone_ = settings_.zone_;
    digest.capacity_ = settings_.capacity();
    digest.stamp_ = {settings_.incarnation_, readingOf(now)};
    digest.underWay_ = parts_.loadTracker_.ownRequestCounts();
    digest.sent_ = parts_.loadTracker_.ownSentTokens(now);
    digest.silent_ = parts_.loadTracker_.locallyStalled();
    digest.heard_ = parts_.loadTracker_.locallyActive(now);
    digest.demand_ = ownDemand_;
    digest.repeats_ = parts_.gateway_.repeatCounts(now);
    digest.poison_ = parts_.gateway_.poisonPills().news(now);
    auto &reservations = parts_.gateway_.reservations();
    digest.limits_ = parts_.gateway_.limits().updates(
        now, [&reservations](const EndpointIncarnation &endpoint) {
            return reservations.owns(endpoint);
        });
    digest.cooldowns_ = parts_.gateway_.notices().updates(now);
    digest.endpoints_ = endpointWatch_.version();
    digest.isDraining_ = isLeaving_;
    if (isWatching_ && areEndpointsListed_)
        digest.relay_ = relayState(now);
    return digest;
}

void Node::tellAll(const LoadDigest &digest)
{
    const auto text = encode(digest);
    for (const auto &[entry, peer] : peers_)
        parts_.datagrams_.send(peer.address_, text);
}

/// Tells all peers directly, or in a large fleet the reporter of the zone.
void Node::report(TimePoint now)
{
    reportedAt_ = now;
    hasCrashNews_ = false;
    hub_.expire(now);
    auto digest = ownDigest(now);
    if (!reporters_.areNeeded()) {
        setReporter(std::nullopt, false);
        tellAll(digest);
        return;
    }
    reporters_.check(now);
    const auto reporter = reporters_.own(now);
    setReporter(reporter, true);
    if (!reporter)
        hub_.take(digest, now);
    else if (const auto found = peers_.find(*reporter); found != peers_.end())
        parts_.datagrams_.send(found->second.address_, encode(digest));
    told_ = std::move(digest);
    sendSums(now);
}

/// What peers told in another arrangement of the fleet would be counted twice.
void Node::setReporter(const std::optional<EntryId> &reporter, bool isNeeded)
{
    const bool isSame = reporter_ == reporter && hasReporters_ == isNeeded;
    if (isSame)
        return;
    reporter_ = reporter;
    hasReporters_ = isNeeded;
    reportsSince_ = parts_.clock_.now();
    setBudget(isNeeded);
    parts_.loadTracker_.forgetPeers();
    sums_.clear();
    for (auto &[entry, peer] : peers_) {
        peer.demand_.clear();
        peer.repeats_.clear();
    }
    log::info(event::reporterChanged, {{"reporter", reporter_  ? reporter_->text()
                                                    : isNeeded ? "self"
                                                               : "none"},
                                       {"peers", std::to_string(peers_.size())}});
}

/// Sums go to the reporters of the other zones and to those who report here.
void Node::sendSums(TimePoint now)
{
    const auto members = hub_.members();
    if (members.empty() && reporter_)
        return;
    ++sumsSent_;
    auto zone = hub_.zoneSummary(now);
    zone.roster_ = pageOf(hub_.roster(false, now));
    zone.rosterTotal_ = statedTotal(settings_.zone_, now);
    const auto zoneText = encode(zone);
    for (const auto &entry : reporters_.others(now)) {
        if (const auto found = peers_.find(entry); found != peers_.end())
            parts_.datagrams_.send(found->second.address_, zoneText);
    }
    if (members.empty())
        return;
    auto fleet = hub_.fleetSummary(now);
    fleet.roster_ = pageOf(hub_.roster(true, now));
    fleet.rosterTotal_ = statedTotal({}, now);
    const auto fleetText = encode(fleet);
    // What does not fit into the link's queue is lost; not always to the same ones.
    for (std::size_t i = 0; i < members.size(); ++i)
        parts_.datagrams_.send(members[(i + sumsSent_) % members.size()].address_, fleetText);
}

/// A few entries at a time, so that sums stay small; all of them in turn.
std::vector<PeerSeat> Node::pageOf(std::vector<PeerSeat> roster) const
{
    if (roster.size() <= rosterPage)
        return roster;
    std::vector<PeerSeat> page;
    for (std::size_t i = 0; i < rosterPage; ++i)
        page.push_back(roster[(sumsSent_ * rosterPage + i) % roster.size()]);
    return page;
}

void Node::summaryArrived(LoadSummary summary)
{
    const auto now = parts_.clock_.now();
    ageRelay(summary.sum_, now);
    parts_.gateway_.takePoisonNews(summary.sum_.poison_);
    parts_.gateway_.limits().take(summary.sum_.limits_, now);
    parts_.gateway_.notices().take(summary.sum_.cooldowns_, now);
    const auto &from = summary.sum_.from_;
    meet({from, summary.sum_.address_, summary.sum_.zone_, summary.sum_.capacity_}, now);
    for (const auto &seat : summary.roster_)
        meet(seat, now);
    followRoster(summary, now);
    if (summary.sum_.relay_)
        followRelay(*summary.sum_.relay_, summary.sum_.address_, now);
    if (summary.isOfZone_) {
        hub_.take(summary, now);
        if (hasReporters_ && !reporter_)
            takeLoad(from, summary.sum_, entriesIn(summary.sum_.zone_), now);
        return;
    }
    reporters_.heard(from, now);
    if (reporter_ == from)
        takeLoad(from, fleet_.others(summary, told_), peers_.size(), now);
}

/// News of several entry VMs.
void Node::takeLoad(const EntryId &from, LoadDigest sum, std::size_t entries, TimePoint now)
{
    sums_[from] = {std::move(sum.demand_), std::move(sum.repeats_), now};
    parts_.loadTracker_.setPeerLoad(from.text(),
                                    {std::move(sum.underWay_), std::move(sum.sent_),
                                     std::move(sum.silent_), now, entries, std::move(sum.heard_)});
}

std::size_t Node::entriesIn(const AvailabilityZone &zone) const
{
    return static_cast<std::size_t>(
        std::count_if(peers_.begin(), peers_.end(),
                      [&zone](const auto &one) { return one.second.zone_ == zone; }));
}

std::map<ServiceName, RepeatCounts> Node::othersRepeats() const
{
    std::map<ServiceName, RepeatCounts> result;
    const auto add = [&result](const std::map<ServiceName, RepeatCounts> &counts) {
        for (const auto &[service, one] : counts) {
            result[service].requests_ += one.requests_;
            result[service].repeats_ += one.repeats_;
        }
    };
    for (const auto &[entry, sum] : sums_)
        add(sum.repeats_);
    if (reporter_)
        return result; // The reporter's sums hold all peers.
    for (const auto &[entry, peer] : peers_)
        add(peer.repeats_);
    return result;
}

void Node::datagramArrived(std::string_view text)
{
    if (auto digest = decodeLoadDigest(text))
        digestArrived(*std::move(digest));
    else if (parts_.gateway_.reservations().take(text))
        return;
    else if (auto summary = decodeLoadSummary(text))
        summaryArrived(*std::move(summary));
    else if (const auto wanted = decodeConfigurationWanted(text))
        exchange_.answer(*wanted, budget_, parts_.clock_.now());
    else if (const auto part = decodeConfigurationPart(text))
        partArrived(*part);
    else if (const auto alarm = decodeSilenceAlarm(text))
        alarmArrived(*alarm);
    else if (const auto question = decodeRosterQuestion(text))
        rosterAsked(*question);
    else if (const auto roster = decodeRosterAnswer(text))
        rosterArrived(*roster);
    else if (const auto relay = decodeEndpointRelay(text))
        relayArrived(*relay);
    else if (const auto clock = decodeClockQuestion(text))
        clockAsked(*clock);
    else if (const auto answer = decodeClockAnswer(text))
        clocks_.take(*answer, parts_.clock_.now());
}

/// Notes that a peer is alive.
/// \returns false if it is this entry VM or one that has left just now.
bool Node::meet(const PeerSeat &seat, TimePoint now)
{
    const auto left = leftAt_.find(seat.entry_);
    const bool hasLeft = left != leftAt_.end() && now - left->second < peerLifetime;
    if (seat.entry_ == settings_.entry_ || seat.address_.ip_.empty() || hasLeft)
        return false;
    auto &peer = peers_[seat.entry_];
    const bool isChanged = peer.address_ != seat.address_ || peer.zone_ != seat.zone_
                           || peer.capacity_ != seat.capacity_;
    peer.address_ = seat.address_;
    peer.zone_ = seat.zone_;
    peer.capacity_ = seat.capacity_;
    peer.heardAt_ = now;
    if (isChanged)
        notePeersChanged();
    return true;
}

void Node::digestArrived(LoadDigest digest)
{
    const auto now = parts_.clock_.now();
    if (digest.isDraining_) {
        leftAt_[digest.from_] = now;
        if (peers_.erase(digest.from_) > 0)
            notePeersChanged();
        return;
    }
    leftAt_.erase(digest.from_);
    if (!meet({digest.from_, digest.address_, digest.zone_, digest.capacity_}, now))
        return;
    parts_.gateway_.reservations().heard(digest.from_);
    ageRelay(digest, now);
    parts_.gateway_.takePoisonNews(digest.poison_);
    parts_.gateway_.limits().take(digest.limits_, now);
    parts_.gateway_.notices().take(digest.cooldowns_, now);
    if (digest.relay_)
        followRelay(*digest.relay_, digest.address_, now);
    if (hasReporters_) {
        hub_.take(digest, now);
        if (auto missed = history_.after(digest.endpoints_))
            passOn(*std::move(missed), {digest.address_});
    }
    if (hasReporters_ && reporter_)
        return; // The reporter's sums hold it.
    auto &peer = peers_[digest.from_];
    peer.demand_ = std::move(digest.demand_);
    peer.repeats_ = std::move(digest.repeats_);
    parts_.loadTracker_.setPeerLoad(digest.from_.text(),
                                    {std::move(digest.underWay_), std::move(digest.sent_),
                                     std::move(digest.silent_), now, 1, std::move(digest.heard_)});
}

/// A lost engine holds up all streams of its group, so the planner is told at once; by digests it
/// would know 0.2 s later.
void Node::tellSilence()
{
    auto silent = parts_.loadTracker_.locallyStalled();
    std::sort(silent.begin(), silent.end());
    const bool isNew
        = !std::includes(alarmed_.begin(), alarmed_.end(), silent.begin(), silent.end());
    alarmed_ = std::move(silent);
    if (!isNew)
        return;
    const auto text = encode(SilenceAlarm{settings_.entry_, alarmed_});
    for (const auto &entry : planners_) {
        if (const auto found = peers_.find(entry); found != peers_.end())
            parts_.datagrams_.send(found->second.address_, text);
    }
}

/// The sooner peers know what was under way at an endpoint that ended, the fewer end under it.
void Node::tellCrashes()
{
    const auto now = parts_.clock_.now();
    if (hasCrashNews_ && now - reportedAt_ >= leastReportGap)
        report(now);
}

/// Holds until the digests or sums of the same entry VM have told it too.
void Node::alarmArrived(const SilenceAlarm &alarm)
{
    LoadTracker::PeerLoad load;
    load.silent_ = alarm.silent_;
    load.at_ = parts_.clock_.now();
    load.entries_ = 0;
    parts_.loadTracker_.setPeerLoad("alarm of " + alarm.from_.text(), std::move(load));
    tickPlan();
}

/// At a first start the entry VMs that started later are listed by then. One that has lost sight of
/// most peers lists them anew: without them nobody would tell it anything.
void Node::lookForPeers(TimePoint now)
{
    mostPeers_ = std::max(mostPeers_, peers_.size());
    const bool isFirst = settings_.isFirstStart_ && peersListedAt_ == TimePoint{};
    const bool isDue
        = isFirst ? now - startedAt_ > startPhase
                  : peers_.size() * 2 < mostPeers_ && now - peersListedAt_ > lostPeersPause;
    if (!isDue)
        return;
    peersListedAt_ = now;
    mostPeers_ = peers_.size();
    peerWatch_.start();
}

/// Peers and sums that were not heard of lately no longer count.
void Node::forgetSilent(TimePoint now)
{
    std::erase_if(sums_, [now](const auto &one) { return now - one.second.at_ > peerLifetime; });
    // While the reporter knows the same peers none of them can be silent.
    const auto fleet = rosterFollows_.find({});
    if (reporter_ && fleet != rosterFollows_.end()
        && now - fleet->second.confirmedAt_ <= peerLifetime)
        return;
    const auto forgotten = std::erase_if(peers_, [this, now](const auto &one) {
        return now - one.second.heardAt_ > peerLifetime
               && now - lastWordOf(one.second) > peerLifetime;
    });
    if (forgotten > 0)
        notePeersChanged();
}

} // namespace cardamombay::serving
