#include <cardamombay/planning/plan_decision.hpp>

namespace cardamombay::planning {

std::string_view nameOf(PlanAction action)
{
    switch (action) {
    case PlanAction::Wait:
        return "wait";
    case PlanAction::Form:
        return "form";
    case PlanAction::Replace:
        return "replace";
    case PlanAction::Move:
        return "move";
    case PlanAction::Drain:
        return "drain";
    case PlanAction::Dissolve:
        return "dissolve";
    }
    return "unknown";
}

} // namespace cardamombay::planning
