// Reviews the listed groups: which are opened, closed or dissolved.
#include "serving/planner_run.hpp"

#include <algorithm>

namespace cardamombay::serving::impl {

Readiness readinessOf(const Endpoint &engine, const ModelName &model)
{
    if (engine.model_ == model)
        return Readiness::Loaded;
    return engine.hasStaged(model) ? Readiness::Staged : Readiness::Empty;
}

void PlannerRun::order(const Endpoint &engine, Order order, std::string reason, bool loads)
{
    result_.push_back({engine.id_, std::move(order), std::move(reason), loads, {}});
    loads_ += loads ? 1 : 0;
}

/// Before the first traffic, loads take a tenth of their usual time and do not slow each other
/// down. Without the limit, all 54 engines of a deployment had their weights when traffic arrived,
/// compared with 42 under the limit.
bool PlannerRun::mayLoad() const
{
    return input_.isFirstStart_ || loads_ < input_.profile_->fullSpeedLoads_;
}

bool PlannerRun::isLoading(const Endpoint &engine) const
{
    return input_.loading_.contains(engine.id_);
}

bool PlannerRun::hasOrder(const Endpoint &engine) const
{
    return std::any_of(result_.begin(), result_.end(),
                       [&engine](const PlannedOrder &one) { return one.engine_ == engine.id_; });
}

const Model *PlannerRun::modelNamed(const ModelName &name) const
{
    return input_.profile_->model(name);
}

Plan PlannerRun::plan()
{
    Engines members;
    for (const auto *engine : engines_) {
        if (!engine->membership_ || isReleased(*engine)) {
            addIfFree(*engine);
            continue;
        }
        domainsWithGroups_.insert(engine->domain_);
        members.push_back(engine);
        if (const auto &group = engine->membership_->group_; !isWarmUp(group)) {
            ++enginesInGroups_[engine->domain_];
            groupModels_[engine->domain_].insert(modelNamed(modelOf(group)));
        }
    }
    const auto groups = groupsOf(members);
    for (const auto &group : groups)
        review(group);
    countExpectedGroups();
    reclaim();
    // Before conversions, which would otherwise rely on the capacity of these groups.
    if (input_.mayPrepareConversions_ && !input_.isFirstStart_)
        closeSurplusAcrossDomains();
    convert();
    openReady();
    consolidateGroups();
    for (auto &[domain, engines] : free_) {
        formInDomain(engines);
        // At the first start, each domain is filled before the next one is started: full domains
        // can replace a lost member without a load.
        if (input_.isFirstStart_)
            loadAtStart(engines);
    }
    formAcrossDomains();
    if (!input_.isFirstStart_)
        loadSpares();
    for (const auto &[domain, engines] : free_)
        warmUpSpares(engines);
    stageReserveModels();
    return std::move(result_);
}

/// Weight with which a model competes for fabric domains: its share of the work, increased to
/// compensate for the engines that its groups leave unused. After losses the number of unused
/// engines in a domain lies between 0 and the group size minus one, half of that on average.
double PlannerRun::domainWeight(const Model &model) const
{
    const double size = std::max<double>(static_cast<double>(domainSize_), model.members_);
    const double stranded = (model.members_ - 1) / 2.0;
    return model.share_ * size / (size - stranded);
}

/// The model that the engines of each fabric domain serve. Groups of the same model in a domain can
/// replace each other's members: the survivors of two broken groups form a complete one
/// immediately, without a load.
std::map<FabricDomain, const Model *> PlannerRun::domainModels()
{
    std::map<FabricDomain, std::map<ModelName, int>> staged;
    std::map<ModelName, double> domains;
    std::map<FabricDomain, std::size_t> sizes;
    for (const auto *engine : engines_) {
        domainSize_ = std::max(domainSize_, ++sizes[engine->domain_]);
        auto &counts = staged[engine->domain_];
        // A member's host may hold a model only for a possible conversion.
        const bool mayBeForConversion = input_.mayPrepareConversions_ && engine->membership_;
        for (const auto &model : engine->staged_)
            counts[model] += mayBeForConversion ? 0 : 1;
        if (engine->membership_)
            ++counts[modelOf(engine->membership_->group_)];
    }
    std::map<FabricDomain, const Model *> result;
    for (const auto &[domain, counts] : staged) {
        const auto most = std::max_element(
            counts.begin(), counts.end(),
            [](const auto &left, const auto &right) { return left.second < right.second; });
        result[domain] = most == counts.end() ? nullptr : modelNamed(most->first);
        if (result[domain] != nullptr)
            domains[result[domain]->name_] += 1;
    }
    // Domains are apportioned by Webster's method, which favours neither large nor small shares.
    // For example, of six domains of 9 engines, four go to groups of 4 and two to groups of 3.
    const auto quotientOf
        = [&](const Model &model) { return (domains[model.name_] + 0.5) / domainWeight(model); };
    for (auto &[domain, wanted] : result) {
        if (wanted != nullptr)
            continue;
        for (const auto &model : input_.profile_->models_) {
            if (wanted == nullptr || quotientOf(model) < quotientOf(*wanted))
                wanted = &model;
        }
        if (wanted != nullptr)
            domains[wanted->name_] += 1;
    }
    return result;
}

/// Adds the engine to the free engines unless it is draining or has a pending order.
void PlannerRun::addIfFree(const Endpoint &engine)
{
    if (!engine.isDraining_ && !input_.pending_.contains(engine.id_))
        free_[engine.domain_].push_back(&engine);
}

/// True if the head of the engine's group has left, so that no request can start there.
bool PlannerRun::isReleased(const Endpoint &engine) const
{
    return engine.membership_ && input_.releasedGroups_.contains(engine.membership_->group_);
}

/// Dissolves a group by telling its head to leave; without a head the group serves nothing, and the
/// other members can join another group directly. This saves writes to the platform's list, which
/// accepts a few hundred per second: when 1,100 engines each left before joining, the planner's
/// view lagged by 1 s for 4 s. If the head is lost, all other members are told to leave, because
/// the head may be partitioned and still serving, or an open order may still be in flight to it;
/// without its members no request can start there.
void PlannerRun::dissolve(const GroupView &group, std::string_view reason)
{
    if (group.head_ != nullptr) {
        if (!input_.pending_.contains(group.head_->id_))
            order(*group.head_, LeaveOrder{group.group_, group.epoch_}, std::string(reason));
        return;
    }
    for (const auto *member : group.members_) {
        if (!input_.pending_.contains(member->id_))
            order(*member, LeaveOrder{group.group_, group.epoch_}, std::string(reason));
    }
}

void PlannerRun::review(const GroupView &group)
{
    if (isWarmUp(group.group_)) {
        reviewWarmUp(group);
        return;
    }
    const auto *model = modelNamed(group.model_);
    if (model == nullptr) {
        if (group.head_ != nullptr && group.state() == MemberState::Open)
            order(*group.head_, CloseOrder{group.group_, group.epoch_, false}, "model not wanted");
        else if (group.head_ != nullptr && group.state() != MemberState::Closing)
            dissolve(group, "model not wanted");
        return;
    }
    const bool isComplete = group.isComplete(model->members_) && !group.hasDrainingMember();
    if (isAssembling(group, *model)) {
        groups_[model->name_] += 1;
        return;
    }
    if (group.head_ == nullptr) {
        dissolve(group, "head lost");
        return;
    }
    switch (group.state()) {
    case MemberState::Open:
    case MemberState::Closing:
        reviewServing(group, isComplete);
        break;
    case MemberState::Ready:
        reviewReady(group, isComplete);
        break;
    case MemberState::Joining:
        if (isComplete
            || std::any_of(
                group.members_.begin(), group.members_.end(),
                [this](const Endpoint *member) { return input_.pending_.contains(member->id_); }))
            groups_[model->name_] += 1;
        else
            dissolve(group, "not all members join");
        break;
    case MemberState::Broken:
        dissolve(group, "broken");
        break;
    }
}

/// True while members that were ordered to join the group are not listed in it yet. The feed
/// delivers their changes one by one: without this check, 4 of 18 groups ordered at the same time
/// were dissolved within 40 ms because their first members were listed before the others, which
/// cost callers 0.064 of a day's worth (standard error 0.024, 12 paired runs with 48 engines).
bool PlannerRun::isAssembling(const GroupView &group, const Model &model) const
{
    const auto missing
        = std::count_if(input_.joining_.begin(), input_.joining_.end(), [&](const auto &entry) {
              return entry.second == group.group_
                     && std::none_of(group.members_.begin(), group.members_.end(),
                                     [&](const Endpoint *one) { return one->id_ == entry.first; });
          });
    const auto listed = group.members_.size();
    return missing > 0 && !group.hasDrainingMember()
           && listed + static_cast<std::size_t>(missing) == model.members_;
}

/// Dissolves a warm-up group once its engine has loaded the model, so that the engine is free
/// again.
void PlannerRun::reviewWarmUp(const GroupView &group)
{
    const bool isLoading = group.state() == MemberState::Joining;
    if (!isLoading || group.hasDrainingMember() || modelNamed(group.model_) == nullptr)
        dissolve(group, "weights are loaded");
}

void PlannerRun::reviewServing(const GroupView &group, bool isComplete)
{
    if (isComplete) {
        groups_[group.model_] += capacityOf(group);
        serving_.push_back(&group);
        return;
    }
    // A stalled group cannot complete its requests. A draining member, even one that is no longer
    // listed, stays until its group has completed them.
    if (input_.stalledHeads_.contains(group.head_->id_) || hasUnresponsive(group)) {
        dissolve(group, "member lost");
        return;
    }
    if (group.state() == MemberState::Open && !input_.pending_.contains(group.head_->id_))
        order(*group.head_, CloseOrder{group.group_, group.epoch_, false}, "member leaving");
}

bool PlannerRun::hasUnresponsive(const GroupView &group) const
{
    return std::any_of(input_.engines_.begin(), input_.engines_.end(),
                       [this, &group](const Endpoint *engine) {
                           return input_.unresponsive_.contains(engine->id_) && engine->membership_
                                  && engine->membership_->group_ == group.group_;
                       });
}

void PlannerRun::reviewReady(const GroupView &group, bool isComplete)
{
    if (!isComplete) {
        const bool isSettling = std::any_of(
            group.members_.begin(), group.members_.end(),
            [this](const Endpoint *member) { return input_.pending_.contains(member->id_); });
        if (!isSettling)
            dissolve(group, "member lost");
        return;
    }
    if (group.spansDomains() && fitsOneDomain(group, *modelNamed(group.model_))) {
        dissolve(group, "a group in one domain is possible");
        return;
    }
    groups_[group.model_] += capacityOf(group);
    ready_.push_back(&group);
}

/// Dissolves ready groups whose engines are needed elsewhere and opens the others.
void PlannerRun::openReady()
{
    for (const auto *group : ready_) {
        if (dissolving_.contains(group->group_)) {
            dissolve(*group, "its engines are needed for other groups");
            continue;
        }
        const bool areAllReady = std::all_of(
            group->members_.begin(), group->members_.end(), [](const Endpoint *member) {
                return member->membership_->state_ == MemberState::Ready;
            });
        if (areAllReady && !input_.pending_.contains(group->head_->id_))
            order(*group->head_, OpenOrder{group->group_, group->epoch_}, "all members ready");
    }
}

} // namespace cardamombay::serving::impl
