/// \file
/// \brief Builds the planner's input from what a group manager knows.
#pragma once

#include "row_writer.hpp"
#include "zone_snapshot.hpp"

#include <cardamombay/groups/group_state_machine.hpp>
#include <cardamombay/planning/plan_state.hpp>

#include <map>

namespace cardamombay::groups::impl {

/// \brief What the planner's input is built from.
struct PlanStateSources
{
    const PlanInput &input_;
    const ZoneSnapshot &snapshot_;
    const RowWriter &writer_;
    const std::map<GroupId, GroupStateMachine> &machines_;
    FabricDomain domain_;
    TimePoint now_{};
    TimePoint tenureSince_{}; ///< Lower bound of the time since which a VM is lost.
};

/// \brief Builds the planner's input.
[[nodiscard]] planning::PlanState buildPlanState(const PlanStateSources &sources);

} // namespace cardamombay::groups::impl
