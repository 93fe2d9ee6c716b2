// Capacity part of Balancer: the groups of a model that may be used, and their load.
#include <cardamombay/serving/balancer.hpp>

#include <algorithm>

namespace cardamombay::serving {

namespace {

/// Share of the endpoints that are avoided at most because they break requests. When more do, the
/// cause is not theirs alone, and avoiding them would cost more answers than the broken ones: with
/// 0.4 of the answers of 0.6 of the engines lost, 0.3 of the callers missed their goal.
constexpr double maxBreakingShare = 0.25;

} // namespace

bool Balancer::mayAvoidBreaking(std::size_t breaking, std::size_t all)
{
    const auto share = static_cast<std::size_t>(maxBreakingShare * static_cast<double>(all));
    return breaking <= std::max<std::size_t>(1, share);
}

overload::ModelCapacity Balancer::capacity(const Service &service, const ModelName &model,
                                           TimePoint now)
{
    std::vector<const Candidate *> usable;
    std::vector<const Candidate *> breaking;
    for (const auto &one : candidatesOf(service)) {
        if (one.model_ != model || !loadTracker_.isUsable(one.endpoint_, now)
            || loadTracker_.hasCrashed(one.endpoint_, one.startedAt_))
            continue;
        auto &list = loadTracker_.isBreaking(one.endpoint_, now) ? breaking : usable;
        list.push_back(&one);
    }
    if (!mayAvoidBreaking(breaking.size(), usable.size() + breaking.size()))
        usable.insert(usable.end(), breaking.begin(), breaking.end());
    overload::ModelCapacity result;
    double requests = 0;
    for (const auto *one : usable) {
        const double share = 1 / std::max(1.0, one->slowdown_);
        result.groups_ += share;
        requests += share * static_cast<double>(loadTracker_.totalRequests(one->endpoint_));
    }
    if (result.groups_ > 0)
        result.occupancy_ = requests / (result.groups_ * service.engine_->slots_);
    return result;
}

std::size_t Balancer::ownRequests(const Service &service, const ModelName &model)
{
    std::size_t result = 0;
    for (const auto &one : candidatesOf(service)) {
        if (one.model_ == model)
            result += loadTracker_.ownRequests(one.endpoint_);
    }
    return result;
}

} // namespace cardamombay::serving
