// Converts groups of one model into groups of another.
#include "serving/planner_run.hpp"

#include <algorithm>

namespace cardamombay::serving::impl {

namespace {

constexpr std::string_view convertReason = "its engines are needed for another model";

} // namespace

std::vector<ModelLoad> PlannerRun::modelLoads() const
{
    std::vector<ModelLoad> result;
    for (const auto &model : input_.profile_->models_) {
        const auto demand = input_.demand_.find(model.name_);
        result.push_back(
            {&model, groups_.at(model.name_), demand == input_.demand_.end() ? 0 : demand->second});
    }
    return result;
}

/// Groups being converted are counted as groups of the target model, so that each run selects the
/// same groups again and no more than necessary.
void PlannerRun::convert()
{
    if (input_.isFirstStart_ || input_.demand_.empty() || input_.mix_ == nullptr)
        return;
    while (const auto conversion = input_.mix_->next(modelLoads())) {
        const auto *group = convertible(*conversion);
        if (group == nullptr)
            return;
        converting_.insert(group->group_);
        groups_[group->model_] -= 1;
        groups_[conversion->to_->name_] += static_cast<double>(conversion->groupsMade());
        if (allHaveStaged(*group, *conversion->to_))
            closeForConversion(*group);
        else if (group->state() == MemberState::Open)
            stageForConversion(*group, *conversion->to_);
    }
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

void PlannerRun::closeForConversion(const GroupView &group)
{
    dissolving_.insert(group.group_);
    if (group.state() == MemberState::Open && !input_.pending_.contains(group.head_->id_))
        order(*group.head_, CloseOrder{group.group_, group.epoch_, false},
              std::string(convertReason));
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
