#include <cardamombay/planning/plan_state.hpp>

#include <algorithm>

namespace cardamombay::planning {

const PlannedVm *PlanState::vm(const VmId &vm) const
{
    const auto found
        = std::lower_bound(vms_.begin(), vms_.end(), vm,
                           [](const PlannedVm &each, const VmId &id) { return each.vm_ < id; });
    return found == vms_.end() || found->vm_ != vm ? nullptr : &*found;
}

const PlannedService *PlanState::service(const ServiceName &service) const
{
    const auto found
        = std::find_if(services_.begin(), services_.end(),
                       [&](const PlannedService &each) { return each.service_ == service; });
    return found == services_.end() ? nullptr : &*found;
}

} // namespace cardamombay::planning
