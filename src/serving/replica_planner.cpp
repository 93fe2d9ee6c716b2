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

Readiness readinessOf(const Endpoint &engine, const ModelName &model)
{
    if (engine.membership_ && modelOf(engine.membership_->group_) == model
        && engine.membership_->state_ != MemberState::Joining)
        return Readiness::Loaded;
    return engine.hasStaged(model) ? Readiness::Staged : Readiness::Empty;
}

/// One run of the planner.
class Run
{
public:
    explicit Run(const PlanInput &input)
        : input_(input)
        , loads_(input.loadsUnderWay_)
    {
        for (const auto &model : input.profile_->models_)
            groups_[model.name_] = 0;
    }

    Plan plan();

private:
    using Engines = std::vector<const Endpoint *>;

    void review(const GroupView &group);
    void reviewServing(const GroupView &group, bool isComplete);
    void reviewReady(const GroupView &group, bool isComplete);
    void release(const GroupView &group);
    void offer(const Endpoint &engine);
    void formIn(Engines &free);
    bool formOne(Engines &free);
    void join(const Model &model, const Engines &members);
    void stageIn(const Engines &free);
    [[nodiscard]] const Model *neededMost(const Engines &free, Readiness worst) const;
    [[nodiscard]] double coverage(const Model &model) const;
    [[nodiscard]] const Model *modelNamed(const ModelName &name) const;
    [[nodiscard]] bool mayLoad() const { return loads_ < input_.profile_->loadsAtOnce_; }
    void order(const Endpoint &engine, Order order, std::string reason, bool loads = false);

    const PlanInput &input_;
    std::size_t loads_;
    std::map<ModelName, double> groups_; ///< That serve or will.
    std::map<FabricDomain, Engines> free_;
    Plan result_;
};

void Run::order(const Endpoint &engine, Order order, std::string reason, bool loads)
{
    result_.orders_.push_back({engine.id_, std::move(order), std::move(reason), loads});
    loads_ += loads ? 1 : 0;
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
    for (const auto *engine : input_.engines_) {
        if (!engine->membership_)
            offer(*engine);
    }
    for (const auto &group : groupsOf(input_.engines_))
        review(group);
    for (auto &[domain, engines] : free_)
        formIn(engines);
    for (const auto &[domain, engines] : free_)
        stageIn(engines);
    return std::move(result_);
}

/// An engine that may get a new place.
void Run::offer(const Endpoint &engine)
{
    if (!engine.isDraining_ && !input_.pending_.contains(engine.id_))
        free_[engine.domain_].push_back(&engine);
}

void Run::release(const GroupView &group)
{
    for (const auto *member : group.members_)
        offer(*member);
}

void Run::review(const GroupView &group)
{
    const auto *model = modelNamed(group.model_);
    if (model == nullptr) {
        if (group.head_ != nullptr && group.state() == MemberState::Open)
            order(*group.head_, CloseOrder{group.group_, group.epoch_, false}, "model not wanted");
        else if (group.head_ != nullptr && group.state() != MemberState::Closing)
            release(group);
        return;
    }
    const bool isComplete = group.isComplete(model->members_) && !group.hasDraining();
    if (group.head_ == nullptr) {
        if (input_.headlessGroups_.contains(group.group_))
            release(group);
        else
            result_.unclear_.push_back(group.group_);
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
        if (isComplete || std::any_of(group.members_.begin(), group.members_.end(),
                                      [this](const Endpoint *member) {
                                          return input_.pending_.contains(member->id_);
                                      }))
            groups_[model->name_] += 1;
        else
            release(group);
        break;
    case MemberState::Broken:
        release(group);
        break;
    }
}

void Run::reviewServing(const GroupView &group, bool isComplete)
{
    if (isComplete) {
        groups_[group.model_] += 1;
        return;
    }
    // A group that lost a member cannot finish its work; one that only loses it soon can.
    const auto *model = modelNamed(group.model_);
    const bool isLost = !group.isComplete(model->members_);
    if (group.state() == MemberState::Open && !input_.pending_.contains(group.head_->id_))
        order(*group.head_, CloseOrder{group.group_, group.epoch_, isLost},
              isLost ? "member lost" : "member leaving");
}

void Run::reviewReady(const GroupView &group, bool isComplete)
{
    if (!isComplete) {
        const bool isSettling = std::any_of(
            group.members_.begin(), group.members_.end(),
            [this](const Endpoint *member) { return input_.pending_.contains(member->id_); });
        if (!isSettling)
            release(group);
        return;
    }
    groups_[group.model_] += 1;
    const bool areAllReady = std::all_of(
        group.members_.begin(), group.members_.end(), [](const Endpoint *member) {
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
    return groups_.at(model.name_) / std::max(need, 0.01);
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
    while (formOne(free)) { }
}

bool Run::formOne(Engines &free)
{
    const auto *model = neededMost(free, Readiness::Staged);
    // Without weights at hand a group waits for its slowest load. At the first start there is
    // nothing better; later engines load one by one while they are spare.
    if (model == nullptr && input_.isFirstLoad_ && mayLoad())
        model = neededMost(free, Readiness::Empty);
    if (model == nullptr)
        return false;
    std::stable_sort(free.begin(), free.end(), [model](const Endpoint *left, const Endpoint *right) {
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
    for (const auto *member : members)
        join.members_.push_back(member->id_);
    for (const auto *member : members) {
        const bool loads = readinessOf(*member, model.name_) == Readiness::Empty;
        order(*member, join, "form", loads);
    }
    groups_[model.name_] += 1;
}

/// Spare engines load the model whose groups in the domain have the fewest spares.
void Run::stageIn(const Engines &free)
{
    if (free.empty())
        return;
    std::map<ModelName, int> spares;
    for (const auto *engine : free) {
        for (const auto &model : engine->staged_)
            ++spares[model];
    }
    for (const auto *engine : free) {
        if (!engine->staged_.empty() || !mayLoad())
            continue;
        const Model *wanted = nullptr;
        for (const auto &model : input_.profile_->models_) {
            if (wanted == nullptr || spares[model.name_] < spares[wanted->name_]
                || (spares[model.name_] == spares[wanted->name_]
                    && coverage(model) < coverage(*wanted)))
                wanted = &model;
        }
        if (wanted == nullptr)
            return;
        ++spares[wanted->name_];
        order(*engine, StageOrder{wanted->name_}, "spare", true);
    }
}

} // namespace

Plan planReplicas(const PlanInput &input)
{
    return Run(input).plan();
}

} // namespace cardamombay::serving
