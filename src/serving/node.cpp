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

/// Rows of entry VMs: the name is the key, the address of the digests the value.
constexpr auto peerTable = "entries";

/// Engines list each step of a group; a call for each would be most of all calls.
constexpr Duration endpointPause = std::chrono::milliseconds(250);
/// The planner waits for each step of a group to give the next order.
constexpr Duration plannerPause = std::chrono::milliseconds(60);

/// An entry VM without a confirmation for that long sends callers elsewhere.
constexpr Duration readyUnconfirmed = std::chrono::milliseconds(3500);

/// A process counts as learning for that long at most: four times what a large configuration takes
/// on a small link. Each request waits for its own share.
constexpr Duration longestLearning = std::chrono::milliseconds(1000);

/// A planner whose view is older stands back: others see the engines change meanwhile. Below the
/// age beyond which it would stop planning anyway, so that another one begins sooner.
constexpr Duration oldView = std::chrono::milliseconds(2000);
/// It does so for longer than another one needs to gain the lease and to see a step through.
constexpr Duration standby = std::chrono::seconds(5);

/// Share of the own link that may be used for what is passed on to peers, so that callers and
/// orders are not held up by a first listing of all engines, and sums are not lost in it.
constexpr double sharedLink = 0.25;
constexpr double bytesPerMegabit = 125'000;

} // namespace

Node::Node(NodeParts parts, NodeSettings settings)
    : parts_(parts)
    , settings_(std::move(settings))
    , news_(newsBudget(settings_.newsBound_, false))
    , configurationWatch_(parts.clock_, parts.store_, parts.feed_,
                          {std::string(parts.format_.configurationTable()), news_.wait_, {}}, *this)
    , endpointWatch_(parts.clock_, parts.store_, parts.feed_,
                     {std::string(parts.format_.endpointTable()), news_.wait_, endpointPause},
                     *this)
    , peerWatch_(parts.clock_, parts.store_, parts.feed_, {peerTable, {}, {}}, *this)
    , quarantineWatch_(parts.clock_, parts.store_, parts.feed_, {quarantineTable, {}, {}}, *this)
    , budget_(settings_.linkMegabits_ * bytesPerMegabit * sharedLink)
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
    parts_.endpointRegistry_.setLeavingCheck({});
    parts_.gateway_.notices().onLeaving({});
    parts_.gateway_.onEndpointCrash({});
    parts_.gateway_.reservations().onSend({});
}

void Node::start()
{
    parts_.datagrams_.onReceived([this](std::string_view text) { datagramArrived(text); });
    parts_.endpointRegistry_.onRestarted(
        [this](const Endpoint &before) { endpointRestarted(before); });
    auto &notices = parts_.gateway_.notices();
    notices.onLeaving([this](const EndpointIncarnation &endpoint) {
        parts_.endpointRegistry_.markLeaving(endpoint);
    });
    parts_.endpointRegistry_.setLeavingCheck(
        [&notices](const EndpointIncarnation &endpoint) { return notices.isLeaving(endpoint); });
    startedAt_ = parts_.clock_.now();
    storeAnsweredAt_ = startedAt_;
    noteLearning();
    configurationWatch_.start();
    endpointWatch_.start();
    // Peers that start later find this one listed, and are known by their first digest.
    peerWatch_.setActive(false);
    readQuarantines();
    parts_.gateway_.onEndpointCrash([this] { hasCrashNews_ = true; });
    auto &reservations = parts_.gateway_.reservations();
    reservations.setSelf(settings_.entry_, settings_.digests_);
    reservations.onSend(
        [this](const Address &to, std::string_view text) { parts_.datagrams_.send(to, text); });
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
/// endpoints. A configuration whose confirmation is still to be noted is not known yet: its keys
/// would count as not confirmed.
void Node::noteLearning()
{
    const bool knowsAll
        = parts_.gateway_.routes() && areEndpointsListed_
          && parts_.gateway_.unconfirmedFor() <= parts_.gateway_.bounds().longestUnconfirmed_;
    parts_.gateway_.setLearning(!knowsAll && parts_.clock_.now() - startedAt_ < longestLearning);
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
                             // The row may be written twice; it has the same content.
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
    announce();
    tellAll(ownDigest(parts_.clock_.now()));
}

bool Node::isReady() const
{
    return !isLeaving_ && parts_.gateway_.routes() && areEndpointsListed_
           && parts_.gateway_.unconfirmedFor() < readyUnconfirmed;
}

void Node::tableListed(const std::string &table, const std::vector<platform::Row> &rows)
{
    timelineSeen(timelineOf(table), "store");
    if (table == parts_.format_.configurationTable()) {
        operatorsListed(rows);
        return;
    }
    if (table == peerTable) {
        for (const auto &row : rows)
            takePeer({row, false});
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
        takePeer(change);
        notePeersChanged();
        return;
    }
    takeEndpoint(change);
}

/// \param row version of the row that holds it; none if it came from a peer.
void Node::takeConfiguration(std::string_view text, RowVersion row)
{
    auto configuration = parts_.format_.configuration(text);
    if (!isOk(configuration)) {
        log::error(event::configurationRefused, {{"row", std::to_string(row.value())},
                                                 {"problem", messageOf(errorOf(configuration))}});
        return;
    }
    const auto version = valueOf(configuration).version_;
    const auto &routes = parts_.gateway_.routes();
    if (routes && version <= routes->version())
        return; // Versions only rise in a process.
    log::info(event::configurationInForce,
              {{"version", std::to_string(version.value())},
               {"row", row.isNone() ? "from-peer" : std::to_string(row.value())},
               {"routes", std::to_string(valueOf(configuration).routes_.size())},
               {"teams", std::to_string(valueOf(configuration).teams_.size())}});
    for (const auto &service : valueOf(configuration).services_) {
        if (service.engine_ && service.engine_->usualPrompt_ == 0)
            log::info(event::usualSizesUnknown, {{"service", service.name_.text()},
                                                 {"instead", "mean of the prompts seen here"}});
    }
    exchange_.setCurrent(version, std::string(text));
    parts_.gateway_.coldEndpoints().setServices(valueOf(configuration).services_);
    parts_.gateway_.setRoutes(std::make_shared<RouteTable>(valueOf(std::move(configuration))));
    noteLearning();
    if (configured_)
        configured_(parts_.gateway_.routes()->configuration());
}

void Node::takePeer(const platform::RowChange &change)
{
    const EntryId entry(change.row_.key_.key_);
    if (entry == settings_.entry_)
        return;
    std::istringstream words(change.row_.value_);
    std::string address;
    std::string zone;
    EntryCapacity capacity = 0;
    words >> address >> zone >> capacity;
    const auto digests = config::addressOf(address);
    if (change.isRemoved_ || !digests || zone.empty()) {
        peers_.erase(entry);
        return;
    }
    peers_[entry] = {*digests, AvailabilityZone(zone), capacity, {}, {}, parts_.clock_.now()};
}

/// What other entry VMs find in the store: address, zone and capacity.
std::string Node::peerRow() const
{
    return settings_.digests_.text() + ' ' + settings_.zone_.text() + ' '
           + std::to_string(settings_.capacity());
}

void Node::notePeersChanged()
{
    arePeersOther_ = true;
    rosterSums_.clear();
}

/// What follows from who the peers are is dealt anew once for all changes since the last digest:
/// in a fleet that starts each entry VM meets all others within a second.
void Node::peersChanged()
{
    arePeersOther_ = false;
    rosterSums_.clear();
    parts_.gateway_.countPeerUpdate();
    std::map<EntryId, EntryCapacity> capacities{{settings_.entry_, settings_.capacity()}};
    std::map<EntryId, AvailabilityZone> zones;
    std::map<EntryId, Address> addresses;
    for (const auto &[entry, peer] : peers_) {
        addresses.emplace(entry, peer.address_);
        capacities.emplace(entry, peer.capacity_);
        zones.emplace(entry, peer.zone_);
    }
    planners_ = dutyOrder("planner", capacities);
    dutyPlace_ = static_cast<std::size_t>(
        std::find(planners_.begin(), planners_.end(), settings_.entry_) - planners_.begin());
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
    parts_.gateway_.setEntryCount(peers_.size() + 1);
    parts_.gateway_.reservations().setPeers(std::move(addresses));
}

void Node::tableConfirmed(const std::string &table, TimePoint asOf)
{
    if (table == parts_.format_.configurationTable()) {
        if (!isSettling(parts_.clock_.now()))
            parts_.gateway_.confirm(asOf);
        noteLearning();
    } else if (table == parts_.format_.endpointTable()) {
        storeAnswered(asOf);
        parts_.gateway_.confirmEndpoints(asOf);
        // The store has no more than this; a peer that tells of more is wrong, or tells it again.
        heardVersion_ = {};
    }
}

void Node::storeReachable(const std::string &table, bool isReachable)
{
    log::info(
        isReachable ? event::storeRegained : event::storeLost,
        {{"table", table},
         {"unconfirmed-ms", std::to_string(toMilliseconds(parts_.gateway_.unconfirmedFor()))}});
}

/// Entries may have lapsed while the store was away. It was if it answered no entry VM for longer
/// than an undisturbed one goes without a confirmation; that this one's own calls failed, or that
/// it made none for long, says nothing about the store, and would excuse endpoints that have ended.
void Node::storeAnswered(TimePoint asOf)
{
    const auto gap = asOf - storeAnsweredAt_;
    if (gap <= Duration::zero())
        return;
    storeAnsweredAt_ = asOf;
    if (gap <= news_.longestGap_)
        return;
    log::info(event::absenceExcused, {{"gap-ms", std::to_string(toMilliseconds(gap))},
                                      {"for-ms", std::to_string(toMilliseconds(absenceGrace))}});
    parts_.endpointRegistry_.tolerateAbsence(asOf + absenceGrace);
}

void Node::tickFast()
{
    noteLearning();
    parts_.gateway_.sweep();
    tellSilence();
    tellCrashes();
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

/// A planner that is late with what the engines list leaves the lease to another one: its own link
/// or processor may be what is overrun. One that alone is left plans on.
void Node::noteOldView(TimePoint now)
{
    if (!parts_.lease_.isHeld())
        plansSince_ = now;
    // One that has just gained the lease is about to look.
    const auto age = now - std::max(parts_.gateway_.endpointsConfirmedAt(), plansSince_);
    const bool isTooOld = age > oldView && !peers_.empty();
    if (isTooOld && !isStandingBy(now)) {
        standbyUntil_ = now + standby;
        log::warning(event::plannerStandsBy,
                     {{"view-age-ms", std::to_string(toMilliseconds(age))},
                      {"epoch", std::to_string(parts_.lease_.epoch().value())},
                      {"for-ms", std::to_string(toMilliseconds(standby))}});
        parts_.lease_.setCandidateRank(std::nullopt);
    } else if (standbyUntil_ != TimePoint{} && !isStandingBy(now)) {
        standbyUntil_ = {};
        parts_.lease_.setCandidateRank(rank_);
    }
}

/// At a first start the other entry VMs are listed a little later; if each contended before, all
/// of them would.
void Node::startLease(TimePoint now)
{
    if (isLeaseStarted_ || (settings_.isFirstStart_ && now - startedAt_ < startPhase))
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
    noteOldView(now);
    logEndpoints(now);
    if (!parts_.gateway_.routes() || !areEndpointsListed_)
        return;
    const bool isPlanner = parts_.lease_.isHeld();
    // Only those that plan or may need the demand of all.
    if (isPlanner || rank_)
        takeDemand();
    // The others get nearly all changes passed on.
    const auto watcherPause = rank_ == 0 ? endpointPause : news_.sparePause_;
    endpointWatch_.setPause(isPlanner ? plannerPause : watcherPause);
    if (isPlanner)
        keepQuarantines(now);
    // Engines may be listed as they were before their last orders.
    if (isSettling(now))
        return;
    parts_.manager_.tick(*parts_.gateway_.routes(), parts_.gateway_.endpointsConfirmedAt());
}

void Node::takeDemand()
{
    auto demand = fleetDemand();
    // Before traffic the operators' shares are all there is to go by.
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
