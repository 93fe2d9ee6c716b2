#include <cardamombay/planning/planner.hpp>

#include "planning_run.hpp"

#include <utility>

namespace cardamombay::planning {

Planner::Planner()
    : Planner(std::make_shared<LeastCostPolicy>())
{
}

Planner::Planner(std::shared_ptr<const RepairPolicy> policy)
    : policy_(std::move(policy))
{
}

std::vector<PlanDecision> Planner::plan(const PlanState &state) const
{
    return impl::PlanningRun(state, *policy_).decide();
}

} // namespace cardamombay::planning
