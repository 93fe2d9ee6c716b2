/// \file
/// \brief Test bench for the planner: a list of engines and the orders planned for it.
#pragma once

#include "support/gateway_fixture.hpp"

#include <cardamombay/serving/group_heads.hpp>
#include <cardamombay/serving/kept_engines.hpp>
#include <cardamombay/serving/replica_planner.hpp>

#include <algorithm>
#include <string>
#include <vector>

namespace cardamombay::support {

/// \brief A spare engine with the model in memory.
[[nodiscard]] inline serving::Endpoint
loadedEngine(const std::string &id, const std::string &domain, const std::string &model)
{
    auto result = spareEngine(id, domain, model);
    result.model_ = ModelName(model);
    return result;
}

/// \brief Listed engines and the other input of the planner.
struct PlannerBench
{
    serving::Plan plan()
    {
        std::vector<const serving::Endpoint *> engines;
        for (const auto &engine : engines_)
            engines.push_back(&engine);
        heads_.update(engines);
        input_.releasedGroups_ = heads_.released(engines);
        input_.engines_ = engines;
        input_.profile_ = &profile_;
        input_.nextEpoch_ = [this] { return ++epoch_; };
        keptEngines_.update(engines, now_);
        input_.keptFor_ = keptEngines_.models();
        auto result = planReplicas(input_);
        for (const auto &order : result)
            keptEngines_.record(order, engines, now_);
        return result;
    }

    /// \brief Adds a group of two engines.
    void addGroup(const std::string &name, const std::string &domain, serving::MemberState head,
                  const std::string &otherDomain = {})
    {
        const serving::GroupName group(name);
        engines_.push_back(engineIn(name + "-0", domain, group, 1, 0, head));
        engines_.push_back(engineIn(name + "-1", otherDomain.empty() ? domain : otherDomain, group,
                                    1, 1, serving::MemberState::Ready));
    }

    serving::EngineProfile profile_ = *gatewayConfiguration().services_.front().engine_;
    std::vector<serving::Endpoint> engines_;
    serving::PlanInput input_;
    serving::GroupHeads heads_;
    serving::KeptEngines keptEngines_;
    TimePoint now_{}; ///< Time of the next plan.
    std::uint64_t epoch_ = 10;
};

/// \brief Ids of the engines that receive an order of type \p Kind, sorted.
template<typename Kind>
[[nodiscard]] std::vector<std::string> targetsOf(const serving::Plan &plan)
{
    std::vector<std::string> result;
    for (const auto &order : plan) {
        if (std::holds_alternative<Kind>(order.order_))
            result.push_back(order.engine_.text());
    }
    std::sort(result.begin(), result.end());
    return result;
}

using Names = std::vector<std::string>;

} // namespace cardamombay::support
