#include <cardamombay/planning/return_history.hpp>

#include <algorithm>

namespace cardamombay::planning {

namespace {

/// Observations that the configured values count for.
constexpr double priorWeight = 5;

/// Away for longer than this, a VM counts as one that does not return.
constexpr Duration longestReturn = std::chrono::minutes(10);

} // namespace

void ReturnHistory::observe(const PlanState &state, TimePoint now)
{
    const auto isOwn = [&](const PlannedVm &vm) { return vm.domain_ == domain_; };
    const auto total = std::count_if(state.vms_.begin(), state.vms_.end(), isOwn);
    const auto lost = std::count_if(state.vms_.begin(), state.vms_.end(), [&](const PlannedVm &vm) {
        return isOwn(vm) && !vm.isHealthy_;
    });
    if (lost * 2 > total) {
        lost_.clear();
        known_.clear();
        return;
    }
    for (const PlannedVm &vm : state.vms_) {
        if (!isOwn(vm))
            continue;
        if (vm.isHealthy_)
            noteHealthy(vm, now);
        else
            noteLost(vm, now);
    }
}

void ReturnHistory::noteLost(const PlannedVm &vm, TimePoint now)
{
    const auto lost = lost_.find(vm.vm_);
    if (lost == lost_.end()) {
        if (known_.erase(vm.vm_) > 0 && !vm.isLeaving_)
            lost_.emplace(vm.vm_, now - vm.lostFor_);
        return;
    }
    if (now - lost->second < longestReturn)
        return;
    ++gone_;
    lost_.erase(lost);
}

void ReturnHistory::noteHealthy(const PlannedVm &vm, TimePoint now)
{
    known_.insert(vm.vm_);
    const auto lost = lost_.find(vm.vm_);
    if (lost == lost_.end())
        return;
    ++returned_;
    awayTime_ += now - lost->second;
    lost_.erase(lost);
}

config::PlannerPolicy ReturnHistory::corrected(config::PlannerPolicy policy) const
{
    const double losses = priorWeight + returned_ + gone_;
    policy.returnProbability_ = (policy.returnProbability_ * priorWeight + returned_) / losses;
    policy.returnTime_ = std::chrono::duration_cast<Duration>(
        (policy.returnTime_ * priorWeight + awayTime_) / (priorWeight + returned_));
    return policy;
}

void ReturnHistory::clear()
{
    *this = ReturnHistory(domain_);
}

} // namespace cardamombay::planning
