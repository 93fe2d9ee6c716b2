#include <cardamombay/planning/return_history.hpp>

#include <algorithm>

namespace cardamombay::planning {

namespace {

/// Number of observations that the configured values count as.
constexpr double priorObservations = 5;

/// A VM that is lost for longer than this counts as not returning.
constexpr Duration maxReturnTime = std::chrono::minutes(10);

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
        seenHealthy_.clear();
        return;
    }
    for (const PlannedVm &vm : state.vms_) {
        if (!isOwn(vm))
            continue;
        if (vm.isHealthy_)
            recordHealthy(vm, now);
        else
            recordUnhealthy(vm, now);
    }
}

void ReturnHistory::recordUnhealthy(const PlannedVm &vm, TimePoint now)
{
    const auto lost = lost_.find(vm.vm_);
    if (lost == lost_.end()) {
        if (seenHealthy_.erase(vm.vm_) > 0 && !vm.isLeaving_)
            lost_.emplace(vm.vm_, now - vm.lostFor_);
        return;
    }
    if (now - lost->second < maxReturnTime)
        return;
    ++notReturned_;
    lost_.erase(lost);
}

void ReturnHistory::recordHealthy(const PlannedVm &vm, TimePoint now)
{
    seenHealthy_.insert(vm.vm_);
    const auto lost = lost_.find(vm.vm_);
    if (lost == lost_.end())
        return;
    ++returned_;
    totalReturnTime_ += now - lost->second;
    lost_.erase(lost);
}

config::PlannerPolicy ReturnHistory::adjusted(config::PlannerPolicy policy) const
{
    const double losses = priorObservations + returned_ + notReturned_;
    policy.returnProbability_
        = (policy.returnProbability_ * priorObservations + returned_) / losses;
    policy.returnTime_ = std::chrono::duration_cast<Duration>(
        (policy.returnTime_ * priorObservations + totalReturnTime_)
        / (priorObservations + returned_));
    return policy;
}

void ReturnHistory::clear()
{
    *this = ReturnHistory(domain_);
}

} // namespace cardamombay::planning
