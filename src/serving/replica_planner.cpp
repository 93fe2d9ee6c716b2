#include <cardamombay/serving/replica_planner.hpp>

#include <algorithm>

namespace cardamombay::serving {

namespace {

/// How soon an engine can serve a model.
enum class Readiness {
    Loaded, ///< Its last group had the model.
    Staged, ///< Its host has it.
    Empty,  ///< It must be loaded from the weight store.
};

/// Added to the groups per need of a model, so that none takes all loads.
constexpr double leastCoverage = 0.3;

Readiness readinessOf(const Endpoint &engine, const ModelName &model)
{
    if (engine.model_ == model)
        return Readiness::Loaded;
    return engine.hasStaged(model) ? Readiness::Staged : Readiness::Empty;
}

/// One run of the planner.
class Run
{
public:
    explicit Run(const PlanInput &input)
        : input_(input)
        , loads_(input.loading_.size())
    {
        for (const auto &model : input.profile_->models_)
            groups_[model.name_] = 0;
        for (const auto *engine : input.engines_) {
            if (!input.unresponsive_.contains(engine->id_))
                engines_.push_back(engine);
        }
        domainModels_ = domainModels();
    }

    Plan plan();

private:
    using Engines = std::vector<const Endpoint *>;

    void review(const GroupView &group);
    void reviewServing(const GroupView &group, bool isComplete);
    [[nodiscard]] bool hasUnresponsive(const GroupView &group) const;
    void reviewReady(const GroupView &group, bool isComplete);
    void leave(const GroupView &group, std::string_view reason);
    void offer(const Endpoint &engine);
    void formIn(Engines &free);
    bool formOne(Engines &free);
    void join(const Model &model, const Engines &members);
    void formFar();
    void reviewFar();
    [[nodiscard]] Engines spares(const Model &model) const;
    [[nodiscard]] bool isNearPossible(const GroupView &group, const Model &model) const;
    [[nodiscard]] double weightOf(const GroupView &group) const;
    void stageIn(const Engines &free);
    [[nodiscard]] std::vector<const Engines *> byWorthOfLoads();
    [[nodiscard]] double worthOfLoads(const FabricDomain &domain, const Engines &free);
    [[nodiscard]] std::size_t shortfall(const FabricDomain &domain, const Engines &free);
    [[nodiscard]] const Model *neededMost(const Engines &free, Readiness worst) const;
    [[nodiscard]] double coverage(const Model &model) const;
    [[nodiscard]] const Model *modelNamed(const ModelName &name) const;
    [[nodiscard]] bool isOrdered(const Endpoint &engine) const;
    [[nodiscard]] bool mayLoad() const;
    [[nodiscard]] bool isLoading(const Endpoint &engine) const;
    void order(const Endpoint &engine, Order order, std::string reason, bool loads = false);

    [[nodiscard]] static double needOfDomains(const Model &model, std::size_t domainSize);
    [[nodiscard]] std::map<FabricDomain, const Model *> domainModels() const;

    const PlanInput &input_;
    std::vector<const Endpoint *> engines_; ///< Those that answer.
    std::map<FabricDomain, const Model *> domainModels_;
    std::size_t loads_;
    std::map<ModelName, double> groups_; ///< That serve or will.
    std::map<FabricDomain, Engines> free_;
    std::set<FabricDomain> hasGroup_;
    std::vector<const GroupView *> serving_; ///< Whole groups.
    Plan result_;
};

void Run::order(const Endpoint &engine, Order order, std::string reason, bool loads)
{
    result_.push_back({engine.id_, std::move(order), std::move(reason), loads});
    loads_ += loads ? 1 : 0;
}

/// Before the first traffic loads take a tenth of their time and do not slow each other down; all
/// 54 engines of a deployment had their weights when traffic came, in place of 42 with the limit.
bool Run::mayLoad() const
{
    return input_.isFirstLoad_ || loads_ < input_.profile_->loadsAtOnce_;
}

bool Run::isLoading(const Endpoint &engine) const
{
    return input_.loading_.contains(engine.id_);
}

bool Run::isOrdered(const Endpoint &engine) const
{
    return std::any_of(result_.begin(), result_.end(),
                       [&engine](const PlannedOrder &one) { return one.engine_ == engine.id_; });
}

const Model *Run::modelNamed(const ModelName &name) const
{
    const auto &models = input_.profile_->models_;
    const auto found = std::find_if(models.begin(), models.end(),
                                    [&name](const Model &one) { return one.name_ == name; });
    return found == models.end() ? nullptr : &*found;
}

Plan Run::plan()
{
    for (const auto *engine : engines_) {
        if (engine->membership_)
            hasGroup_.insert(engine->domain_);
        else
            offer(*engine);
    }
    const auto groups = groupsOf(engines_);
    for (const auto &group : groups)
        review(group);
    reviewFar();
    for (auto &[domain, engines] : free_) {
        formIn(engines);
        // At the first start a domain is filled before the next one is begun: full domains repair
        // themselves without a load.
        if (input_.isFirstLoad_)
            stageIn(engines);
    }
    formFar();
    for (const auto *engines : byWorthOfLoads())
        stageIn(*engines);
    return std::move(result_);
}

/// A model's need of domains against that of others: its share of the work, more for the engines
/// that its groups leave over. Losses leave any number below the size of a group, half of it at the
/// mean.
double Run::needOfDomains(const Model &model, std::size_t domainSize)
{
    const double size = std::max<double>(static_cast<double>(domainSize), model.members_);
    const double stranded = (model.members_ - 1) / 2.0;
    return model.share_ * size / (size - stranded);
}

/// The model that the engines of each fabric domain serve. Groups of one model side by side repair
/// each other: survivors of two broken groups form a whole one at once, without a load.
std::map<FabricDomain, const Model *> Run::domainModels() const
{
    std::map<FabricDomain, std::map<ModelName, int>> staged;
    std::map<ModelName, double> domains;
    std::map<FabricDomain, std::size_t> sizes;
    std::size_t domainSize = 1;
    for (const auto *engine : engines_) {
        domainSize = std::max(domainSize, ++sizes[engine->domain_]);
        auto &counts = staged[engine->domain_];
        for (const auto &model : engine->staged_)
            ++counts[model];
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
    // Domains are apportioned by the rounding that favours neither large nor small shares: by the
    // half domain that is next. Six domains of 9 make four for groups of 4 and two for groups of 3.
    const auto turnOf = [&](const Model &model) {
        return (domains[model.name_] + 0.5) / needOfDomains(model, domainSize);
    };
    for (auto &[domain, wanted] : result) {
        if (wanted != nullptr)
            continue;
        for (const auto &model : input_.profile_->models_) {
            if (wanted == nullptr || turnOf(model) < turnOf(*wanted))
                wanted = &model;
        }
        if (wanted != nullptr)
            domains[wanted->name_] += 1;
    }
    return result;
}

/// An engine that may get a new place.
void Run::offer(const Endpoint &engine)
{
    if (!engine.isDraining_ && !input_.pending_.contains(engine.id_))
        free_[engine.domain_].push_back(&engine);
}

/// Members leave before they may join another group. The head may still serve, cut off from here,
/// or an order to open may still be on its way to it; without its members nothing begins there.
void Run::leave(const GroupView &group, std::string_view reason)
{
    for (const auto *member : group.members_) {
        if (!input_.pending_.contains(member->id_))
            order(*member, LeaveOrder{group.group_, group.epoch_}, std::string(reason));
    }
}

void Run::review(const GroupView &group)
{
    const auto *model = modelNamed(group.model_);
    if (model == nullptr) {
        if (group.head_ != nullptr && group.state() == MemberState::Open)
            order(*group.head_, CloseOrder{group.group_, group.epoch_, false}, "model not wanted");
        else if (group.head_ != nullptr && group.state() != MemberState::Closing)
            leave(group, "model not wanted");
        return;
    }
    const bool isComplete = group.isComplete(model->members_) && !group.hasDraining();
    if (group.head_ == nullptr) {
        leave(group, "head lost");
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
            leave(group, "not all members join");
        break;
    case MemberState::Broken:
        leave(group, "broken");
        break;
    }
}

void Run::reviewServing(const GroupView &group, bool isComplete)
{
    if (isComplete) {
        groups_[group.model_] += weightOf(group);
        serving_.push_back(&group);
        return;
    }
    // A group that stands still cannot finish its work. A member that is leaving, also one that is
    // no longer listed, stays until its group has finished.
    if (input_.silent_.contains(group.head_->id_) || hasUnresponsive(group)) {
        leave(group, "member lost");
        return;
    }
    if (group.state() == MemberState::Open && !input_.pending_.contains(group.head_->id_))
        order(*group.head_, CloseOrder{group.group_, group.epoch_, false}, "member leaving");
}

bool Run::hasUnresponsive(const GroupView &group) const
{
    return std::any_of(input_.engines_.begin(), input_.engines_.end(),
                       [this, &group](const Endpoint *engine) {
                           return input_.unresponsive_.contains(engine->id_) && engine->membership_
                                  && engine->membership_->group_ == group.group_;
                       });
}

void Run::reviewReady(const GroupView &group, bool isComplete)
{
    if (!isComplete) {
        const bool isSettling = std::any_of(
            group.members_.begin(), group.members_.end(),
            [this](const Endpoint *member) { return input_.pending_.contains(member->id_); });
        if (!isSettling)
            leave(group, "member lost");
        return;
    }
    if (group.isFar() && isNearPossible(group, *modelNamed(group.model_))) {
        leave(group, "a group in one domain is possible");
        return;
    }
    groups_[group.model_] += weightOf(group);
    const bool areAllReady
        = std::all_of(group.members_.begin(), group.members_.end(), [](const Endpoint *member) {
              return member->membership_->state_ == MemberState::Ready;
          });
    if (areAllReady && !input_.pending_.contains(group.head_->id_))
        order(*group.head_, OpenOrder{group.group_, group.epoch_}, "all members ready");
}

/// Groups per need; the model with the least is served worst.
double Run::coverage(const Model &model) const
{
    const auto known = input_.demand_.find(model.name_);
    const double need = known == input_.demand_.end() ? model.share_ : known->second;
    // The operators' shares are of the work of engines, measured demand is in groups.
    const double capacity = known == input_.demand_.end() ? groups_.at(model.name_) * model.members_
                                                          : groups_.at(model.name_);
    return capacity / std::max(need, 0.01);
}

/// The worst served model that enough of \p free can serve at least as soon as \p worst.
const Model *Run::neededMost(const Engines &free, Readiness worst) const
{
    const Model *best = nullptr;
    for (const auto &model : input_.profile_->models_) {
        const auto able = std::count_if(free.begin(), free.end(), [&](const Endpoint *engine) {
            return readinessOf(*engine, model.name_) <= worst;
        });
        if (static_cast<std::size_t>(able) < model.members_)
            continue;
        if (best == nullptr || coverage(model) < coverage(*best))
            best = &model;
    }
    return best;
}

void Run::formIn(Engines &free)
{
    while (formOne(free)) {
    }
}

bool Run::formOne(Engines &free)
{
    const auto *model = neededMost(free, Readiness::Staged);
    // Without weights at hand a group waits for its slowest load. At the first start there is
    // nothing better; later engines load one by one while they are spare.
    if (model == nullptr && input_.isFirstLoad_ && mayLoad()) {
        model = domainModels_[free.empty() ? FabricDomain() : free.front()->domain_];
        if (model != nullptr && free.size() < model->members_)
            model = nullptr;
    }
    if (model == nullptr)
        return false;
    std::stable_sort(
        free.begin(), free.end(), [model](const Endpoint *left, const Endpoint *right) {
            return readinessOf(*left, model->name_) < readinessOf(*right, model->name_);
        });
    const auto end = free.begin() + model->members_;
    join(*model, Engines(free.begin(), end));
    free.erase(free.begin(), end);
    return true;
}

void Run::join(const Model &model, const Engines &members)
{
    JoinOrder join;
    join.epoch_ = input_.nextEpoch_();
    join.group_ = groupNameOf(model.name_, join.epoch_);
    join.model_ = model.name_;
    for (const auto *member : members) {
        join.members_.push_back(member->id_);
        hasGroup_.insert(member->domain_);
    }
    for (const auto *member : members) {
        const bool loads = readinessOf(*member, model.name_) == Readiness::Empty;
        order(*member, join, "form", loads);
    }
    groups_[model.name_] += 1;
}

double Run::weightOf(const GroupView &group) const
{
    return group.isFar() ? 1 / input_.profile_->farFactor_ : 1;
}

/// True if the far group's engines in some domain and the spares there make a group of their own.
bool Run::isNearPossible(const GroupView &group, const Model &model) const
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

/// One far group of a model at a time makes way for a group in one domain, so that the others go
/// on.
void Run::reviewFar()
{
    std::set<ModelName> closing;
    for (const auto *group : serving_) {
        if (group->state() == MemberState::Closing)
            closing.insert(group->model_);
    }
    for (const auto *group : serving_) {
        const bool isOpen = group->isFar() && group->state() == MemberState::Open;
        if (!isOpen || closing.contains(group->model_)
            || input_.pending_.contains(group->head_->id_)
            || !isNearPossible(*group, *modelNamed(group->model_)))
            continue;
        closing.insert(group->model_);
        order(*group->head_, CloseOrder{group->group_, group->epoch_, false},
              "a group in one domain is possible");
    }
}

/// Spares of all domains that have the model at hand, those first whose domain has the most.
Run::Engines Run::spares(const Model &model) const
{
    std::vector<Engines> byDomain;
    for (const auto &[domain, engines] : free_) {
        Engines warm;
        std::copy_if(engines.begin(), engines.end(), std::back_inserter(warm),
                     [&model](const Endpoint *engine) {
                         return readinessOf(*engine, model.name_) != Readiness::Empty;
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

/// Survivors in several domains serve together, slower, until one of the domains has enough.
void Run::formFar()
{
    if (input_.isFirstLoad_)
        return;
    for (const auto &model : input_.profile_->models_) {
        auto engines = spares(model);
        while (engines.size() >= model.members_) {
            const Engines members(engines.begin(), engines.begin() + model.members_);
            join(model, members);
            engines.erase(engines.begin(), engines.begin() + model.members_);
            for (const auto *member : members)
                std::erase(free_[member->domain_], member);
        }
    }
}

/// Engines that must load until the domain's spares make another group.
std::size_t Run::shortfall(const FabricDomain &domain, const Engines &free)
{
    const auto *model = domainModels_[domain];
    if (model == nullptr)
        return 0;
    const auto warm = static_cast<std::size_t>(
        std::count_if(free.begin(), free.end(), [this, model](const Endpoint *engine) {
            return readinessOf(*engine, model->name_) != Readiness::Empty || isLoading(*engine);
        }));
    return model->members_ - warm % model->members_;
}

/// What loading the engines that a domain lacks for another group brings for each second of
/// loading.
double Run::worthOfLoads(const FabricDomain &domain, const Engines &free)
{
    const auto *model = domainModels_[domain];
    if (model == nullptr)
        return 0;
    const double seconds = toSeconds(model->load_) * static_cast<double>(shortfall(domain, free));
    return 1 / ((leastCoverage + coverage(*model)) * std::max(seconds, 0.001));
}

/// The spares of the domains, those first for whose model loading brings the most.
std::vector<const Run::Engines *> Run::byWorthOfLoads()
{
    std::vector<std::pair<double, const Engines *>> sorted;
    for (const auto &[domain, engines] : free_)
        sorted.emplace_back(worthOfLoads(domain, engines), &engines);
    std::stable_sort(sorted.begin(), sorted.end(),
                     [](const auto &left, const auto &right) { return left.first > right.first; });
    std::vector<const Engines *> result;
    result.reserve(sorted.size());
    for (const auto &[worth, engines] : sorted)
        result.push_back(engines);
    return result;
}

/// Spare engines load the model of their domain.
void Run::stageIn(const Engines &free)
{
    for (const auto *engine : free) {
        const auto *model = domainModels_[engine->domain_];
        if (model == nullptr || !mayLoad())
            return;
        // At the first start the domains come one after the other, each begun by a whole group.
        if (input_.isFirstLoad_ && !hasGroup_.contains(engine->domain_))
            return;
        if (engine->staged_.empty() && !isOrdered(*engine) && !isLoading(*engine))
            order(*engine, StageOrder{model->name_}, "spare", true);
    }
}

} // namespace

Plan planReplicas(const PlanInput &input)
{
    return Run(input).plan();
}

} // namespace cardamombay::serving
