/// \file
/// \brief Turns what a group manager knows into the planner's input.
#pragma once

#include "domain_view.hpp"
#include "row_writer.hpp"

#include <cardamombay/groups/group_state_machine.hpp>
#include <cardamombay/planning/plan_state.hpp>

#include <map>

namespace cardamombay::groups::impl {

/// \brief Sources of the planner's input.
struct SurveySources
{
    const PlanInput &input_;
    const DomainView &view_;
    const RowWriter &writer_;
    const std::map<GroupId, GroupStateMachine> &lives_;
    FabricDomain domain_;
    TimePoint now_{};
    TimePoint tenureSince_{}; ///< Nothing counts as lost for longer than the tenure.
};

/// \brief The planner's input.
[[nodiscard]] planning::PlanState surveyOf(const SurveySources &sources);

} // namespace cardamombay::groups::impl
