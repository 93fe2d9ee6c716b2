// Relays data of the store between entry VMs: which of them watch the store, what they send to the
// others, and how old it is.
#include <cardamombay/serving/node.hpp>

#include "serving/log_events.hpp"

#include <cardamombay/config/address_text.hpp>
#include <cardamombay/log/log.hpp>

#include <algorithm>
#include <utility>

namespace cardamombay::serving {

namespace {

/// An entry VM watches the store itself after that many relay messages in a row are missing.
constexpr int maxMissedRelays = 2;
/// Delay between successive entry VMs, in the order of duties, that begin to watch because all
/// watchers seem to have failed; most then hear from the first ones before their own turn.
constexpr Duration watchStagger = std::chrono::milliseconds(10);
/// Relayed changes arrive within that time; changes that are still missing are fetched from the
/// store.
constexpr Duration catchUpDelay = std::chrono::milliseconds(120);
/// The same for an entry VM whose reporter answers each of its digests with the changes it lacks.
constexpr Duration catchUpDelayWithReporter = std::chrono::milliseconds(700);
/// Minimum interval between queries to the store for a configuration that a peer has; rejected
/// calls are billed too.
constexpr Duration storeQueryInterval = std::chrono::milliseconds(800);
/// How long to ask peers only. A peer answers within a few milliseconds, but two of its answers may
/// be lost, or its link may be saturated.
constexpr Duration peerConfigurationTimeout = std::chrono::milliseconds(600);
/// Maximum pause between failing calls. It is shorter for those that watch the store for all, as
/// they find out when it is available again; rejected calls are billed too.
constexpr Duration watcherFailurePause = std::chrono::milliseconds(400);
constexpr Duration standbyFailurePause = std::chrono::milliseconds(2500);
/// Number of entry VMs that relay changes of endpoints in addition to the planner, which receives
/// them first.
constexpr std::uint32_t extraRelayCount = 1;

constexpr std::string_view heardFromPeer = "peer";

} // namespace

void Node::changesArrived(const std::string &table, RowVersion after, RowVersion to)
{
    const bool passesOn = (rank_ && *rank_ < extraRelayCount) || parts_.lease_.isHeld();
    if (table != parts_.format_.endpointTable() || !passesOn)
        return;
    if (auto relay = history_.after(after)) {
        relay->to_ = std::max(relay->to_, to);
        sendRelay(*std::move(relay), relayTargets());
    }
}

void Node::onEndpointRelay(const EndpointRelay &relay)
{
    const auto last = relay.changes_.empty() ? RowVersion() : relay.changes_.back().version_;
    const auto had = endpointWatch_.applyRelayed(relay.after_, relay.to_, last);
    if (!had)
        return;
    // The missing changes are probably on their way too.
    if (behindSince_ != TimePoint{})
        behindSince_ = parts_.clock_.now();
    for (const auto &change : relay.changes_) {
        if (change.version_ > *had)
            endpointChanged(change, heardFromPeer);
    }
}

/// In a large fleet the changes go to the reporters, which answer the digests of their members with
/// them.
std::vector<Address> Node::relayTargets() const
{
    std::vector<Address> result;
    if (!reporters_.areNeeded()) {
        for (const auto &[entry, peer] : peers_)
            result.push_back(peer.address_);
        return result;
    }
    const auto now = parts_.clock_.now();
    auto targets = reporters_.others(now);
    if (const auto own = reporters_.own(now))
        targets.push_back(*own);
    for (const auto &entry : targets) {
        const auto found = peers_.find(entry);
        if (found != peers_.end())
            result.push_back(found->second.address_);
    }
    return result;
}

void Node::sendRelay(EndpointRelay relay, const std::vector<Address> &targets)
{
    const auto now = parts_.clock_.now();
    for (const auto &part : splitRelay(std::move(relay))) {
        const auto text = encode(part);
        if (!sendBudget_.take(text.size() * targets.size(), now))
            return; // Dropped changes are sent again after the next digest, or peers fetch them.
        for (const auto &address : targets)
            parts_.datagrams_.send(address, text);
    }
}

RelayState Node::relayState(TimePoint now) const
{
    RelayState relay;
    const auto &routes = parts_.gateway_.routes();
    relay.config_ = routes ? routes->version() : ConfigVersion();
    relay.configAge_ = now - parts_.gateway_.confirmedAt();
    relay.endpoints_ = endpointWatch_.lastChange();
    relay.endpointsAge_ = now - parts_.gateway_.endpointsConfirmedAt();
    relay.evacuations_ = evacuations_.state();
    return relay;
}

/// A few entry VMs watch the store and relay what they learn. The others list it once, and watch it
/// only while they receive no relay messages, or while these bring no newer confirmation: a watcher
/// that has lost the store continues to send digests. The number of calls to the store therefore
/// doesn't grow with the fleet.
void Node::chooseWatches(TimePoint now)
{
    // Watchers are determined by the set of peers, which is known from then on.
    const auto knowsPeersAt = startedAt_ + startupPeriod;
    configurationTracker_.startAt(knowsPeersAt);
    configurationTracker_.note(parts_.gateway_.confirmedAt(), now);
    endpointTracker_.startAt(knowsPeersAt);
    endpointTracker_.note(parts_.gateway_.endpointsConfirmedAt(), now);
    const auto silence = std::max(configurationTracker_.timeSinceUpdate(now),
                                  endpointTracker_.timeSinceUpdate(now));
    const bool hearsRelay
        = now - std::max(relayReceivedAt_, knowsPeersAt)
              < propagationBudget_.relayTime_ * maxMissedRelays
          && silence < propagationBudget_.wait_ + propagationBudget_.relayTime_ + ownWatchDelay();
    const bool isFirst = isLeaseStarted_ && (rank_.has_value() || parts_.lease_.isHeld());
    const bool wasWatching = std::exchange(isWatching_, isFirst || !hearsRelay);
    for (auto *watch : {&configurationWatch_, &endpointWatch_}) {
        watch->setMaxRetryDelay(isFirst ? watcherFailurePause : standbyFailurePause);
        // Refresh at once when starting to watch, instead of waiting for the next change.
        if (isWatching_ && !wasWatching)
            watch->catchUp();
        watch->setActive(isWatching_);
    }
}

Duration Node::ownWatchDelay() const
{
    return std::min<Duration>(watchStagger * dutyPosition_, propagationBudget_.stagger_);
}

void Node::setPropagationBudget(bool hasReporters)
{
    propagationBudget_ = propagationBudget(settings_.propagationBound_, hasReporters);
    configurationWatch_.setWait(propagationBudget_.wait_);
    endpointWatch_.setWait(propagationBudget_.wait_);
}

/// Watchers query the store for a newer configuration, and peers if the store rejects the call. The
/// others ask the peer that announced it, and the store if that peer doesn't answer.
void Node::applyRelayedConfiguration(const RelayState &relay, const Address &source, TimePoint now)
{
    const auto &routes = parts_.gateway_.routes();
    const auto version = routes ? routes->version() : ConfigVersion();
    if (relay.config_ == version && !isSettling(now))
        parts_.gateway_.confirm(now - relay.configAge_);
    if (relay.config_ <= version)
        return;
    if (!isWatching_ && exchange_.askSource(relay.config_, source, now) < peerConfigurationTimeout)
        return;
    if (now - configQueriedAt_ >= storeQueryInterval) {
        configQueriedAt_ = now;
        configurationWatch_.catchUp();
    }
    std::vector<Address> addresses;
    for (const auto &[entry, peer] : peers_)
        addresses.push_back(peer.address_);
    exchange_.heardOf(relay.config_, addresses, now);
}

void Node::onConfigurationPart(const ConfigurationPart &part)
{
    const auto whole = exchange_.take(part);
    if (!whole)
        return;
    log::info(event::configurationFromPeer, {{"version", std::to_string(whole->first.value())},
                                             {"bytes", std::to_string(whole->second.size())}});
    applyConfiguration(whole->second, {});
}

/// Adds the maximum transit time of the digest to the ages in it. If that time is unknown the ages
/// are meaningless, and the relay state is dropped.
void Node::addTransitTime(LoadDigest &digest, TimePoint now)
{
    if (!digest.relay_)
        return;
    if (clocks_.isQuestionDue(digest.from_, digest.stamp_.since_, now))
        parts_.datagrams_.send(digest.address_,
                               encode(ClockQuestion{settings_.digests_.text(), readingOf(now)}));
    const auto transitTime = clocks_.maxAge(digest.from_, digest.stamp_, now);
    if (!transitTime) {
        digest.relay_.reset();
        return;
    }
    digest.relay_->configAge_ += *transitTime;
    digest.relay_->endpointsAge_ += *transitTime;
}

void Node::onClockQuestion(const ClockQuestion &question)
{
    const auto address = config::addressOf(question.address_);
    if (!address)
        return;
    const ClockStamp stamp{settings_.incarnation_, readingOf(parts_.clock_.now())};
    parts_.datagrams_.send(*address,
                           encode(ClockAnswer{settings_.entry_, stamp, question.askedAt_}));
}

/// A confirmation that a peer has from the store also holds here if both have the same version.
void Node::applyRelayState(const RelayState &relay, const Address &source, TimePoint now)
{
    relayReceivedAt_ = now;
    applyRelayedConfiguration(relay, source, now);
    applyRelayedEndpoints(relay, now);
    const auto before = evacuations_.zones();
    if (evacuations_.take(relay.evacuations_))
        evacuationsChanged(before, heardFromPeer);
}

/// If a peer has no newer change than this entry VM, the state here is confirmed as of the peer's
/// last confirmation from the store. This doesn't reset a newer version that another peer reported:
/// otherwise entry VMs that had lost the store would keep others, which still reached it, from
/// fetching a change that they had heard of.
void Node::applyRelayedEndpoints(const RelayState &relay, TimePoint now)
{
    noteTimeline(relay.endpoints_.timeline(), heardFromPeer);
    noteStoreAnswer(now - relay.endpointsAge_);
    if (relay.endpoints_ <= endpointWatch_.version())
        parts_.gateway_.confirmEndpoints(now - relay.endpointsAge_);
    peerVersion_ = std::max(peerVersion_, relay.endpoints_);
    if (peerVersion_ <= endpointWatch_.version()) {
        behindSince_ = {};
        return;
    }
    if (behindSince_ == TimePoint{})
        behindSince_ = now;
    const auto patience = reporter_ ? catchUpDelayWithReporter : catchUpDelay;
    if (now - behindSince_ >= patience) {
        log::info(event::viewBehind,
                  {{"version", std::to_string(endpointWatch_.version().value())},
                   {"peer-has", std::to_string(peerVersion_.value())},
                   {"behind-ms", std::to_string(toMilliseconds(now - behindSince_))},
                   {"view-age-ms", std::to_string(toMilliseconds(viewAge()))}});
        behindSince_ = {};
        endpointWatch_.catchUp();
    }
}

} // namespace cardamombay::serving
