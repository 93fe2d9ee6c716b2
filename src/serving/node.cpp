#include <cardamombay/serving/node.hpp>

#include "serving/log_events.hpp"

#include <cardamombay/config/address_text.hpp>
#include <cardamombay/core/hash.hpp>
#include <cardamombay/leases/candidate_rank.hpp>
#include <cardamombay/log/log.hpp>

#include <algorithm>
#include <sstream>
#include <utility>

namespace cardamombay::serving {

namespace {

/// Rows of entry VMs: the key is the name, the value is the address for digests, the zone and the
/// capacity.
constexpr auto peerTable = "entries";

/// Engines write an entry for each step of forming a group; fetching each one separately would
/// account for most calls to the store.
constexpr Duration watcherPollPause = std::chrono::milliseconds(250);
/// Shorter at the planner, which needs to see each step of a group before it gives the next order.
constexpr Duration plannerPollPause = std::chrono::milliseconds(60);

/// An entry VM reports that it isn't ready once its configuration has been unconfirmed for that
/// long.
constexpr Duration maxReadyUnconfirmed = std::chrono::milliseconds(3500);

/// Maximum time for which a process counts as starting up: four times the time to load a large
/// configuration over a small link. Each request also has a limit of its own for this wait.
constexpr Duration maxLearningTime = std::chrono::milliseconds(1000);

/// A planner whose view of the endpoints is older gives up the lease, as other entry VMs still
/// receive changes of engines. Less than the age at which it would stop planning anyway, so that
/// another one takes over sooner.
constexpr Duration maxPlannerViewAge = std::chrono::milliseconds(2000);
/// How long it does not compete for the lease: longer than another entry VM needs to acquire it and
/// complete a step.
constexpr Duration standbyDuration = std::chrono::seconds(5);

/// Share of the link that relayed data may use, so that the first listing of all engines doesn't
/// delay callers and orders or make sums get lost.
constexpr double relayLinkShare = 0.25;
constexpr double bytesPerMegabit = 125'000;

} // namespace

Node::Node(NodeParts parts, NodeSettings settings)
    : parts_(parts)
    , settings_(std::move(settings))
    , propagationBudget_(propagationBudget(settings_.propagationBound_, false))
    , configurationWatch_(
          parts.clock_, parts.store_, parts.feed_,
          {std::string(parts.format_.configurationTable()), propagationBudget_.wait_, {}}, *this)
    , endpointWatch_(
          parts.clock_, parts.store_, parts.feed_,
          {std::string(parts.format_.endpointTable()), propagationBudget_.wait_, watcherPollPause},
          *this)
    , peerWatch_(parts.clock_, parts.store_, parts.feed_, {peerTable, {}, {}}, *this)
    , quarantineWatch_(parts.clock_, parts.store_, parts.feed_, {quarantineTable, {}, {}}, *this)
    , quotaRecovery_(settings_.isFirstStart_, parts.clock_.now())
    , sendBudget_(settings_.linkMegabits_ * bytesPerMegabit * relayLinkShare)
    , exchange_(parts.datagrams_, settings_.digests_,
                Random(stableHash(settings_.entry_.text(), settings_.incarnation_.value())))
    , hub_({settings_.entry_, settings_.digests_, settings_.zone_, settings_.capacity()},
           settings_.incarnation_)
    , reporters_(settings_.entry_, settings_.zone_)
{
}

Node::~Node()
{
    parts_.endpointRegistry_.onRestarted({});
    parts_.endpointRegistry_.onRegrouped({});
    parts_.endpointRegistry_.setLeavingCheck({});
    parts_.gateway_.notices().onLeaving({});
    parts_.gateway_.onEndpointCrash({});
    parts_.gateway_.reservations().onSend({});
    parts_.gateway_.retries().exchange().onSend({});
    parts_.gateway_.overload().returns().onSend({});
}

void Node::start()
{
    parts_.datagrams_.onReceived([this](std::string_view text) { onDatagram(text); });
    parts_.endpointRegistry_.onRestarted(
        [this](const Endpoint &before) { endpointRestarted(before); });
    parts_.endpointRegistry_.onRegrouped(
        [this](const VmId &endpoint) { parts_.loadTracker_.regrouped(endpoint); });
    auto &notices = parts_.gateway_.notices();
    notices.onLeaving([this](const EndpointIncarnation &endpoint) {
        parts_.endpointRegistry_.markLeaving(endpoint);
    });
    parts_.endpointRegistry_.setLeavingCheck(
        [&notices](const EndpointIncarnation &endpoint) { return notices.isLeaving(endpoint); });
    startedAt_ = parts_.clock_.now();
    storeAnsweredAt_ = startedAt_;
    updateLearning();
    configurationWatch_.start();
    endpointWatch_.start();
    // Peers that start later find this entry VM in the table and are discovered by their first
    // digest.
    peerWatch_.setActive(false);
    readQuarantines();
    parts_.gateway_.onEndpointCrash([this] { hasUnreportedCrash_ = true; });
    auto &reservations = parts_.gateway_.reservations();
    reservations.setSelf(settings_.entry_, settings_.digests_);
    reservations.onSend(
        [this](const Address &to, std::string_view text) { parts_.datagrams_.send(to, text); });
    auto &returns = parts_.gateway_.overload().returns();
    returns.setSelf(settings_.entry_);
    returns.onSend(
        [this](const Address &to, std::string_view text) { parts_.datagrams_.send(to, text); });
    auto &quota = parts_.gateway_.retries().exchange();
    quota.setSelf(settings_.entry_, settings_.digests_);
    quota.onSend(
        [this](const Address &to, std::string_view text) { parts_.datagrams_.send(to, text); });
    parts_.gateway_.retries().setReservePart(0);
    recoverQuota(startedAt_);
    announce();
    peersChanged();
    if (settings_.isFirstStart_)
        parts_.manager_.setFirstStart();
    demandAt_ = parts_.clock_.now();
    repeat(Gateway::sweepPeriod, &Node::tickFast);
    repeat(ReplicaManager::planPeriod, &Node::tickPlan);
    tickDigest();
}

void Node::repeat(Duration period, void (Node::*step)())
{
    parts_.clock_.schedule(period, [this, alive = std::weak_ptr(isAlive_), period, step] {
        if (alive.expired())
            return;
        (this->*step)();
        repeat(period, step);
    });
}

/// After a restart callers reach the process before it has read the configuration and the
/// endpoints. A configuration doesn't count as loaded until its confirmation has been recorded,
/// since its keys would be rejected as unconfirmed.
void Node::updateLearning()
{
    const bool knowsAll
        = parts_.gateway_.routes() && areEndpointsListed_
          && parts_.gateway_.unconfirmedFor() <= parts_.gateway_.bounds().longestUnconfirmed_;
    parts_.gateway_.setLearning(!knowsAll && parts_.clock_.now() - startedAt_ < maxLearningTime);
}

void Node::announce()
{
    platform::Transaction transaction;
    transaction.writer_ = WriterToken(settings_.entry_.text() + "."
                                      + std::to_string(settings_.incarnation_.value()));
    transaction.writes_.push_back({{peerTable, settings_.entry_.text()},
                                   isLeaving_ ? std::nullopt : std::optional(peerRow())});
    parts_.store_.commit(std::move(transaction),
                         [this, alive = std::weak_ptr(isAlive_)](const auto &result) {
                             if (alive.expired() || isLeaving_)
                                 return;
                             if (isOk(result)) {
                                 peerWatch_.start();
                                 return;
                             }
                             // A retry may write the row twice, with the same content.
                             parts_.clock_.schedule(std::chrono::seconds(1), [this, alive] {
                                 if (!alive.expired())
                                     announce();
                             });
                         });
}

void Node::leave()
{
    isLeaving_ = true;
    parts_.lease_.release();
    parts_.gateway_.reservations().leave();
    parts_.gateway_.retries().leave();
    announce();
    broadcast(ownDigest(parts_.clock_.now()));
}

bool Node::isReady() const
{
    return !isLeaving_ && parts_.gateway_.routes() && areEndpointsListed_
           && parts_.gateway_.unconfirmedFor() < maxReadyUnconfirmed;
}

void Node::tableListed(const std::string &table, const std::vector<platform::Row> &rows)
{
    noteTimeline(timelineOf(table), "store");
    if (table == parts_.format_.configurationTable()) {
        operatorsListed(rows);
        return;
    }
    if (table == peerTable) {
        peersListed(rows);
        peersChanged();
        startLease(parts_.clock_.now());
        return;
    }
    if (table == quarantineTable) {
        quarantinesListed(rows);
        return;
    }
    endpointsListed(rows);
}

void Node::rowChanged(const platform::RowChange &change)
{
    const auto &key = change.row_.key_;
    if (key.table_ == parts_.format_.configurationTable()) {
        operatorRowChanged(change);
        return;
    }
    if (key.table_ == peerTable) {
        applyPeerRow(change);
        markPeersChanged();
        return;
    }
    applyEndpointRow(change);
}

void Node::applyPeerRow(const platform::RowChange &change)
{
    const EntryId entry(change.row_.key_.key_);
    if (entry == settings_.entry_)
        return;
    const auto info = peerInfoIn(change.row_);
    if (change.isRemoved_ || !info) {
        peerLeft(entry, parts_.clock_.now());
        return;
    }
    Peer peer;
    peer.address_ = info->address_;
    peer.zone_ = info->zone_;
    peer.capacity_ = info->capacity_;
    peer.heardAt_ = parts_.clock_.now();
    peers_[entry] = std::move(peer);
}

/// Parses a row that peerRow() wrote; nothing if it has another form.
std::optional<PeerInfo> Node::peerInfoIn(const platform::Row &row)
{
    std::istringstream words(row.value_);
    std::string address;
    std::string zone;
    EntryCapacity capacity = 0;
    words >> address >> zone >> capacity;
    const auto digests = config::addressOf(address);
    if (!digests || zone.empty())
        return std::nullopt;
    return PeerInfo{EntryId(row.key_.key_), *digests, AvailabilityZone(zone), capacity};
}

/// The value of this entry VM's row: address, zone and capacity.
std::string Node::peerRow() const
{
    return settings_.digests_.text() + ' ' + settings_.zone_.text() + ' '
           + std::to_string(settings_.capacity());
}

void Node::markPeersChanged()
{
    havePeersChanged_ = true;
    rosterSums_.clear();
}

/// Recomputes everything that depends on the set of peers, once per digest period however many
/// changes there were: in a fleet that starts, each entry VM discovers all others within a second.
void Node::peersChanged()
{
    havePeersChanged_ = false;
    rosterSums_.clear();
    parts_.gateway_.countPeerUpdate();
    std::map<EntryId, EntryCapacity> capacities{{settings_.entry_, settings_.capacity()}};
    std::map<EntryId, AvailabilityZone> zones;
    std::map<EntryId, Address> addresses;
    std::vector<Carrier> carriers;
    for (const auto &[entry, peer] : peers_) {
        addresses.emplace(entry, peer.address_);
        carriers.push_back({entry, peer.address_, peer.zone_});
        capacities.emplace(entry, peer.capacity_);
        zones.emplace(entry, peer.zone_);
    }
    planners_ = dutyOrder("planner", capacities);
    dutyPosition_ = static_cast<std::size_t>(
        std::find(planners_.begin(), planners_.end(), settings_.entry_) - planners_.begin());
    dropPartitioned(planners_);
    planners_.resize(std::min<std::size_t>(planners_.size(), leases::candidateCount));
    const auto place = std::find(planners_.begin(), planners_.end(), settings_.entry_);
    const auto rank = place == planners_.end()
                          ? std::nullopt
                          : std::optional(static_cast<std::uint32_t>(place - planners_.begin()));
    reporters_.setPeers(zones, capacities);
    if (rank != rank_)
        log::info(event::peersChanged, {{"peers", std::to_string(peers_.size())},
                                        {"rank", rank ? std::to_string(*rank) : "none"}});
    rank_ = rank;
    parts_.lease_.setCandidateRank(isStandingBy(parts_.clock_.now()) ? std::nullopt : rank_);
    parts_.gateway_.retries().exchange().setPeers(addresses);
    parts_.gateway_.carriers().setPeers(settings_.zone_, std::move(carriers));
    parts_.gateway_.overload().returns().setPeers(addresses);
    parts_.gateway_.reservations().setPeers(std::move(addresses));
}

void Node::tableConfirmed(const std::string &table, TimePoint asOf)
{
    if (table == parts_.format_.configurationTable()) {
        // A configuration that cannot be read may revoke keys of the one in force.
        if (!isSettling(parts_.clock_.now()) && !isNewestUnreadable_)
            parts_.gateway_.confirm(asOf);
        updateLearning();
    } else if (table == parts_.format_.endpointTable()) {
        noteStoreAnswer(asOf);
        parts_.gateway_.confirmEndpoints(asOf);
        // The store has nothing newer, so a peer that reported a newer version was wrong, or will
        // report it again.
        peerVersion_ = {};
    }
}

void Node::storeReachable(const std::string &table, bool isReachable)
{
    log::info(
        isReachable ? event::storeRegained : event::storeLost,
        {{"table", table},
         {"unconfirmed-ms", std::to_string(toMilliseconds(parts_.gateway_.unconfirmedFor()))}});
}

/// Entries may have lapsed while the store was unavailable. It counts as unavailable if no entry VM
/// had an answer for longer than the longest regular gap between confirmations. That calls of this
/// entry VM failed, or that it made none for long, says nothing about the store, and would excuse
/// endpoints that have ended.
void Node::noteStoreAnswer(TimePoint asOf)
{
    const auto gap = asOf - storeAnsweredAt_;
    if (gap <= Duration::zero())
        return;
    storeAnsweredAt_ = asOf;
    if (gap <= propagationBudget_.maxGap_)
        return;
    log::info(event::absenceExcused,
              {{"gap-ms", std::to_string(toMilliseconds(gap))},
               {"for-ms", std::to_string(toMilliseconds(absenceGracePeriod))}});
    parts_.endpointRegistry_.tolerateAbsence(asOf + absenceGracePeriod);
}

void Node::tickFast()
{
    updateLearning();
    recoverQuota(parts_.clock_.now());
    parts_.gateway_.sweep();
    sendSilenceAlarm();
    reportUrgent();
    reportLostPaths();
    const bool ready = isReady();
    if (std::exchange(wasReady_, ready) != ready)
        log::info(
            event::readiness,
            {{"ready", ready ? "yes" : "no"},
             {"unconfirmed-ms", std::to_string(toMilliseconds(parts_.gateway_.unconfirmedFor()))}});
}

bool Node::isStandingBy(TimePoint now) const
{
    return now < standbyUntil_;
}

/// A planner whose view of the engines lags gives up the lease to another entry VM, since its own
/// link or CPU may be overloaded. Without peers it continues to plan.
void Node::checkViewAge(TimePoint now)
{
    if (!parts_.lease_.isHeld())
        leaseHeldSince_ = now;
    // An entry VM that has just acquired the lease is given time to refresh its view.
    const auto age = now - std::max(parts_.gateway_.endpointsConfirmedAt(), leaseHeldSince_);
    const bool isTooOld = age > maxPlannerViewAge && !peers_.empty();
    if (isTooOld && !isStandingBy(now)) {
        standbyUntil_ = now + standbyDuration;
        log::warning(event::plannerStandsBy,
                     {{"view-age-ms", std::to_string(toMilliseconds(age))},
                      {"epoch", std::to_string(parts_.lease_.epoch().value())},
                      {"for-ms", std::to_string(toMilliseconds(standbyDuration))}});
        parts_.lease_.setCandidateRank(std::nullopt);
    } else if (standbyUntil_ != TimePoint{} && !isStandingBy(now)) {
        standbyUntil_ = {};
        parts_.lease_.setCandidateRank(rank_);
    }
}

/// At the first start of the system the other entry VMs appear in the table slightly later. An
/// entry VM that competed for the lease before then would know of no others, and all of them would
/// compete.
void Node::startLease(TimePoint now)
{
    if (isLeaseStarted_ || (settings_.isFirstStart_ && now - startedAt_ < startupPeriod))
        return;
    isLeaseStarted_ = true;
    parts_.lease_.start();
}

void Node::tickPlan()
{
    const auto now = parts_.clock_.now();
    parts_.endpointRegistry_.expire(now);
    parts_.loadTracker_.expire(now);
    clocks_.expire(now);
    checkViewAge(now);
    logEndpoints(now);
    if (!parts_.gateway_.routes() || !areEndpointsListed_)
        return;
    const bool isPlanner = parts_.lease_.isHeld();
    // Only planners and candidates need the demand of all entry VMs.
    if (isPlanner || rank_)
        takeDemand();
    // The others receive nearly all changes by relay.
    const auto watcherPause = rank_ == 0 ? watcherPollPause : propagationBudget_.standbyPause_;
    endpointWatch_.setPause(isPlanner ? plannerPollPause : watcherPause);
    if (isPlanner)
        syncQuarantines(now);
    // Entries of engines in a restored store may predate their last orders.
    if (isSettling(now))
        return;
    parts_.manager_.tick(*parts_.gateway_.routes(), parts_.gateway_.endpointsConfirmedAt());
}

void Node::takeDemand()
{
    auto demand = fleetDemand();
    // Before any traffic the operators' shares are the only input of the plan.
    if (!demand.empty())
        parts_.manager_.setTrafficSeen();
    parts_.manager_.setDemand(std::move(demand));
}

std::map<ModelName, double> Node::fleetDemand() const
{
    auto result = ownDemand_;
    const auto add = [&result](const std::map<ModelName, double> &demand) {
        for (const auto &[model, work] : demand)
            result[model] += work;
    };
    for (const auto &[entry, peer] : peers_)
        add(peer.demand_);
    for (const auto &[entry, sum] : sums_)
        add(sum.demand_);
    return result;
}

} // namespace cardamombay::serving
