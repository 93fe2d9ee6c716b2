// What entry VMs tell each other, and who of them watches the store for all.
#include <cardamombay/serving/node.hpp>

#include <algorithm>
#include <utility>

namespace cardamombay::serving {

namespace {

/// Digests go to all peers; with many peers they go less often, so that what an entry VM receives
/// grows slower than the fleet. 100 ms up to 25 entry VMs, 280 ms for 70.
constexpr Duration leastDigestPeriod = std::chrono::milliseconds(100);
constexpr Duration digestPeriodPerPeer = std::chrono::milliseconds(4);
constexpr Duration mostDigestPeriod = std::chrono::milliseconds(400);

/// A peer that is not heard of for that long no longer counts; it is back with its next digest.
constexpr Duration peerLifetime = std::chrono::seconds(6);

/// Three missed digests and some jitter: then an entry VM watches the store itself.
constexpr int missedDigests = 3;
constexpr Duration digestJitter = std::chrono::milliseconds(100);
/// Knowledge of the store that is older is not relied on; a watch confirms it every 1.5 s.
constexpr Duration freshRelay = std::chrono::milliseconds(2200);
/// Changes that were passed on arrive by then; what is still missing is asked for.
constexpr Duration catchUpAfter = std::chrono::milliseconds(120);
constexpr Duration catchUpPerPeer = std::chrono::milliseconds(5);
/// Bytes that are passed on in a second: a tenth of the smallest link of 20 Mbit/s. Without the
/// bound the first listing of 300 engines to 87 peers held up the planner's own orders for two
/// seconds.
constexpr double relayBytesPerSecond = 250'000;
/// Longest way of a datagram that an age is corrected for.
constexpr Duration datagramTime = std::chrono::milliseconds(100);
/// At the start every entry VM watches, until the peers are known.
constexpr Duration startPhase = std::chrono::seconds(2);
/// Entry VMs that pass changes of endpoints on beside the planner, which hears of them first.
constexpr std::uint32_t relayCount = 1;

/// Time over which the demand is smoothed; a group takes some seconds to form.
constexpr double demandMemorySeconds = 4;

} // namespace

void Node::changesArrived(const std::string &table, RowVersion after, RowVersion to,
                          const std::vector<platform::RowChange> &changes)
{
    const bool passesOn = (rank_ && *rank_ < relayCount) || parts_.lease_.isHeld();
    if (table != parts_.format_.endpointTable() || !passesOn)
        return;
    const auto now = parts_.clock_.now();
    relayBytes_ = std::min(relayBytesPerSecond,
                           relayBytes_ + toSeconds(now - relayedAt_) * relayBytesPerSecond);
    relayedAt_ = now;
    for (const auto &part : splitRelay({after, to, changes})) {
        const auto text = encode(part);
        relayBytes_ -= static_cast<double>(text.size() * peers_.size());
        if (relayBytes_ < 0)
            return; // Peers catch up by themselves.
        for (const auto &[entry, peer] : peers_)
            parts_.datagrams_.send(peer.address_, text);
    }
}

Duration Node::digestPeriod() const
{
    const auto scaled = digestPeriodPerPeer * static_cast<std::int64_t>(peers_.size());
    return std::clamp<Duration>(scaled, leastDigestPeriod, mostDigestPeriod);
}

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
    sendDigest();
    chooseWatches(now);
    parts_.clock_.schedule(digestPeriod(), [this, alive = std::weak_ptr(isAlive_)] {
        if (!alive.expired())
            tickDigest();
    });
}

RelayState Node::relayState(TimePoint now) const
{
    RelayState relay;
    const auto &routes = parts_.gateway_.routes();
    relay.config_ = routes ? routes->version() : ConfigVersion();
    relay.configAge_ = now - parts_.gateway_.confirmedAt();
    relay.endpoints_ = endpointWatch_.lastChange();
    relay.endpointsAge_ = now - endpointsConfirmedAt_;
    return relay;
}

void Node::sendDigest()
{
    LoadDigest digest;
    digest.from_ = settings_.entry_;
    digest.address_ = settings_.digests_;
    digest.underWay_ = parts_.board_.ownCounts();
    digest.sent_ = parts_.board_.ownSent(parts_.clock_.now());
    digest.silent_ = parts_.board_.silentHere();
    digest.demand_ = ownDemand_;
    digest.isDraining_ = isLeaving_;
    if (isWatching_ && areEndpointsListed_)
        digest.relay_ = relayState(parts_.clock_.now());
    const auto text = encode(digest);
    for (const auto &[entry, peer] : peers_)
        parts_.datagrams_.send(peer.address_, text);
}

/// A few entry VMs watch the store and pass on what they learn; the others watch only while they
/// hear none of these. Calls to the store then do not grow with the fleet.
void Node::chooseWatches(TimePoint now)
{
    const Duration patience = digestPeriod() * missedDigests + digestJitter;
    const bool hearsRelay = now - relayHeardAt_ < patience;
    const bool isStarting = now - startedAt_ < startPhase;
    isWatching_ = rank_.has_value() || parts_.lease_.isHeld() || isStarting || !hearsRelay;
    configurationWatch_.setActive(isWatching_);
    endpointWatch_.setActive(isWatching_);
    const bool isForgotten
        = std::erase_if(peers_,
                        [now](const auto &one) { return now - one.second.heardAt_ > peerLifetime; })
          > 0;
    if (isForgotten)
        peersChanged();
}

void Node::datagramArrived(std::string_view text)
{
    if (auto digest = decodeLoadDigest(text)) {
        digestArrived(*std::move(digest));
        return;
    }
    const auto relay = decodeEndpointRelay(text);
    if (relay)
        endpointWatch_.takeRelayed(relay->after_, relay->to_, relay->changes_);
}

void Node::digestArrived(LoadDigest digest)
{
    if (digest.from_ == settings_.entry_)
        return;
    const auto now = parts_.clock_.now();
    const bool isNew = !peers_.contains(digest.from_);
    if (isNew && (digest.isDraining_ || digest.address_.ip_.empty()))
        return;
    auto &peer = peers_[digest.from_];
    if (isNew || peer.address_ != digest.address_) {
        peer.address_ = digest.address_;
        peersChanged();
    }
    peer.demand_ = std::move(digest.demand_);
    peer.heardAt_ = now;
    parts_.board_.setPeerLoad(
        digest.from_.text(),
        {std::move(digest.underWay_), std::move(digest.sent_), std::move(digest.silent_), now});
    if (digest.relay_)
        followRelay(*digest.relay_, now);
    if (digest.isDraining_) {
        peers_.erase(digest.from_);
        peersChanged();
    }
}

/// What the store confirmed to a peer is confirmed here too if this one has the same version.
void Node::followRelay(const RelayState &relay, TimePoint now)
{
    // Datagrams that queued up while this process stood still are older than they seem.
    notePause(now);
    const bool isFresh = relay.configAge_ < freshRelay && relay.endpointsAge_ < freshRelay;
    if (!isFresh || now < pausedUntil_)
        return;
    relayHeardAt_ = now;
    const auto &routes = parts_.gateway_.routes();
    const auto config = routes ? routes->version() : ConfigVersion();
    if (relay.config_ == config)
        parts_.gateway_.confirm(now - relay.configAge_ - datagramTime);
    else if (relay.config_ > config)
        configurationWatch_.catchUp();
    if (relay.endpoints_ <= endpointWatch_.version()) {
        behindSince_ = {};
        endpointsConfirmedAt_
            = std::max(endpointsConfirmedAt_, now - relay.endpointsAge_ - datagramTime);
        return;
    }
    if (behindSince_ == TimePoint{})
        behindSince_ = now;
    const auto patience
        = std::max<Duration>(catchUpAfter, catchUpPerPeer * static_cast<int>(peers_.size()));
    if (now - behindSince_ >= patience) {
        behindSince_ = {};
        endpointWatch_.catchUp();
    }
}

} // namespace cardamombay::serving
