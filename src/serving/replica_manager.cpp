#include <cardamombay/serving/replica_manager.hpp>

#include "serving/log_events.hpp"

#include <cardamombay/log/log.hpp>

#include <algorithm>
#include <utility>

namespace cardamombay::serving {

namespace {

/// Rest of the lease that an order needs: its call and the clocks' drift.
constexpr Duration orderMargin = std::chrono::milliseconds(500);

/// An engine lists a change at once; the feed brings it within a few hundred milliseconds. After
/// that the order counts as lost and the planner decides anew.
constexpr Duration effectTime = std::chrono::milliseconds(800);

/// A view of the engines that is older may miss groups that have formed since; a watch confirms it
/// every 1.5 s at the latest.
constexpr Duration longestViewAge = std::chrono::milliseconds(2500);

/// Pause between two rounds of questions; a question itself waits 150 ms. Grows with the rounds, as
/// questions are priced: 36 engines of a dark domain left 245 of them unanswered in 7.6 s.
constexpr Duration askAgain = std::chrono::milliseconds(400);
constexpr int mostAskedPauses = 4;

/// A plan is made at least that often, for what only time changes.
constexpr Duration longestPlanGap = std::chrono::milliseconds(500);

/// Engines that start together are listed within a few hundred milliseconds of each other; the
/// callers come seconds later.
constexpr Duration listingTime = std::chrono::milliseconds(500);

/// Members of one group leave it within a few hundred milliseconds of each other.
constexpr Duration settleTime = std::chrono::milliseconds(600);

constexpr Duration capacityLogPeriod = std::chrono::seconds(1);

/// Group epochs of one tenure of the lease; the lease's own epoch stands before them.
constexpr std::uint64_t epochsOfTenure = 1'000'000;

/// The model that an order loads; empty if it loads none.
ModelName loadedBy(const Order &order)
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
    if (std::exchange(wasHeld_, isHeld) != isHeld)
        log::info(isHeld ? event::leaseGained : event::leaseLost,
                  {{"epoch", std::to_string(parts_.lease_.epoch().value())}});
    if (!isHeld || now - listedAsOf > longestViewAge || !isDue(now))
        return;
    for (const auto &service : routes.configuration().services_) {
        if (service.engine_)
            planService(service);
    }
}

/// Nothing can be due while no engine, no order and no stalled group has changed; demand moves
/// slowly.
bool ReplicaManager::isDue(TimePoint now)
{
    const bool hasChanged = parts_.endpointRegistry_.revision() != plannedRevision_ || hadOrders_
                            || !pending_.empty() || !unanswered_.empty()
                            || !parts_.loadTracker_.stalledEverywhere(now).empty();
    if (!hasChanged && now - plannedAt_ < longestPlanGap)
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
    const auto isAnotherLife = [this](const VmId &id, std::uint64_t bornAt) {
        const auto *engine = parts_.endpointRegistry_.find(id);
        return engine == nullptr || engine->startedAt_ != bornAt;
    };
    std::erase_if(unanswered_, [&](const auto &entry) {
        return isAnotherLife(entry.first, entry.second.startedAt_);
    });
    std::erase_if(loads_, [&](const auto &entry) {
        const auto *engine = parts_.endpointRegistry_.find(entry.first);
        const bool isDone = isAnotherLife(entry.first, entry.second.startedAt_)
                            || engine->hasStaged(entry.second.model_);
        return isDone || now >= entry.second.until_;
    });
}

PlanInput ReplicaManager::inputFor(const Service &service, const Memory &memory,
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
    input.silent_.insert(silent.begin(), silent.end());
    for (const auto &[engine, silence] : unanswered_)
        input.unresponsive_.insert(engine);
    for (const auto &[engine, load] : loads_)
        input.loading_.emplace(engine, load.model_);
    const auto now = parts_.clock_.now();
    for (const auto &[engine, since] : memory.freeSince_) {
        if (now - since < settleTime)
            input.justFreed_.insert(engine);
    }
    input.released_ = memory.heads_.released(engines);
    input.isFirstLoad_ = isFirstLoad_;
    input.demand_ = demand_;
    input.mix_ = parts_.mix_;
    input.nextEpoch_ = [this] { return nextEpoch(); };
    return input;
}

void ReplicaManager::planService(const Service &service)
{
    const auto engines = plannable(parts_.endpointRegistry_.ofService(service.name_));
    auto &memory = memories_[service.name_];
    if (isFirstLoad_ && !hasSettled(memory, engines.size()))
        return;
    inquire(engines);
    askLeftOut(memory, engines);
    noteFree(memory, engines);
    memory.heads_.note(engines);
    logCapacity(service, memory, engines);
    const auto plan = planReplicas(inputFor(service, memory, engines));
    hadOrders_ = hadOrders_ || !plan.empty();
    for (const auto &order : plan)
        send(order, *service.engine_);
}

/// Groups in zones that are evacuated stand until the zone is back, and nothing forms there; those
/// that also have members elsewhere serve on.
std::vector<const Endpoint *>
ReplicaManager::plannable(const std::vector<const Endpoint *> &engines) const
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

void ReplicaManager::noteFree(Memory &memory, const std::vector<const Endpoint *> &engines) const
{
    const auto now = parts_.clock_.now();
    std::map<VmId, TimePoint> free;
    for (const auto *engine : engines) {
        if (engine->membership_)
            continue;
        const auto known = memory.freeSince_.find(engine->id_);
        free.emplace(engine->id_, known == memory.freeSince_.end() ? now : known->second);
    }
    memory.freeSince_ = std::move(free);
}

/// At the first start the engines are listed one after the other; how many share a fabric domain is
/// known once no more come.
bool ReplicaManager::hasSettled(Memory &memory, std::size_t engines) const
{
    const auto now = parts_.clock_.now();
    if (std::exchange(memory.engineCount_, engines) != engines)
        memory.countedAt_ = now;
    return now - memory.countedAt_ >= listingTime;
}

/// One line a model each second: what serves, what is asked for and what could serve.
void ReplicaManager::logCapacity(const Service &service, Memory &memory,
                                 const std::vector<const Endpoint *> &engines)
{
    const auto now = parts_.clock_.now();
    if (now - memory.loggedAt_ < capacityLogPeriod)
        return;
    memory.loggedAt_ = now;
    const auto groups = groupsOf(engines);
    for (const auto &model : service.engine_->models_) {
        const auto near = std::count_if(groups.begin(), groups.end(), [&](const GroupView &one) {
            return one.model_ == model.name_ && one.state() == MemberState::Open && !one.isFar();
        });
        const auto far = std::count_if(groups.begin(), groups.end(), [&](const GroupView &one) {
            return one.model_ == model.name_ && one.state() == MemberState::Open && one.isFar();
        });
        const auto spares = std::count_if(engines.begin(), engines.end(), [&](const Endpoint *one) {
            return !one->membership_ && one->hasStaged(model.name_);
        });
        const auto demand = demand_.find(model.name_);
        log::info(event::capacity,
                  {{"model", model.name_.text()},
                   {"open", std::to_string(near)},
                   {"open-far", std::to_string(far)},
                   {"spares", std::to_string(spares)},
                   {"demand-groups",
                    demand == demand_.end() ? "" : std::to_string(demand->second).substr(0, 5)},
                   {"engines", std::to_string(engines.size())},
                   {"loads", std::to_string(loads_.size())}});
    }
}

/// A group that stalls has lost a member, or its head: its members are asked which.
void ReplicaManager::inquire(const std::vector<const Endpoint *> &engines)
{
    const auto now = parts_.clock_.now();
    const auto silent = parts_.loadTracker_.stalledEverywhere(now);
    for (const auto &group : groupsOf(engines)) {
        const bool isStalled
            = group.head_ != nullptr
              && std::binary_search(silent.begin(), silent.end(), group.head_->id_);
        const bool isOpenQuestion
            = std::any_of(group.members_.begin(), group.members_.end(),
                          [this](const Endpoint *one) { return unanswered_.contains(one->id_); });
        auto &inquiry = inquiries_[group.group_];
        if ((!isStalled && !isOpenQuestion) || inquiry.open_ > 0
            || now - inquiry.askedAt_ < askAgain * std::min(inquiry.rounds_, mostAskedPauses))
            continue;
        const bool isNew = now - inquiry.askedAt_ > askAgain * (mostAskedPauses + 1);
        inquiry.rounds_ = isNew ? 1 : inquiry.rounds_ + 1;
        inquiry.askedAt_ = now;
        for (const auto *member : group.members_) {
            // Once it is known who is silent, only they are asked again.
            if (!isOpenQuestion || unanswered_.contains(member->id_))
                ask(group.group_, *member);
        }
    }
}

/// Engines that were left out and are in no group any more would be left out for good.
void ReplicaManager::askLeftOut(Memory &memory, const std::vector<const Endpoint *> &engines)
{
    const auto now = parts_.clock_.now();
    if (now - memory.leftOutAskedAt_ < askAgain * mostAskedPauses)
        return;
    memory.leftOutAskedAt_ = now;
    for (const auto *engine : engines) {
        if (!engine->membership_ && unanswered_.contains(engine->id_))
            ask({}, *engine);
    }
}

void ReplicaManager::ask(const GroupName &group, const Endpoint &member)
{
    ++inquiries_[group].open_;
    parts_.orders_.state(member, [this, alive = std::weak_ptr(isAlive_), group, id = member.id_,
                                  bornAt = member.startedAt_](const Result<Endpoint> &answer) {
        if (!alive.expired())
            memberAnswered(group, id, bornAt, answer);
    });
}

/// An engine that has started again since it was listed answers, but it is in no group any more.
void ReplicaManager::memberAnswered(const GroupName &group, const VmId &member,
                                    std::uint64_t bornAt, const Result<Endpoint> &answer)
{
    auto &inquiry = inquiries_[group];
    inquiry.open_ -= inquiry.open_ > 0 ? 1 : 0;
    // It has answered this entry VM just before.
    if (isError<EndpointCoolingDown>(answer))
        return;
    const bool isRestarted = isOk(answer) && valueOf(answer).startedAt_ > bornAt;
    if (isOk(answer) && !isRestarted) {
        unanswered_.erase(member);
        return;
    }
    auto &silence = unanswered_[member];
    silence.startedAt_ = bornAt;
    ++silence.questions_;
    const auto problem = isRestarted ? "it has started again" : messageOf(errorOf(answer));
    log::info(event::engineSilent,
              {{"engine", member.text()},
               {"group", group.text()},
               {"error", isRestarted ? "restarted" : std::string(kindOf(errorOf(answer)))},
               {"problem", problem},
               {"questions", std::to_string(silence.questions_)}});
}

void ReplicaManager::send(const PlannedOrder &planned, const EngineProfile &profile)
{
    const auto *engine = parts_.endpointRegistry_.find(planned.engine_);
    if (engine == nullptr || !parts_.lease_.isHeldFor(orderMargin))
        return;
    const auto now = parts_.clock_.now();
    const auto *join = std::get_if<JoinOrder>(&planned.order_);
    const auto group = join == nullptr ? GroupName() : join->group_;
    pending_[planned.engine_] = {now + effectTime, *engine, group};
    if (planned.loads_) {
        // Loads that share the weight store take longer than one alone.
        const auto model = loadedBy(planned.order_);
        const auto alone = loadTimeOf(profile, model);
        loads_[planned.engine_]
            = {now + (isFirstLoad_ ? alone / 5 : alone * 3 / 2), model, engine->startedAt_};
    }
    log::info(event::orderSent, {{"engine", planned.engine_.text()},
                                 {"order", std::string(nameOf(planned.order_))},
                                 {"group", group.text()},
                                 {"model", loadedBy(planned.order_).text()},
                                 {"reason", planned.reason_},
                                 {"fence", std::to_string(parts_.lease_.epoch().value())},
                                 {"loads", planned.loads_ ? "yes" : "no"}});
    parts_.orders_.send(*engine, planned.order_, parts_.lease_.epoch().value(),
                        [this, alive = std::weak_ptr(isAlive_), id = planned.engine_,
                         order = planned.order_](const Result<OrderAnswer> &answer) {
                            if (!alive.expired())
                                answered(id, order, answer);
                        });
}

void ReplicaManager::answered(const VmId &engine, const Order &order,
                              const Result<OrderAnswer> &answer)
{
    const auto text = isOk(answer) ? std::string(nameOf(valueOf(answer)))
                                   : std::string(kindOf(errorOf(answer)));
    if (isOk(answer) && valueOf(answer) == OrderAnswer::Begun)
        return;
    log::info(event::orderAnswered,
              {{"engine", engine.text()}, {"order", std::string(nameOf(order))}, {"answer", text}});
    // A head that does not take the order to leave counts as lost, so that its members leave.
    const auto *listed = parts_.endpointRegistry_.find(engine);
    if (!isOk(answer) && std::holds_alternative<LeaveOrder>(order) && listed != nullptr) {
        auto &silence = unanswered_[engine];
        silence.startedAt_ = listed->startedAt_;
        ++silence.questions_;
    }
}

std::uint64_t ReplicaManager::nextEpoch()
{
    const auto tenure = parts_.lease_.epoch();
    if (std::exchange(countedFor_, tenure) != tenure)
        counter_ = 0;
    return tenure.value() * epochsOfTenure + ++counter_;
}

} // namespace cardamombay::serving
