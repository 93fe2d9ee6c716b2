/// \file
/// \brief Decides which engines form which groups.
/// \details A pure function from the engines' reports to the orders that are due. Invariants: a
/// group is opened only with all its members, and no engine is reassigned from a group whose head
/// is or may be serving.
#pragma once

#include <cardamombay/serving/configuration.hpp>
#include <cardamombay/serving/group_view.hpp>
#include <cardamombay/serving/model_mix.hpp>
#include <cardamombay/serving/replica_orders.hpp>

#include <functional>
#include <map>
#include <set>
#include <span>
#include <string_view>

namespace cardamombay::serving {

/// \brief Receives the outcome of each review of the model mix, with the figures it was based on.
using MixReport = std::function<void(std::string_view outcome, std::span<const ModelLoad> models)>;

/// \brief Input of one planner run.
struct PlanInput
{
    std::span<const Endpoint *const> engines_; ///< The service's listed engines.
    const EngineProfile *profile_ = nullptr;
    std::set<VmId> stalledHeads_;        ///< Heads whose streams have stalled.
    std::set<VmId> pending_;             ///< Engines with an order that has not taken effect yet.
    std::map<VmId, GroupName> joining_;  ///< Groups that pending engines were ordered to join.
    std::set<VmId> unresponsive_;        ///< Listed but not answering; treated as missing.
    std::set<VmId> recentlyFreed_;       ///< Left their group only moments ago.
    std::map<VmId, ModelName> loading_;  ///< Loads from the weight store in progress.
    std::set<GroupName> releasedGroups_; ///< Groups whose heads have left; see GroupHeads.
    bool isFirstStart_ = false;          ///< No request has arrived yet, so loads are fast.
    std::map<ModelName, double> demand_; ///< Demand by model, in groups; empty if unknown.
    const ModelMix *mix_ = nullptr;      ///< Null: engines keep their models.
    std::map<VmId, ModelName> keptFor_;  ///< Engines taken for a model; see KeptEngines.
    /// Hosts also stage the model that their engines could be converted to, and conversions follow
    /// the ratio of the demands.
    bool mayPrepareConversions_ = false;
    MixReport reportMix_;                      ///< May be empty.
    std::function<std::uint64_t()> nextEpoch_; ///< Increases across all planners.
};

/// \brief An order to one engine.
struct PlannedOrder
{
    VmId engine_;
    Order order_;
    std::string reason_; ///< For the log.
    bool loads_ = false; ///< The order starts a load from the weight store.
    ModelName takenFor_; ///< Model that the engines of a closed group are taken for; or empty.
};

/// \brief Orders that are due now.
using Plan = std::vector<PlannedOrder>;

/// \brief Computes the orders that are due for the groups of one service.
[[nodiscard]] Plan planReplicas(const PlanInput &input);

} // namespace cardamombay::serving
