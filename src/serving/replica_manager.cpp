#include <cardamombay/serving/replica_manager.hpp>

#include "serving/log_events.hpp"

#include <cardamombay/log/log.hpp>

#include <algorithm>
#include <utility>

namespace cardamombay::serving {

namespace {

/// Remaining lease time required to send an order; covers the call and clock drift.
constexpr Duration orderMargin = std::chrono::milliseconds(500);

/// An engine publishes a change immediately, and the feed delivers it within a few hundred
/// milliseconds. After this time the order counts as lost and is planned again.
constexpr Duration orderEffectTimeout = std::chrono::milliseconds(800);

/// An older list of engines may lack groups that have formed since; the watch confirms the list at
/// least every 1.5 s.
constexpr Duration maxViewAge = std::chrono::milliseconds(2500);

/// Pause between two rounds of state queries; a single query times out after 150 ms. The pause
/// grows with each round because queries have a cost: 36 engines of an unreachable fabric domain
/// caused 245 unanswered queries in 7.6 s.
constexpr Duration queryRetryPause = std::chrono::milliseconds(400);
constexpr int maxRetryPauseFactor = 4;

/// Maximum time between two plans, for decisions that depend only on elapsed time.
constexpr Duration maxPlanInterval = std::chrono::milliseconds(500);

/// Engines that start together are listed within a few hundred milliseconds of each other; traffic
/// arrives seconds later.
constexpr Duration listingSettleTime = std::chrono::milliseconds(500);

/// The members of a group leave it within a few hundred milliseconds of each other.
constexpr Duration freedSettleTime = std::chrono::milliseconds(600);

constexpr Duration capacityLogPeriod = std::chrono::seconds(1);

/// An outcome that the planner reports again within this time is not logged again: runs follow each
/// other after 40 to 500 ms.
constexpr Duration mixLogPause = std::chrono::seconds(1);

/// Number of group epochs per lease epoch; the lease epoch forms the leading digits.
constexpr std::uint64_t epochsPerTenure = 1'000'000;

/// The model that the order loads; empty if it loads none.
ModelName modelLoadedBy(const Order &order)
{
    if (const auto *join = std::get_if<JoinOrder>(&order))
        return join->model_;
    if (const auto *stage = std::get_if<StageOrder>(&order))
        return stage->model_;
    return {};
}

Duration loadTimeOf(const EngineProfile &profile, const ModelName &name)
{
    const auto *model = profile.model(name);
    return model == nullptr ? Duration::zero() : model->load_;
}

} // namespace

ReplicaManager::ReplicaManager(ManagerParts parts)
    : parts_(parts)
{
}

void ReplicaManager::tick(const RouteTable &routes, TimePoint listedAsOf)
{
    const auto now = parts_.clock_.now();
    expire(now, listedAsOf);
    const bool isHeld = parts_.lease_.isHeldFor(orderMargin);
    if (std::exchange(wasLeaseHeld_, isHeld) != isHeld)
        log::info(isHeld ? event::leaseGained : event::leaseLost,
                  {{"epoch", std::to_string(parts_.lease_.epoch().value())}});
    if (!isHeld || now - listedAsOf > maxViewAge || !isDue(now))
        return;
    for (const auto &service : routes.configuration().services_) {
        if (service.engine_)
            planService(service, routes.hasRanks(service.name_));
    }
}

/// No order can become due while engines, orders and stalled groups are unchanged. Demand changes
/// slowly enough to be covered by maxPlanInterval.
bool ReplicaManager::isDue(TimePoint now)
{
    const bool hasChanged = parts_.endpointRegistry_.revision() != plannedRevision_ || hadOrders_
                            || !pending_.empty() || !unansweredQueries_.empty()
                            || !parts_.loadTracker_.stalledEverywhere(now).empty();
    if (!hasChanged && now - plannedAt_ < maxPlanInterval)
        return false;
    plannedAt_ = now;
    plannedRevision_ = parts_.endpointRegistry_.revision();
    hadOrders_ = false;
    return true;
}

void ReplicaManager::expire(TimePoint now, TimePoint listedAsOf)
{
    const auto ended = std::erase_if(pending_, [this, listedAsOf](const auto &entry) {
        const auto *engine = parts_.endpointRegistry_.find(entry.first);
        return listedAsOf >= entry.second.until_ || engine == nullptr
               || *engine != entry.second.before_;
    });
    hadOrders_ = hadOrders_ || ended > 0;
    const auto isGoneOrRestarted = [this](const VmId &id, std::uint64_t bornAt) {
        const auto *engine = parts_.endpointRegistry_.find(id);
        return engine == nullptr || engine->startedAt_ != bornAt;
    };
    std::erase_if(unansweredQueries_, [&](const auto &entry) {
        return isGoneOrRestarted(entry.first, entry.second.startedAt_);
    });
    std::erase_if(loads_, [&](const auto &entry) {
        const auto *engine = parts_.endpointRegistry_.find(entry.first);
        const bool isDone = isGoneOrRestarted(entry.first, entry.second.startedAt_)
                            || engine->hasStaged(entry.second.model_);
        return isDone || now >= entry.second.until_;
    });
}

PlanInput ReplicaManager::planInput(const Service &service, const ServiceState &serviceState,
                                    const std::vector<const Endpoint *> &engines)
{
    PlanInput input;
    input.engines_ = engines;
    input.profile_ = &*service.engine_;
    for (const auto &[engine, order] : pending_) {
        input.pending_.insert(engine);
        if (!order.group_.isEmpty())
            input.joining_.emplace(engine, order.group_);
    }
    const auto silent = parts_.loadTracker_.stalledEverywhere(parts_.clock_.now());
    input.stalledHeads_.insert(silent.begin(), silent.end());
    for (const auto &[engine, unansweredQueries] : unansweredQueries_)
        input.unresponsive_.insert(engine);
    for (const auto &[engine, load] : loads_)
        input.loading_.emplace(engine, load.model_);
    const auto now = parts_.clock_.now();
    for (const auto &[engine, since] : serviceState.freeSince_) {
        if (now - since < freedSettleTime)
            input.recentlyFreed_.insert(engine);
    }
    input.releasedGroups_ = serviceState.heads_.released(engines);
    input.keptFor_ = serviceState.keptEngines_.models();
    input.isFirstStart_ = isFirstStart_;
    input.demand_ = demand_;
    input.mix_ = parts_.mix_;
    input.nextEpoch_ = [this] { return nextEpoch(); };
    return input;
}

void ReplicaManager::planService(const Service &service, bool hasRanks)
{
    const auto engines = plannableEngines(parts_.endpointRegistry_.ofService(service.name_));
    auto &serviceState = serviceStates_[service.name_];
    if (isFirstStart_ && !isListingSettled(serviceState, engines.size()))
        return;
    queryStalledGroups(engines);
    queryUngroupedEngines(serviceState, engines);
    updateFreeSince(serviceState, engines);
    serviceState.heads_.update(engines);
    const auto now = parts_.clock_.now();
    serviceState.keptEngines_.update(engines, now);
    logCapacity(service, serviceState, engines);
    auto input = planInput(service, serviceState, engines);
    input.mayPrepareConversions_ = hasRanks;
    input.reportMix_ = [&](std::string_view outcome, std::span<const ModelLoad> models) {
        logMix(service, serviceState, outcome, models);
    };
    const auto plan = planReplicas(input);
    hadOrders_ = hadOrders_ || !plan.empty();
    for (const auto &order : plan) {
        serviceState.keptEngines_.record(order, engines, now);
        send(order, *service.engine_);
    }
}

/// Logs why a group is or is not converted, with the figures of each model, when the planner first
/// reports it.
void ReplicaManager::logMix(const Service &service, ServiceState &serviceState,
                            std::string_view outcome, std::span<const ModelLoad> models) const
{
    const auto now = parts_.clock_.now();
    auto &outcomes = serviceState.mixOutcomes_;
    std::erase_if(outcomes, [now](const auto &one) { return now - one.second > mixLogPause; });
    if (!outcomes.insert_or_assign(std::string(outcome), now).second)
        return;
    std::string figures;
    for (const auto &load : models) {
        figures += (figures.empty() ? "" : " ") + load.model_->name_.text() + ":"
                   + std::to_string(load.groups_).substr(0, 5) + "/"
                   + std::to_string(load.demand_).substr(0, 5) + "="
                   + std::to_string(load.coverageAfterLoss()).substr(0, 5);
    }
    log::info(event::mixReviewed, {{"service", service.name_.text()},
                                   {"outcome", std::string(outcome)},
                                   {"groups-demand-coverage", figures}});
}

/// Groups within evacuated availability zones are left as they are until the zone returns, and no
/// groups form there. Groups that also have members in other zones continue to serve.
std::vector<const Endpoint *>
ReplicaManager::plannableEngines(const std::vector<const Endpoint *> &engines) const
{
    std::set<GroupName> serving;
    for (const auto *engine : engines) {
        if (engine->membership_ && !parts_.endpointRegistry_.isEvacuated(*engine))
            serving.insert(engine->membership_->group_);
    }
    std::vector<const Endpoint *> result;
    for (const auto *engine : engines) {
        const bool isOfServing
            = engine->membership_ && serving.contains(engine->membership_->group_);
        if (isOfServing || !parts_.endpointRegistry_.isEvacuated(*engine))
            result.push_back(engine);
    }
    return result;
}

void ReplicaManager::updateFreeSince(ServiceState &serviceState,
                                     const std::vector<const Endpoint *> &engines) const
{
    const auto now = parts_.clock_.now();
    std::map<VmId, TimePoint> free;
    for (const auto *engine : engines) {
        if (engine->membership_)
            continue;
        const auto known = serviceState.freeSince_.find(engine->id_);
        free.emplace(engine->id_, known == serviceState.freeSince_.end() ? now : known->second);
    }
    serviceState.freeSince_ = std::move(free);
}

/// At the first start, engines are listed one by one; the size of each fabric domain is known only
/// once no more engines appear.
bool ReplicaManager::isListingSettled(ServiceState &serviceState, std::size_t engines) const
{
    const auto now = parts_.clock_.now();
    if (std::exchange(serviceState.engineCount_, engines) != engines)
        serviceState.countedAt_ = now;
    return now - serviceState.countedAt_ >= listingSettleTime;
}

/// Logs the open groups, the demand and the spare engines of each model once per second.
void ReplicaManager::logCapacity(const Service &service, ServiceState &serviceState,
                                 const std::vector<const Endpoint *> &engines)
{
    const auto now = parts_.clock_.now();
    if (now - serviceState.loggedAt_ < capacityLogPeriod)
        return;
    serviceState.loggedAt_ = now;
    const auto groups = groupsOf(engines);
    for (const auto &model : service.engine_->models_) {
        const auto inDomain
            = std::count_if(groups.begin(), groups.end(), [&](const GroupView &one) {
                  return one.model_ == model.name_ && one.state() == MemberState::Open
                         && !one.spansDomains();
              });
        const auto crossDomain
            = std::count_if(groups.begin(), groups.end(), [&](const GroupView &one) {
                  return one.model_ == model.name_ && one.state() == MemberState::Open
                         && one.spansDomains();
              });
        const auto spares = std::count_if(engines.begin(), engines.end(), [&](const Endpoint *one) {
            return !one->membership_ && one->hasStaged(model.name_);
        });
        const auto demand = demand_.find(model.name_);
        log::info(event::capacity,
                  {{"model", model.name_.text()},
                   {"open", std::to_string(inDomain)},
                   {"open-far", std::to_string(crossDomain)},
                   {"spares", std::to_string(spares)},
                   {"demand-groups",
                    demand == demand_.end() ? "" : std::to_string(demand->second).substr(0, 5)},
                   {"engines", std::to_string(engines.size())},
                   {"loads", std::to_string(loads_.size())}});
    }
}

/// Queries the members of stalled groups to find out which of them, or whether the head, has
/// failed.
void ReplicaManager::queryStalledGroups(const std::vector<const Endpoint *> &engines)
{
    const auto now = parts_.clock_.now();
    const auto silent = parts_.loadTracker_.stalledEverywhere(now);
    for (const auto &group : groupsOf(engines)) {
        const bool isStalled
            = group.head_ != nullptr
              && std::binary_search(silent.begin(), silent.end(), group.head_->id_);
        const bool hasUnresponsiveMember = std::any_of(
            group.members_.begin(), group.members_.end(),
            [this](const Endpoint *one) { return unansweredQueries_.contains(one->id_); });
        auto &query = stateQueries_[group.group_];
        if ((!isStalled && !hasUnresponsiveMember) || query.pendingAnswers_ > 0
            || now - query.sentAt_ < queryRetryPause * std::min(query.rounds_, maxRetryPauseFactor))
            continue;
        const bool isNew = now - query.sentAt_ > queryRetryPause * (maxRetryPauseFactor + 1);
        query.rounds_ = isNew ? 1 : query.rounds_ + 1;
        query.sentAt_ = now;
        for (const auto *member : group.members_) {
            // Once unresponsive members are known, only those are queried again.
            if (!hasUnresponsiveMember || unansweredQueries_.contains(member->id_))
                queryMember(group.group_, *member);
        }
    }
}

/// Queries unresponsive engines that no longer belong to a group; the queries of groups do not
/// cover them, so they would otherwise stay excluded forever.
void ReplicaManager::queryUngroupedEngines(ServiceState &serviceState,
                                           const std::vector<const Endpoint *> &engines)
{
    const auto now = parts_.clock_.now();
    if (now - serviceState.ungroupedQueriedAt_ < queryRetryPause * maxRetryPauseFactor)
        return;
    serviceState.ungroupedQueriedAt_ = now;
    for (const auto *engine : engines) {
        if (!engine->membership_ && unansweredQueries_.contains(engine->id_))
            queryMember({}, *engine);
    }
}

void ReplicaManager::queryMember(const GroupName &group, const Endpoint &member)
{
    ++stateQueries_[group].pendingAnswers_;
    parts_.orders_.state(member, [this, alive = std::weak_ptr(isAlive_), group, id = member.id_,
                                  bornAt = member.startedAt_](const Result<Endpoint> &answer) {
        if (!alive.expired())
            onStateAnswer(group, id, bornAt, answer);
    });
}

/// An engine that has restarted since it was listed does answer, but has lost its membership.
void ReplicaManager::onStateAnswer(const GroupName &group, const VmId &member, std::uint64_t bornAt,
                                   const Result<Endpoint> &answer)
{
    auto &query = stateQueries_[group];
    query.pendingAnswers_ -= query.pendingAnswers_ > 0 ? 1 : 0;
    // The engine answered this entry VM only moments ago.
    if (isError<EndpointCoolingDown>(answer))
        return;
    const bool isRestarted = isOk(answer) && valueOf(answer).startedAt_ > bornAt;
    if (isOk(answer) && !isRestarted) {
        unansweredQueries_.erase(member);
        return;
    }
    auto &unansweredQueries = unansweredQueries_[member];
    unansweredQueries.startedAt_ = bornAt;
    ++unansweredQueries.count_;
    const auto problem = isRestarted ? "it has started again" : messageOf(errorOf(answer));
    log::info(event::engineSilent,
              {{"engine", member.text()},
               {"group", group.text()},
               {"error", isRestarted ? "restarted" : std::string(kindOf(errorOf(answer)))},
               {"problem", problem},
               {"questions", std::to_string(unansweredQueries.count_)}});
}

void ReplicaManager::send(const PlannedOrder &planned, const EngineProfile &profile)
{
    const auto *engine = parts_.endpointRegistry_.find(planned.engine_);
    if (engine == nullptr || !parts_.lease_.isHeldFor(orderMargin))
        return;
    const auto now = parts_.clock_.now();
    const auto *join = std::get_if<JoinOrder>(&planned.order_);
    const auto group = join == nullptr ? GroupName() : join->group_;
    pending_[planned.engine_] = {now + orderEffectTimeout, *engine, group};
    if (planned.loads_) {
        // Concurrent loads share the weight store and take longer than a single one.
        const auto model = modelLoadedBy(planned.order_);
        const auto alone = loadTimeOf(profile, model);
        loads_[planned.engine_]
            = {now + (isFirstStart_ ? alone / 5 : alone * 3 / 2), model, engine->startedAt_};
    }
    log::info(event::orderSent, {{"engine", planned.engine_.text()},
                                 {"order", std::string(nameOf(planned.order_))},
                                 {"group", group.text()},
                                 {"model", modelLoadedBy(planned.order_).text()},
                                 {"reason", planned.reason_},
                                 {"fence", std::to_string(parts_.lease_.epoch().value())},
                                 {"loads", planned.loads_ ? "yes" : "no"}});
    parts_.orders_.send(*engine, planned.order_, parts_.lease_.epoch().value(),
                        [this, alive = std::weak_ptr(isAlive_), id = planned.engine_,
                         order = planned.order_](const Result<OrderAnswer> &answer) {
                            if (!alive.expired())
                                onOrderAnswer(id, order, answer);
                        });
}

void ReplicaManager::onOrderAnswer(const VmId &engine, const Order &order,
                                   const Result<OrderAnswer> &answer)
{
    const auto text = isOk(answer) ? std::string(nameOf(valueOf(answer)))
                                   : std::string(kindOf(errorOf(answer)));
    if (isOk(answer) && valueOf(answer) == OrderAnswer::Begun)
        return;
    log::info(event::orderAnswered,
              {{"engine", engine.text()}, {"order", std::string(nameOf(order))}, {"answer", text}});
    // A head that cannot be told to leave counts as lost, so that its members are told to leave.
    const auto *listed = parts_.endpointRegistry_.find(engine);
    if (!isOk(answer) && std::holds_alternative<LeaveOrder>(order) && listed != nullptr) {
        auto &unansweredQueries = unansweredQueries_[engine];
        unansweredQueries.startedAt_ = listed->startedAt_;
        ++unansweredQueries.count_;
    }
}

std::uint64_t ReplicaManager::nextEpoch()
{
    const auto tenure = parts_.lease_.epoch();
    if (std::exchange(counterEpoch_, tenure) != tenure)
        epochCounter_ = 0;
    return tenure.value() * epochsPerTenure + ++epochCounter_;
}

} // namespace cardamombay::serving
