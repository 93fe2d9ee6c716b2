/// \file
/// \brief Choice of the strategy to repair a group that has lost members.
/// \details The cost of a strategy is the weighted sum of the expected downtime in seconds and the
/// expected VM-seconds of stranded VMs, with weights from the configuration.
#pragma once

#include <cardamombay/config/configuration.hpp>
#include <cardamombay/core/decision_log.hpp>
#include <cardamombay/planning/return_model.hpp>

#include <cstdint>
#include <optional>
#include <string_view>
#include <vector>

namespace cardamombay::planning {

/// \brief Strategy to repair a group.
enum class RepairStrategy {
    Wait,    ///< Wait until the lost members return.
    Replace, ///< Replace the lost members by spares of the domain.
    Merge,   ///< Dissolve another broken group and use its VMs.
    Vacate,  ///< Free the slot for another domain of the zone that has enough spares.
};

[[nodiscard]] std::string_view nameOf(RepairStrategy strategy);

/// \brief State of a broken group, and the strategies available for it besides Wait.
struct RepairCase
{
    std::uint32_t missing_ = 0;
    std::uint32_t survivors_ = 0;
    std::uint32_t otherSurvivors_ = 0; ///< Survivors of the group that Merge would dissolve.
    std::uint32_t otherMissing_ = 0;
    Duration loadTime_{};
    ReturnEstimate returnEstimate_;      ///< For the missing members of this group.
    ReturnEstimate otherReturnEstimate_; ///< For those of the group that Merge would dissolve.
    bool canReplace_ = false;
    bool canMerge_ = false;
    bool canVacate_ = false;
};

/// \brief Expected cost of a strategy.
struct RepairEstimate
{
    RepairStrategy strategy_ = RepairStrategy::Wait;
    Duration downtime_{};        ///< Sum over the affected groups.
    double strandedSeconds_ = 0; ///< Stranded VMs times seconds.
    double cost_ = 0;
};

/// \brief Estimates for all strategies available in \p repair, starting with Wait.
[[nodiscard]] std::vector<RepairEstimate> estimateRepairs(const RepairCase &repair,
                                                          const config::PlannerPolicy &policy);

/// \brief Chooses among the available strategies.
class RepairPolicy
{
public:
    RepairPolicy() = default;
    RepairPolicy(const RepairPolicy &) = delete;
    RepairPolicy &operator=(const RepairPolicy &) = delete;
    virtual ~RepairPolicy() = default;

    /// \brief Chooses a strategy; \p estimates is never empty.
    [[nodiscard]] virtual RepairStrategy
    choose(const std::vector<RepairEstimate> &estimates) const = 0;
};

/// \brief Chooses the strategy of least expected cost, Wait on a tie.
class LeastCostPolicy final : public RepairPolicy
{
public:
    [[nodiscard]] RepairStrategy
    choose(const std::vector<RepairEstimate> &estimates) const override;
};

/// \brief Never replaces a member; a baseline for comparison.
class AlwaysWaitPolicy final : public RepairPolicy
{
public:
    [[nodiscard]] RepairStrategy
    choose(const std::vector<RepairEstimate> &estimates) const override;
};

/// \brief Replaces members as soon as there are enough spares; a baseline for comparison.
class AlwaysReplacePolicy final : public RepairPolicy
{
public:
    [[nodiscard]] RepairStrategy
    choose(const std::vector<RepairEstimate> &estimates) const override;
};

} // namespace cardamombay::planning
