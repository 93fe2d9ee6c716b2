/// \file
/// \brief Decides which engines form which groups.
/// \details Pure: takes what the engines report and gives the orders that are due. Guards that no
/// group serves without all its members, and that no engine is taken from a group whose head still
/// serves or may still serve.
#pragma once

#include <cardamombay/serving/configuration.hpp>
#include <cardamombay/serving/group_view.hpp>
#include <cardamombay/serving/model_mix.hpp>
#include <cardamombay/serving/replica_orders.hpp>

#include <functional>
#include <map>
#include <set>
#include <span>

namespace cardamombay::serving {

/// \brief What the planner knows.
struct PlanInput
{
    std::span<const Endpoint *const> engines_; ///< Listed engines of the service.
    const EngineProfile *profile_ = nullptr;
    std::set<VmId> stalledHeads_;       ///< Heads whose streams stand still.
    std::set<VmId> pending_;            ///< Engines with an order whose effect is not seen yet.
    std::map<VmId, GroupName> joining_; ///< Those of them that were ordered into a group.
    std::set<VmId> unresponsive_;       ///< Listed, but they do not answer; counted as missing.
    std::set<VmId> recentlyFreed_;      ///< Have been without a group for a moment only.
    std::map<VmId, ModelName> loading_; ///< What engines load from the weight store.
    std::set<GroupName>
        releasedGroups_;       ///< Their heads have left; members may join another group at once.
    bool isFirstLoad_ = false; ///< No request has come yet, so loads are fast.
    std::map<ModelName, double> demand_; ///< Groups' worth of work by model; empty if unknown.
    const ModelMix *mix_ = nullptr;      ///< None: engines keep their models.
    std::function<std::uint64_t()> nextEpoch_; ///< Rises over all planners.
};

/// \brief An order to one engine.
struct PlannedOrder
{
    VmId engine_;
    Order order_;
    std::string reason_; ///< For the log.
    bool loads_ = false; ///< It starts a load from the weight store.
};

/// \brief The orders that are due now.
using Plan = std::vector<PlannedOrder>;

/// \brief Plans the groups of one service.
[[nodiscard]] Plan planReplicas(const PlanInput &input);

} // namespace cardamombay::serving
