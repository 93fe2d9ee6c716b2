#include <cardamombay/serving/replica_planner.hpp>

#include "serving/planner_run.hpp"

namespace cardamombay::serving {

Plan planReplicas(const PlanInput &input)
{
    return impl::PlannerRun(input).plan();
}

} // namespace cardamombay::serving
