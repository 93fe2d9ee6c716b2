// Keeps the known peers in step in a fleet whose full roster is too large to send, by comparing
// hashes of the rosters.
#include <cardamombay/serving/node.hpp>

#include "serving/log_events.hpp"

#include <cardamombay/log/log.hpp>
#include <cardamombay/serving/roster.hpp>

#include <algorithm>

namespace cardamombay::serving {

namespace {

/// A process that has just started may know few others, and doesn't report a roster for that long.
constexpr Duration fleetDiscoveryTime = std::chrono::seconds(2);
/// Within that time all entry VMs of its zone have sent a new reporter several digests.
constexpr Duration zoneDiscoveryTime = std::chrono::seconds(1);
/// Peers that are new on either side are discovered by digests within that time, without a query.
constexpr Duration rosterQueryDelay = std::chrono::milliseconds(300);
/// Minimum interval between queries; an answer takes some milliseconds unless it is lost.
constexpr Duration rosterQueryInterval = std::chrono::milliseconds(500);

} // namespace

/// \param zone empty for the whole fleet.
std::vector<PeerInfo> Node::rosterOf(const AvailabilityZone &zone) const
{
    std::vector<PeerInfo> result;
    if (zone.isEmpty() || zone == settings_.zone_)
        result.push_back(
            {settings_.entry_, settings_.digests_, settings_.zone_, settings_.capacity()});
    for (const auto &[entry, peer] : peers_) {
        if (zone.isEmpty() || peer.zone_ == zone)
            result.push_back({entry, peer.address_, peer.zone_, peer.capacity_});
    }
    return result;
}

/// Hashes of the known peers, cached until the peers change.
const RosterSums &Node::rosterSums(const AvailabilityZone &zone)
{
    const auto [place, isNew] = rosterSums_.try_emplace(zone);
    if (isNew)
        place->second = RosterSums(rosterOf(zone));
    return place->second;
}

/// The roster that this reporter vouches for: entry VMs of its own zone that send it digests, and
/// its known peers of other zones. Peers of its own zone that it only knows from others are
/// excluded: reporters that repeated such entries to each other would keep them alive forever.
std::vector<PeerInfo> Node::authoritativeRoster(const AvailabilityZone &zone, TimePoint now) const
{
    auto result = rosterOf(zone);
    std::erase_if(result,
                  [this](const PeerInfo &peerInfo) { return peerInfo.zone_ == settings_.zone_; });
    if (!zone.isEmpty() && zone != settings_.zone_)
        return result;
    const auto heard = hub_.roster(false, now);
    result.insert(result.end(), heard.begin(), heard.end());
    return result;
}

bool Node::isRosterAuthority(TimePoint now) const
{
    return hasReporters_ && !reporter_ && now - reportsSince_ >= zoneDiscoveryTime
           && peerWatch_.isListed() && now - startedAt_ >= fleetDiscoveryTime;
}

std::uint64_t Node::authoritativeTotal(const AvailabilityZone &zone, TimePoint now) const
{
    return isRosterAuthority(now) ? RosterSums(authoritativeRoster(zone, now)).total() : 0;
}

/// The reporter of the own zone is the source for the whole fleet, and reporters of other zones for
/// their zones. A reporter receives the digests of its own zone directly.
bool Node::isRosterSource(const EntryId &from, const AvailabilityZone &zone) const
{
    if (zone.isEmpty())
        return reporter_ == from;
    return hasReporters_ && !reporter_ && zone != settings_.zone_;
}

/// Equal hashes confirm all peers in scope, however long ago each was last mentioned.
void Node::compareRoster(const LoadSummary &summary, TimePoint now)
{
    const auto zone = summary.isOfZone_ ? summary.sum_.zone_ : AvailabilityZone();
    if (summary.rosterTotal_ == 0 || !isRosterSource(summary.sum_.from_, zone))
        return;
    auto &comparison = rosterComparisons_[zone];
    if (summary.rosterTotal_ == rosterSums(zone).total()) {
        comparison.confirmedAt_ = now;
        comparison.differsSince_.reset();
        return;
    }
    if (!comparison.differsSince_)
        comparison.differsSince_ = now;
    const bool isDue = now - *comparison.differsSince_ >= rosterQueryDelay
                       && now - comparison.askedAt_ >= rosterQueryInterval;
    if (!isDue)
        return;
    comparison.askedAt_ = now;
    parts_.datagrams_.send(summary.sum_.address_,
                           encode(RosterQuestion{settings_.digests_, zone, rosterSums(zone)}));
}

void Node::onRosterQuestion(const RosterQuestion &question)
{
    const auto now = parts_.clock_.now();
    if (!isRosterAuthority(now))
        return;
    for (const auto &part :
         answerTo(question, settings_.entry_, authoritativeRoster(question.zone_, now))) {
        const auto text = encode(part);
        if (!sendBudget_.take(text.size(), now))
            return; // The remaining buckets still differ at the next query.
        parts_.datagrams_.send(question.address_, text);
    }
}

/// Buckets that don't differ hold the same entry VMs on both sides; the buckets in the answer are
/// complete.
void Node::onRosterAnswer(const RosterAnswer &answer)
{
    if (!isRosterSource(answer.from_, answer.zone_))
        return;
    const auto now = parts_.clock_.now();
    for (auto &[entry, peer] : peers_) {
        const bool isInScope = answer.zone_.isEmpty() || peer.zone_ == answer.zone_;
        if (isInScope && !answer.differing_[RosterSums::bucketOf(entry)])
            peer.heardAt_ = now;
    }
    for (const auto &bucket : answer.buckets_)
        applyBucket(bucket, answer.zone_, now);
}

/// \param zone the bucket covers only entry VMs of this zone; empty: of all zones.
void Node::applyBucket(const RosterBucket &bucket, const AvailabilityZone &zone, TimePoint now)
{
    const auto isGone = [&](const auto &one) {
        const auto &entry = one.first;
        const bool isInScope = zone.isEmpty() || one.second.zone_ == zone;
        return isInScope && RosterSums::bucketOf(entry) == bucket.index_
               && std::none_of(
                   bucket.members_.begin(), bucket.members_.end(),
                   [&entry](const PeerInfo &peerInfo) { return peerInfo.entry_ == entry; });
    };
    if (std::erase_if(peers_, isGone) > 0)
        markPeersChanged();
    for (const auto &peerInfo : bucket.members_)
        meet(peerInfo, now);
}

/// When \p peer was last confirmed, directly or by equal roster hashes.
TimePoint Node::lastConfirmedAt(const Peer &peer) const
{
    auto result = peer.heardAt_;
    for (const auto &zone : {AvailabilityZone(), peer.zone_}) {
        const auto comparison = rosterComparisons_.find(zone);
        if (comparison != rosterComparisons_.end())
            result = std::max(result, comparison->second.confirmedAt_);
    }
    return result;
}

} // namespace cardamombay::serving
