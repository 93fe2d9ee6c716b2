// Converts groups of one model into groups of another.
#include "serving/planner_run.hpp"

#include <algorithm>

namespace cardamombay::serving::impl {

namespace {

constexpr std::string_view convertReason = "its engines are needed for another model";

/// Total demand, in groups, below which the ratio between the models is not known. One group in a
/// moving average over 4 s corresponds to 44 requests with 20 slots and answers of 1.8 s.
constexpr double minDemandForRatio = 1;

} // namespace

std::vector<ModelLoad> PlannerRun::modelLoads() const
{
    std::vector<ModelLoad> result;
    for (const auto &model : input_.profile_->models_) {
        const auto demand = input_.demand_.find(model.name_);
        const auto expected = expected_.find(model.name_);
        result.push_back(
            {&model, groups_.at(model.name_) + (expected == expected_.end() ? 0 : expected->second),
             demand == input_.demand_.end() ? 0 : demand->second});
    }
    return result;
}

/// Groups being converted are counted as groups of the target model, so that each run selects the
/// same groups again and no more than necessary.
void PlannerRun::convert()
{
    if (input_.isFirstStart_ || input_.demand_.empty() || input_.mix_ == nullptr)
        return;
    while (const auto conversion = nextConversion()) {
        const auto *group = convertible(*conversion);
        if (group == nullptr) {
            reportMix("no group of " + conversion->from_->name_.text() + " can be converted to "
                      + conversion->to_->name_.text());
            return;
        }
        convertGroup(*group, *conversion);
    }
    if (converting_.empty())
        reportMix(isRatioKnown() ? "no conversion is beneficial"
                                 : "the demand is too low for a ratio");
}

std::optional<Conversion> PlannerRun::nextConversion() const
{
    const auto loads = modelLoads();
    if (!input_.mayPrepareConversions_)
        return input_.mix_->next(loads);
    return isRatioKnown() ? input_.mix_->nextPrepared(loads) : std::nullopt;
}

bool PlannerRun::isRatioKnown() const
{
    double total = 0;
    for (const auto &[model, groups] : input_.demand_)
        total += groups;
    return !input_.mayPrepareConversions_ || total >= minDemandForRatio;
}

void PlannerRun::convertGroup(const GroupView &group, const Conversion &conversion)
{
    const auto &to = *conversion.to_;
    const bool isStaged = allHaveStaged(group, to);
    reportMix(group.group_.text() + (isStaged ? " becomes " : " loads ") + to.name_.text());
    converting_.insert(group.group_);
    groups_[group.model_] -= 1;
    groups_[to.name_] += static_cast<double>(conversion.groupsMade());
    if (isStaged)
        closeForConversion(group, to);
    else if (group.state() == MemberState::Open)
        stageForConversion(group, to);
}

void PlannerRun::reportMix(std::string_view outcome) const
{
    if (input_.reportMix_)
        input_.reportMix_(outcome, modelLoads());
}

/// The group to convert next: preferably one that is already closing, otherwise the one with the
/// fewest engines that still have to load the model.
const GroupView *PlannerRun::convertible(const Conversion &conversion) const
{
    const auto ready = [&](const GroupView &group) {
        return std::count_if(group.members_.begin(), group.members_.end(), [&](const auto *member) {
            return hasOrLoadsModel(*member, *conversion.to_);
        });
    };
    const GroupView *best = nullptr;
    for (const auto *list : {&ready_, &serving_}) {
        for (const auto *group : *list) {
            const bool fits = group->model_ == conversion.from_->name_ && !group->spansDomains()
                              && !dissolving_.contains(group->group_)
                              && !converting_.contains(group->group_)
                              && !reclaiming_.contains(group->head_->domain_);
            if (!fits)
                continue;
            const auto rank = [&](const GroupView &one) {
                return std::pair(one.state() != MemberState::Open, ready(one));
            };
            if (best == nullptr || rank(*group) > rank(*best))
                best = group;
        }
    }
    return best;
}

bool PlannerRun::hasOrLoadsModel(const Endpoint &engine, const Model &model) const
{
    const auto loading = input_.loading_.find(engine.id_);
    return engine.hasStaged(model.name_)
           || (loading != input_.loading_.end() && loading->second == model.name_);
}

bool PlannerRun::allHaveStaged(const GroupView &group, const Model &model)
{
    return std::all_of(group.members_.begin(), group.members_.end(),
                       [&model](const auto *member) { return member->hasStaged(model.name_); });
}

void PlannerRun::closeForConversion(const GroupView &group, const Model &model)
{
    dissolving_.insert(group.group_);
    closeFor(group, model, convertReason);
}

/// Closes the group if it is open; its engines are then kept for \p model.
void PlannerRun::closeFor(const GroupView &group, const Model &model, std::string_view reason)
{
    if (group.state() != MemberState::Open || input_.pending_.contains(group.head_->id_))
        return;
    order(*group.head_, CloseOrder{group.group_, group.epoch_, false}, std::string(reason));
    result_.back().takenFor_ = model.name_;
}

/// The group's engines load the target model onto their hosts while the group continues to serve.
void PlannerRun::stageForConversion(const GroupView &group, const Model &model)
{
    for (const auto *member : group.members_) {
        if (!mayLoadReserve() || hasOrLoadsModel(*member, model) || isLoading(*member)
            || hasOrder(*member) || input_.pending_.contains(member->id_))
            continue;
        order(*member, StageOrder{model.name_}, std::string(convertReason), true);
    }
}

} // namespace cardamombay::serving::impl
