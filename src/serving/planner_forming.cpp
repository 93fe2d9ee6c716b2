// Forms new groups from free engines and selects what the remaining engines load.
#include "serving/planner_run.hpp"

#include <algorithm>
#include <tuple>

namespace cardamombay::serving::impl {

namespace {

/// Added to a model's coverage when loads are ranked, so that no model takes all of them.
constexpr double coverageOffset = 0.3;

/// Share of a model's capacity that may be closing at the same time, so that the other groups can
/// handle its work; a closing group completes its answers within about 3 s.
constexpr double maxClosingShare = 0.15;
/// The same limit if no group of the model is closing yet, for several cross-domain groups that
/// must close together to form one group in a domain.
constexpr double maxFirstClosingShare = 0.4;

/// Ratio of capacity to demand, after the loss of a group, above which a model does not need groups
/// across fabric domains; higher than the ratio of 1 below which they form.
constexpr double surplusCoverage = 1.1;

} // namespace

/// Ratio of capacity to demand; the model with the lowest ratio is served worst.
double PlannerRun::coverage(const Model &model) const
{
    return coverage(model, groups_.at(model.name_));
}

double PlannerRun::coverage(const Model &model, double groups) const
{
    const auto known = input_.demand_.find(model.name_);
    const double need = known == input_.demand_.end() ? model.share_ : known->second;
    // Configured shares are proportions of engine work, whereas measured demand is in groups.
    const double capacity = known == input_.demand_.end() ? groups * model.members_ : groups;
    return capacity / std::max(need, 0.01);
}

/// Number of spare engines of the domain that have the model or are loading it.
std::size_t PlannerRun::countWithModel(const FabricDomain &domain, const Model &model) const
{
    const auto free = free_.find(domain);
    if (free == free_.end())
        return 0;
    const auto loads = [&](const Endpoint *engine) {
        const auto loading = input_.loading_.find(engine->id_);
        return loading != input_.loading_.end() && loading->second == model.name_;
    };
    const auto isOrderedTo = [&](const Endpoint *engine) {
        return std::any_of(result_.begin(), result_.end(), [&](const PlannedOrder &one) {
            const auto *stage = std::get_if<StageOrder>(&one.order_);
            return one.engine_ == engine->id_ && stage != nullptr && stage->model_ == model.name_;
        });
    };
    return static_cast<std::size_t>(
        std::count_if(free->second.begin(), free->second.end(), [&](const Endpoint *engine) {
            return readinessOf(*engine, model.name_) != Readiness::Empty || loads(engine)
                   || isOrderedTo(engine);
        }));
}

/// Coverage including the groups that the spare engines of each domain will form after their loads.
double PlannerRun::projectedCoverage(const Model &model) const
{
    double groups = groups_.at(model.name_);
    for (const auto &[domain, free] : free_) {
        const auto whole = countWithModel(domain, model) / model.members_;
        groups += static_cast<double>(whole);
    }
    return coverage(model, groups);
}

/// The model with the lowest coverage that enough engines of \p free can serve with readiness
/// \p worst or better.
const Model *PlannerRun::worstServedModel(const Engines &free, Readiness worst) const
{
    const Model *best = nullptr;
    for (const auto &model : input_.profile_->models_) {
        const auto able = std::count_if(free.begin(), free.end(), [&](const Endpoint *engine) {
            return readinessOf(*engine, model.name_) <= worst && mayServe(*engine, model);
        });
        if (static_cast<std::size_t>(able) < model.members_
            || isSpareOfBoth(model, free.front()->domain_))
            continue;
        if (best == nullptr || coverage(model) < coverage(*best))
            best = &model;
    }
    return best;
}

void PlannerRun::formInDomain(Engines &free)
{
    while (formNextGroup(free)) {
    }
}

bool PlannerRun::formNextGroup(Engines &free)
{
    const auto *model = modelKeptFor(free);
    if (model == nullptr)
        model = worstServedModel(free, Readiness::Staged);
    // A group whose members must load weights waits for the slowest load. That is acceptable only
    // at the first start; later, engines load one by one while they are spare.
    if (model == nullptr && input_.isFirstStart_ && mayLoad())
        model = initialModel(free);
    if (model == nullptr)
        return false;
    const auto rank = [this, model](const Endpoint *engine) {
        return std::tuple(!mayServe(*engine, *model), !isKeptFor(*engine, *model),
                          readinessOf(*engine, model->name_));
    };
    std::stable_sort(
        free.begin(), free.end(),
        [&rank](const Endpoint *left, const Endpoint *right) { return rank(left) < rank(right); });
    const auto end = free.begin() + model->members_;
    formGroup(*model, Engines(free.begin(), end));
    free.erase(free.begin(), end);
    return true;
}

/// The model that engines of \p free were taken for, if they now form a group of it.
const Model *PlannerRun::modelKeptFor(const Engines &free) const
{
    for (const auto &model : input_.profile_->models_) {
        const auto able = std::count_if(free.begin(), free.end(), [&](const Endpoint *engine) {
            return readinessOf(*engine, model.name_) != Readiness::Empty
                   && mayServe(*engine, model);
        });
        const bool isKept = std::any_of(free.begin(), free.end(), [&](const Endpoint *engine) {
            return isKeptFor(*engine, model);
        });
        if (isKept && static_cast<std::size_t>(able) >= model.members_)
            return &model;
    }
    return nullptr;
}

void PlannerRun::formGroup(const Model &model, const Engines &members)
{
    JoinOrder join;
    join.epoch_ = input_.nextEpoch_();
    join.group_ = groupNameOf(model.name_, join.epoch_);
    join.model_ = model.name_;
    for (const auto *member : members) {
        join.members_.push_back(member->id_);
        domainsWithGroups_.insert(member->domain_);
        ++enginesInGroups_[member->domain_];
        groupModels_[member->domain_].insert(&model);
        presentModels_[member->domain_].insert(&model);
    }
    for (const auto *member : members) {
        const bool loads = readinessOf(*member, model.name_) == Readiness::Empty;
        order(*member, join, "form", loads);
    }
    groups_[model.name_] += 1;
}

double PlannerRun::capacityOf(const GroupView &group) const
{
    return group.spansDomains() ? 1 / input_.profile_->crossDomainFactor_ : 1;
}

/// True if, in some domain, the cross-domain group's engines and the spares there form a group.
bool PlannerRun::fitsOneDomain(const GroupView &group, const Model &model) const
{
    std::map<FabricDomain, std::size_t> able;
    for (const auto *member : group.members_)
        ++able[member->domain_];
    for (auto &[domain, count] : able) {
        const auto spare = free_.find(domain);
        if (spare == free_.end())
            continue;
        count += static_cast<std::size_t>(std::count_if(
            spare->second.begin(), spare->second.end(), [&model](const Endpoint *engine) {
                return readinessOf(*engine, model.name_) != Readiness::Empty;
            }));
        if (count >= model.members_)
            return true;
    }
    return false;
}

/// Closes groups that span fabric domains in favour of groups within one domain. The engines of
/// several such groups together with a domain's spares may form a group that none could form alone.
void PlannerRun::consolidateGroups()
{
    for (const auto &model : input_.profile_->models_)
        consolidate(model);
}

/// Per domain, the spare engines with the model at hand that remain after forming complete groups.
std::map<FabricDomain, std::size_t> PlannerRun::leftoverSpares(const Model &model) const
{
    std::map<FabricDomain, std::size_t> result;
    for (const auto &[domain, engines] : free_) {
        const auto able = std::count_if(engines.begin(), engines.end(), [&](const auto *engine) {
            return readinessOf(*engine, model.name_) != Readiness::Empty;
        });
        result[domain] = static_cast<std::size_t>(able) % model.members_;
    }
    return result;
}

void PlannerRun::consolidate(const Model &model)
{
    auto able = leftoverSpares(model);
    const auto count = [&able](const GroupView &group) {
        for (const auto *member : group.members_)
            ++able[member->domain_];
    };
    std::vector<const GroupView *> open;
    const double capacity = groups_.at(model.name_);
    double closingCapacity = 0;
    for (const auto *group : serving_) {
        if (group->model_ != model.name_ || !group->spansDomains()
            || dissolving_.contains(group->group_))
            continue;
        if (group->state() == MemberState::Open && !input_.pending_.contains(group->head_->id_)) {
            open.push_back(group);
            continue;
        }
        closingCapacity += capacityOf(*group);
        count(*group);
    }
    std::set<FabricDomain> domains;
    for (const auto &[domain, engines] : able) {
        if (engines >= model.members_)
            consolidating_.insert(domain);
        domains.insert(domain);
    }
    for (const auto *group : open) {
        for (const auto *member : group->members_)
            domains.insert(member->domain_);
    }
    for (const auto &domain : domains) {
        if (consolidating_.contains(domain))
            continue;
        const auto chosen = groupsToConsolidate(model, domain, able[domain], open);
        const auto weight = static_cast<double>(chosen.size())
                            / std::max(1.0, input_.profile_->crossDomainFactor_);
        const bool isWithinLimit
            = closingCapacity == 0 ? chosen.size() == 1 || weight <= capacity * maxFirstClosingShare
                                   : closingCapacity + weight <= capacity * maxClosingShare;
        if (chosen.empty() || !isWithinLimit)
            continue;
        closingCapacity += weight;
        consolidating_.insert(domain);
        for (const auto *group : chosen) {
            count(*group);
            std::erase(open, group);
            order(*group->head_, CloseOrder{group->group_, group->epoch_, false},
                  "a group in one domain is possible");
        }
    }
}

/// The smallest set of groups of \p open whose engines in \p domain, together with \p able others
/// there, form a group; empty if there is none.
std::vector<const GroupView *> PlannerRun::groupsToConsolidate(const Model &model,
                                                               const FabricDomain &domain,
                                                               std::size_t able,
                                                               std::vector<const GroupView *> open)
{
    const auto inDomain = [&domain](const GroupView *group) {
        return static_cast<std::size_t>(
            std::count_if(group->members_.begin(), group->members_.end(),
                          [&](const Endpoint *member) { return member->domain_ == domain; }));
    };
    std::stable_sort(open.begin(), open.end(), [&](const auto *left, const auto *right) {
        return inDomain(left) > inDomain(right);
    });
    std::vector<const GroupView *> result;
    for (const auto *group : open) {
        if (able >= model.members_ || inDomain(group) == 0)
            break;
        able += inDomain(group);
        result.push_back(group);
    }
    return able >= model.members_ ? result : std::vector<const GroupView *>();
}

/// Spares of all domains that have the model at hand, starting with the domain that has most of
/// them. Recently freed engines are excluded so that they can form a group with others of their
/// domain: on a day with many losses, 700 of 3,300 joins went to cross-domain groups that were
/// dissolved before they opened.
PlannerRun::Engines PlannerRun::settledSpares(const Model &model) const
{
    std::vector<Engines> byDomain;
    for (const auto &[domain, engines] : free_) {
        // Spares of these domains wait for reclaimed engines or for engines of cross-domain groups.
        if (reclaiming_.contains(domain) || consolidating_.contains(domain))
            continue;
        Engines warm;
        std::copy_if(engines.begin(), engines.end(), std::back_inserter(warm),
                     [this, &model](const Endpoint *engine) {
                         return readinessOf(*engine, model.name_) != Readiness::Empty
                                && keptModel(*engine) == nullptr
                                && !input_.recentlyFreed_.contains(engine->id_);
                     });
        byDomain.push_back(std::move(warm));
    }
    std::stable_sort(
        byDomain.begin(), byDomain.end(),
        [](const Engines &left, const Engines &right) { return left.size() > right.size(); });
    Engines result;
    for (const auto &engines : byDomain)
        result.insert(result.end(), engines.begin(), engines.end());
    return result;
}

/// Forms slower groups across fabric domains from spares, until one domain has enough engines
/// itself.
void PlannerRun::formAcrossDomains()
{
    if (input_.isFirstStart_)
        return;
    for (const auto &model : input_.profile_->models_) {
        if (input_.mayPrepareConversions_ && !lacksCapacity(model))
            continue;
        auto engines = settledSpares(model);
        while (engines.size() >= model.members_) {
            const Engines members(engines.begin(), engines.begin() + model.members_);
            formGroup(model, members);
            engines.erase(engines.begin(), engines.begin() + model.members_);
            for (const auto *member : members)
                std::erase(free_[member->domain_], member);
        }
    }
}

/// Closes groups across fabric domains that are no longer needed, so that their engines serve as
/// spares of both models again. They formed while a model lacked capacity.
void PlannerRun::closeSurplusAcrossDomains()
{
    if (input_.demand_.empty())
        return;
    std::vector<const GroupView *> groups;
    for (const auto *list : {&ready_, &serving_}) {
        std::copy_if(list->begin(), list->end(), std::back_inserter(groups),
                     [](const GroupView *group) { return group->spansDomains(); });
    }
    // Groups that are already closing come first, so that each run selects the same ones.
    std::stable_sort(groups.begin(), groups.end(), [](const auto *left, const auto *right) {
        return left->state() != MemberState::Open && right->state() == MemberState::Open;
    });
    for (const auto *group : groups) {
        const auto load = expectedLoad(*modelNamed(group->model_));
        if (load.coverageAfterLoss(-capacityOf(*group)) < surplusCoverage)
            continue;
        groups_[group->model_] -= capacityOf(*group);
        dissolving_.insert(group->group_);
        if (group->state() == MemberState::Open && !input_.pending_.contains(group->head_->id_))
            order(*group->head_, CloseOrder{group->group_, group->epoch_, false},
                  "its engines serve as spares");
    }
}

/// Benefit of a load per second of load time, where the time includes all loads that the domain
/// still needs for another group of the model.
double PlannerRun::loadBenefit(const FabricDomain &domain, const Model &model) const
{
    const auto missing = model.members_ - countWithModel(domain, model) % model.members_;
    const double seconds = toSeconds(model.load_) * static_cast<double>(missing);
    return 1 / ((coverageOffset + projectedCoverage(model)) * std::max(seconds, 0.001));
}

bool PlannerRun::needsLoad(const Endpoint &engine) const
{
    return engine.staged_.empty() && !hasOrder(engine) && !isLoading(engine);
}

/// At the first start, domains are filled one after the other, each beginning with a complete
/// group. The remaining engines load the model of the largest groups, which lose most with an
/// engine.
void PlannerRun::loadAtStart(const Engines &free)
{
    for (const auto *engine : free) {
        if (!domainsWithGroups_.contains(engine->domain_) || !needsLoad(*engine))
            continue;
        const auto *reserve = reserveModel(engine->domain_);
        const auto *model = reserve != nullptr ? reserve : modelToLoad(engine->domain_);
        if (model != nullptr)
            order(*engine, StageOrder{model->name_}, "spare", true);
    }
}

/// Starts loads in order of their benefit until the limit on concurrent loads is reached.
void PlannerRun::loadSpares()
{
    while (mayLoad()) {
        const Endpoint *best = nullptr;
        const Model *bestModel = nullptr;
        double most = 0;
        for (const auto &[domain, engines] : free_) {
            const auto empty
                = std::find_if(engines.begin(), engines.end(),
                               [this](const Endpoint *engine) { return needsLoad(*engine); });
            const auto *model = empty == engines.end() ? nullptr : modelToLoad(domain);
            if (model == nullptr || loadBenefit(domain, *model) <= most)
                continue;
            best = *empty;
            bestModel = model;
            most = loadBenefit(domain, *model);
        }
        if (best == nullptr)
            return;
        order(*best, StageOrder{bestModel->name_}, "spare", true);
    }
}

/// Spare engines with a model on their host load it into memory in a warm-up group of their own.
/// When they later replace members of a broken group, they are ready after 0.2 s instead of 1.6 s.
void PlannerRun::warmUpSpares(const Engines &free)
{
    for (const auto *engine : free) {
        const auto *model = engine->staged_.empty() ? nullptr : modelNamed(engine->staged_.front());
        // A model that is already in memory can serve immediately and would be evicted.
        if (model == nullptr || hasOrder(*engine) || !engine->model_.isEmpty())
            continue;
        JoinOrder join;
        join.epoch_ = input_.nextEpoch_();
        join.group_ = warmUpNameOf(model->name_, join.epoch_);
        join.model_ = model->name_;
        join.members_ = {engine->id_};
        order(*engine, std::move(join), "warm up");
    }
}

} // namespace cardamombay::serving::impl
