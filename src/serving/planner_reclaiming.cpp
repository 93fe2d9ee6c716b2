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

/// Share of a model's groups that may be closed for larger groups at the same time; the others
/// handle its work until the larger groups serve.
constexpr double maxTakenShare = 0.5;

/// Factor by which a reclaimed group must raise the smaller coverage if no survivors wait for it,
/// so that fluctuations of the demand do not convert groups back and forth: without it, 88 in place
/// of 63 groups closed in 200 simulated seconds of losses (162 engines). The groups of a domain
/// that comes back with the other model raise it by 4.5% or more (171 engines).
constexpr double minReclaimGain = 1.02;

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
    const bool isSpare = !engine.membership_ && input_.mayPrepareConversions_;
    const auto *own = engine.membership_ ? modelNamed(modelOf(engine.membership_->group_))
                      : isSpare          ? modelNamed(engine.model_)
                                         : nullptr;
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
    // Groups that are being completed come first: they count when others are considered.
    for (const bool isBegun : {true, false}) {
        for (const auto &[domain, present] : presentModels_) {
            const auto *model = reserveModel(domain);
            if (model != nullptr && hasKeptEngines(domain, *model) == isBegun)
                reclaimFor(*model, domain);
        }
    }
}

/// True if a group of \p model still waits for engines that were taken for it in \p domain.
bool PlannerRun::hasKeptEngines(const FabricDomain &domain, const Model &model) const
{
    return std::any_of(engines_.begin(), engines_.end(), [&](const auto *engine) {
        return engine->domain_ == domain && isKeptFor(*engine, model)
               && !input_.joining_.contains(engine->id_);
    });
}

void PlannerRun::reclaimFor(const Model &model, const FabricDomain &domain)
{
    const auto &free = free_[domain];
    const auto able = static_cast<std::size_t>(
        std::count_if(free.begin(), free.end(), [&](const Endpoint *engine) {
            return readinessOf(*engine, model.name_) != Readiness::Empty
                   && mayServe(*engine, model);
        }));
    const bool hasKept = hasKeptEngines(domain, model);
    const auto covered = input_.mayPrepareConversions_ ? expectedLoad(model).coverageAfterLoss()
                                                       : expectedCoverage(model);
    const bool isSufficient
        = !hasSurvivors(model, able) && !hasKept && covered >= sufficientCoverage;
    if (able >= model.members_ || isSufficient)
        return;
    const auto selected = groupsToReclaim(model, domain, able);
    if (selected.empty()) {
        reportMix("no groups in " + domain.text() + " are taken for " + model.name_.text());
        return;
    }
    reclaiming_.insert(domain);
    reclaimedModels_[domain] = &model;
    expected_[model.name_] += 1;
    for (const auto *group : selected) {
        dissolving_.insert(group->group_);
        groups_[group->model_] -= capacityOf(*group);
        taken_[group->model_] += 1;
        closeFor(*group, model, "its engines complete a larger group");
    }
}

/// Groups of \p domain that complete a group of \p model together with \p able free engines. Those
/// that are already kept for \p model come first; empty if the others may not be taken.
std::vector<const GroupView *>
PlannerRun::groupsToReclaim(const Model &model, const FabricDomain &domain, std::size_t able) const
{
    std::size_t missing = model.members_ - able;
    std::vector<const GroupView *> result;
    std::map<ModelName, double> taken;
    for (const auto *group : reclaimableGroups(model, domain)) {
        if (missing == 0)
            break;
        const auto &other = *modelNamed(group->model_);
        const auto count = taken[other.name_] += 1;
        if (!isKeptFor(*group->head_, model)
            && !mayTake(other, count, model, hasSurvivors(model, able)))
            return {};
        result.push_back(group);
        missing -= std::min<std::size_t>(missing, group->members_.size());
    }
    return missing == 0 ? result : std::vector<const GroupView *>();
}

/// True if \p taken groups of \p from may be closed for a group of \p to: groups of \p from
/// remain, its coverage remains the higher one, and not too many of its groups are closed at once.
/// \param areWaiting survivors wait to be completed to the group.
bool PlannerRun::mayTake(const Model &from, double taken, const Model &to, bool areWaiting) const
{
    const auto groups = groups_.at(from.name_);
    const auto known = taken_.find(from.name_);
    const auto before = known == taken_.end() ? 0 : known->second;
    const bool isWithinLimit
        = groups - taken >= 1 && before + taken <= maxTakenShare * (groups + before);
    if (!input_.mayPrepareConversions_ || areWaiting)
        return isWithinLimit && expectedCoverage(from, taken) > expectedCoverage(to);
    return isWithinLimit && raisesSmallerCoverage(from, taken, to);
}

/// True if \p able free engines with \p model in a domain include survivors of a broken group. The
/// engines that whole groups leave over are spares of both models and wait for nothing.
bool PlannerRun::hasSurvivors(const Model &model, std::size_t able) const
{
    return able > (input_.mayPrepareConversions_ ? domainSize_ % model.members_ : 0);
}

/// The same measure as of DemandMix, so that groups are not converted back and forth.
bool PlannerRun::raisesSmallerCoverage(const Model &from, double taken, const Model &to) const
{
    const auto giving = expectedLoad(from);
    const auto getting = expectedLoad(to);
    const auto before = std::min(giving.coverageAfterLoss(), getting.coverageAfterLoss());
    const auto after = std::min(giving.coverageAfterLoss(-taken), getting.coverageAfterLoss(1));
    return after > before * minReclaimGain;
}

ModelLoad PlannerRun::expectedLoad(const Model &model) const
{
    const auto loads = modelLoads();
    return *std::find_if(loads.begin(), loads.end(),
                         [&model](const ModelLoad &load) { return load.model_ == &model; });
}

/// Groups of smaller models in \p domain whose hosts have \p model.
std::vector<const GroupView *> PlannerRun::reclaimableGroups(const Model &model,
                                                             const FabricDomain &domain) const
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
    const auto rank = [&](const GroupView *group) {
        return std::pair(!isKeptFor(*group->head_, model), group->state() == MemberState::Open);
    };
    std::stable_sort(groups.begin(), groups.end(), [&rank](const auto *left, const auto *right) {
        return rank(left) < rank(right);
    });
    return groups;
}

/// Coverage of \p model with the groups that are certain to form and without \p less groups.
double PlannerRun::expectedCoverage(const Model &model, double less) const
{
    const auto expected = expected_.find(model.name_);
    const auto more = expected == expected_.end() ? 0 : expected->second;
    return coverage(model, groups_.at(model.name_) + more - less);
}

/// Counts groups that are certain to form but are not listed yet, so that no run takes more groups
/// for them than necessary.
void PlannerRun::countExpectedGroups()
{
    countFreeEngines();
    if (input_.mayPrepareConversions_)
        countUnlistedGroups();
}

void PlannerRun::countFreeEngines()
{
    for (const auto &[domain, free] : free_) {
        for (const auto &model : input_.profile_->models_) {
            expected_[model.name_] += static_cast<double>(groupsFromFree(free, model));
            for (const auto *engine : free) {
                const auto *own = modelNamed(engine->model_);
                if (own != nullptr && own != &model && isKeptFor(*engine, model))
                    taken_[own->name_] += 1.0 / own->members_;
            }
        }
    }
}

/// Groups of \p model that form from engines that were taken for it and, on prepared hosts, from
/// survivors of its groups. Without the survivors, each loss of an engine would close groups of the
/// other model, although the survivors and a spare form the group again.
std::size_t PlannerRun::groupsFromFree(const Engines &free, const Model &model) const
{
    std::size_t kept = 0;
    std::size_t able = 0;
    std::size_t loaded = 0;
    for (const auto *engine : free) {
        if (!mayServe(*engine, model) || readinessOf(*engine, model.name_) == Readiness::Empty)
            continue;
        ++able;
        kept += isKeptFor(*engine, model) ? 1 : 0;
        loaded += engine->model_ == model.name_ ? 1 : 0;
    }
    const auto fromKept = (kept + model.members_ - 1) / model.members_;
    const auto fromLoaded = input_.mayPrepareConversions_ ? loaded / model.members_ : 0;
    return std::min<std::size_t>(able / model.members_, std::max(fromKept, fromLoaded));
}

/// Counts groups that engines were ordered to join and of which no member is listed yet.
void PlannerRun::countUnlistedGroups()
{
    std::set<GroupName> unlisted;
    for (const auto *engine : engines_) {
        const auto found = input_.joining_.find(engine->id_);
        if (found != input_.joining_.end() && !isWarmUp(found->second)
            && modelNamed(modelOf(found->second)) != nullptr)
            unlisted.insert(found->second);
    }
    for (const auto *engine : engines_) {
        if (engine->membership_)
            unlisted.erase(engine->membership_->group_);
    }
    for (const auto &group : unlisted)
        expected_[modelOf(group)] += 1;
}

/// The model that the engine was taken for; null if none.
const ModelName *PlannerRun::keptModel(const Endpoint &engine) const
{
    const auto found = input_.keptFor_.find(engine.id_);
    return found == input_.keptFor_.end() ? nullptr : &found->second;
}

bool PlannerRun::isKeptFor(const Endpoint &engine, const Model &model) const
{
    const auto *kept = keptModel(engine);
    return kept != nullptr && *kept == model.name_;
}

/// False if the free engine waits for a group of another model: it was taken for it, or its domain
/// reclaims engines to complete such a group.
bool PlannerRun::mayServe(const Endpoint &engine, const Model &model) const
{
    if (const auto *kept = keptModel(engine))
        return *kept == model.name_;
    const auto found = reclaimedModels_.find(engine.domain_);
    return found == reclaimedModels_.end() || found->second == &model
           || readinessOf(engine, found->second->name_) == Readiness::Empty;
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
            const auto *partner
                = input_.mayPrepareConversions_ ? conversionPartner(group->model_) : nullptr;
            for (const auto *member : group->members_)
                stageReserve(*member, partner != nullptr ? partner : reserveModel(member->domain_),
                             group->model_);
        }
    }
    if (input_.mayPrepareConversions_)
        stageForSpares();
}

void PlannerRun::stageReserve(const Endpoint &engine, const Model *model, const ModelName &own)
{
    if (model == nullptr || !mayLoadReserve() || model->name_ == own
        || engine.hasStaged(model->name_) || isLoading(engine) || hasOrder(engine)
        || input_.pending_.contains(engine.id_))
        return;
    order(engine, StageOrder{model->name_}, "reserve", true);
}

/// Spares keep one model in memory and the other one on their hosts, so that they can replace a
/// member of either.
void PlannerRun::stageForSpares()
{
    for (const auto &[domain, engines] : free_) {
        for (const auto *engine : engines)
            stageReserve(*engine, conversionPartner(engine->model_), engine->model_);
    }
}

/// The model that engines of a group of \p name could be converted to; null if there is none.
const Model *PlannerRun::conversionPartner(const ModelName &name) const
{
    const auto *own = modelNamed(name);
    if (own == nullptr)
        return nullptr;
    for (const auto &other : input_.profile_->models_) {
        const bool isWhole
            = Conversion{own, &other}.groupsMade() > 0 || Conversion{&other, own}.groupsMade() > 0;
        if (other.name_ != name && isWhole)
            return &other;
    }
    return nullptr;
}

/// True if another group of \p model in \p domain would consist of the engines that the domain's
/// larger groups leave over. These replace lost members of either model, so that a lost engine does
/// not take down a large group until a small one has closed.
bool PlannerRun::isSpareOfBoth(const Model &model, const FabricDomain &domain) const
{
    if (!input_.mayPrepareConversions_ || lacksCapacity(model))
        return false;
    const auto models = groupModels_.find(domain);
    const auto engines = enginesInGroups_.find(domain);
    if (models == groupModels_.end() || engines == enginesInGroups_.end())
        return false;
    return std::any_of(models->second.begin(), models->second.end(), [&](const Model *larger) {
        return larger != nullptr && larger->members_ > model.members_
               && engines->second + model.members_
                      > domainSize_ / larger->members_ * larger->members_;
    });
}

/// True if the model's groups would be full after the loss of one.
bool PlannerRun::lacksCapacity(const Model &model) const
{
    const auto known = input_.demand_.find(model.name_);
    return known != input_.demand_.end() && expectedLoad(model).coverageAfterLoss() < 1;
}

} // namespace cardamombay::serving::impl
