// Handles fabric domains that serve several models: engines of smaller groups are reclaimed to
// repair larger groups.
#include "serving/planner_run.hpp"

#include <algorithm>

namespace cardamombay::serving::impl {

namespace {

/// Ratio of capacity to demand below which a model lacks capacity, since its groups are nearly
/// full. Reclaiming only below 1.5, even where survivors were waiting, cost 0.015 of a day's worth
/// (standard error 0.018).
constexpr double sufficientCoverage = 1.3;

/// Divisor of the limit on concurrent loads that applies to reserve loads; the remaining loads are
/// kept for engines without any model.
constexpr std::uint32_t reserveLoadsDivisor = 2;

} // namespace

void PlannerRun::recordPresentModels()
{
    for (const auto *engine : engines_) {
        auto &present = presentModels_[engine->domain_];
        const auto note = [&](const ModelName &name) {
            if (const auto *model = modelNamed(name))
                present.insert(model);
        };
        note(engine->model_);
        if (engine->membership_)
            note(modelOf(engine->membership_->group_));
        for (const auto &model : engine->staged_) {
            if (!isStagedForConversion(*engine, model))
                note(model);
        }
    }
}

/// True if a member's host has \p model staged only for a possible conversion of its group. The
/// domain does not serve that model yet, and new empty engines should load the domain's current
/// models.
bool PlannerRun::isStagedForConversion(const Endpoint &engine, const ModelName &model) const
{
    const auto *staged = modelNamed(model);
    const auto *own
        = engine.membership_ ? modelNamed(modelOf(engine.membership_->group_)) : nullptr;
    return staged != nullptr && own != nullptr && staged->members_ < own->members_;
}

/// The model with the largest groups of the domain, which engines of smaller groups keep on their
/// hosts; null if the domain has only one model.
const Model *PlannerRun::reserveModel(const FabricDomain &domain) const
{
    const auto found = presentModels_.find(domain);
    if (found == presentModels_.end() || found->second.size() < 2)
        return nullptr;
    return *std::max_element(
        found->second.begin(), found->second.end(),
        [](const Model *left, const Model *right) { return left->members_ < right->members_; });
}

/// True if a domain of \p engines has room for a group of a smaller model beside one of \p model.
bool PlannerRun::leavesRoomForSmaller(const Model &model, std::size_t engines) const
{
    const auto &models = input_.profile_->models_;
    return std::any_of(models.begin(), models.end(), [&](const Model &one) {
        return one.members_ < model.members_ && model.members_ + one.members_ <= engines;
    });
}

/// True if a domain of \p engines should hold groups of several models: groups of the largest model
/// alone would use all engines and leave no spare, so that each loss would take down a whole group
/// until another engine has loaded the model.
bool PlannerRun::shouldMixModels(std::size_t engines) const
{
    const auto &models = input_.profile_->models_;
    const auto largest
        = std::max_element(models.begin(), models.end(), [](const Model &left, const Model &right) {
              return left.members_ < right.members_;
          });
    return largest != models.end() && leavesRoomForSmaller(*largest, engines)
           && engines % largest->members_ == 0;
}

/// The model of the next group in a domain whose free engines have no weights.
const Model *PlannerRun::initialModel(const Engines &free) const
{
    if (free.empty())
        return nullptr;
    if (!shouldMixModels(domainSize_)) {
        const auto found = domainModels_.find(free.front()->domain_);
        const auto *model = found == domainModels_.end() ? nullptr : found->second;
        return model != nullptr && free.size() >= model->members_ ? model : nullptr;
    }
    // The largest group is formed first: engines are listed one by one, and small groups would
    // leave no room for it.
    const auto present = presentModels_.find(free.front()->domain_);
    const bool isBegun = present != presentModels_.end() && !present->second.empty();
    const bool hasSmallerGroups = isBegun && present->second.size() > 1;
    const Model *best = nullptr;
    for (const auto &model : input_.profile_->models_) {
        const bool isLarge = leavesRoomForSmaller(model, domainSize_);
        const bool hasRoom
            = hasSmallerGroups || !isLarge || leavesRoomForSmaller(model, free.size());
        if (free.size() < model.members_ || !hasRoom || (!isBegun && !isLarge))
            continue;
        if (best == nullptr || coverage(model) < coverage(*best))
            best = &model;
    }
    return best;
}

/// The model that an engine without a model should load.
const Model *PlannerRun::modelToLoad(const FabricDomain &domain)
{
    const auto &present = presentModels_[domain];
    if (present.empty())
        return domainModels_[domain];
    return *std::max_element(present.begin(), present.end(),
                             [&](const Model *left, const Model *right) {
                                 return loadBenefit(domain, *left) < loadBenefit(domain, *right);
                             });
}

/// Completes larger groups with engines of smaller groups of the same domain if the smaller groups'
/// model has the higher coverage: a load takes 12 to 16 s, while closing a group takes about 3 s.
/// Not doing so cost callers 0.16 of a day's worth (standard error 0.04, 12 paired runs with 48
/// engines).
void PlannerRun::reclaim()
{
    if (input_.demand_.empty())
        return;
    for (const auto &[domain, present] : presentModels_) {
        if (const auto *model = reserveModel(domain))
            reclaimFor(*model, domain);
    }
}

void PlannerRun::reclaimFor(const Model &model, const FabricDomain &domain)
{
    const auto &free = free_[domain];
    const auto able = static_cast<std::size_t>(
        std::count_if(free.begin(), free.end(), [&model](const Endpoint *engine) {
            return readinessOf(*engine, model.name_) != Readiness::Empty;
        }));
    if (able >= model.members_ || (able == 0 && coverage(model) >= sufficientCoverage))
        return;
    const auto selected = groupsToReclaim(model, domain, model.members_ - able);
    if (selected.empty())
        return;
    reclaiming_.insert(domain);
    for (const auto *group : selected) {
        dissolving_.insert(group->group_);
        groups_[group->model_] -= capacityOf(*group);
        if (group->state() == MemberState::Open && !input_.pending_.contains(group->head_->id_))
            order(*group->head_, CloseOrder{group->group_, group->epoch_, false},
                  "its engines complete a larger group");
    }
}

/// Groups of \p domain that supply \p missing engines; empty if that would take another model's
/// last group or reduce its coverage to that of \p model or below.
std::vector<const GroupView *> PlannerRun::groupsToReclaim(const Model &model,
                                                           const FabricDomain &domain,
                                                           std::size_t missing) const
{
    std::vector<const GroupView *> groups;
    for (const auto *list : {&ready_, &serving_}) {
        for (const auto *group : *list) {
            const auto *other = modelNamed(group->model_);
            const bool fits = std::all_of(
                group->members_.begin(), group->members_.end(), [&](const Endpoint *member) {
                    return member->domain_ == domain && member->hasStaged(model.name_);
                });
            if (fits && other->members_ < model.members_)
                groups.push_back(group);
        }
    }
    // Groups that are already closing come first.
    std::stable_sort(groups.begin(), groups.end(), [](const auto *left, const auto *right) {
        return left->state() != MemberState::Open && right->state() == MemberState::Open;
    });
    std::vector<const GroupView *> result;
    std::map<ModelName, double> taken;
    for (const auto *group : groups) {
        if (missing == 0)
            break;
        const auto *other = modelNamed(group->model_);
        taken[other->name_] += 1;
        const auto left = groups_.at(other->name_) - taken[other->name_];
        if (left < 1 || coverage(*other, left) <= coverage(model))
            return {};
        result.push_back(group);
        missing -= std::min<std::size_t>(missing, group->members_.size());
    }
    return missing == 0 ? result : std::vector<const GroupView *>();
}

bool PlannerRun::mayLoadReserve() const
{
    return input_.isFirstStart_ || loads_ < input_.profile_->fullSpeedLoads_ / reserveLoadsDivisor;
}

/// Engines of smaller groups keep the weights of the largest model on their hosts, in addition to
/// the model that they serve. Not doing so cost callers 0.25 of a day's worth (standard error 0.03,
/// 12 paired runs with 48 engines), and a reserve in only a part of the groups 0.047 (0.013, 35
/// runs).
void PlannerRun::stageReserveModels()
{
    for (const auto *list : {&ready_, &serving_}) {
        for (const auto *group : *list) {
            for (const auto *member : group->members_) {
                const auto *model = reserveModel(member->domain_);
                if (model == nullptr || !mayLoadReserve() || model->name_ == group->model_
                    || member->hasStaged(model->name_) || isLoading(*member) || hasOrder(*member)
                    || input_.pending_.contains(member->id_))
                    continue;
                order(*member, StageOrder{model->name_}, "reserve", true);
            }
        }
    }
}

} // namespace cardamombay::serving::impl
