/// \file
/// \brief The choice between the ways to repair a group that lost members.
/// \details Decides among the ways that are open by expected downtime and expected stranded VMs,
/// both in seconds, weighted by the configuration. It is a pure function; the planner carries
/// nothing out by itself.
#pragma once

#include <cardamombay/config/configuration.hpp>
#include <cardamombay/core/decision_log.hpp>
#include <cardamombay/planning/return_model.hpp>

#include <cstdint>
#include <optional>
#include <string_view>
#include <vector>

namespace cardamombay::planning {

/// \brief Ways to repair a group.
enum class RepairWay {
    Wait,    ///< Until the lost members return.
    Replace, ///< By spares of the domain.
    Merge,   ///< Dissolve another broken group and take its VMs.
    Vacate,  ///< Free the slot for another domain of the zone that has the VMs.
};

[[nodiscard]] std::string_view nameOf(RepairWay way);

/// \brief Situation of a broken group.
struct RepairCase
{
    std::uint32_t missing_ = 0;
    std::uint32_t survivors_ = 0;
    std::uint32_t otherSurvivors_ = 0; ///< Of the group that Merge would dissolve.
    std::uint32_t otherMissing_ = 0;
    Duration loadTime_{};
    ReturnEstimate outlook_;      ///< Of the members missing here.
    ReturnEstimate otherOutlook_; ///< Of those missing in the group that Merge would dissolve.
    bool canReplace_ = false;
    bool canMerge_ = false;
    bool canVacate_ = false;
};

/// \brief Expected effects of a way.
struct RepairEstimate
{
    RepairWay way_ = RepairWay::Wait;
    Duration downtime_{};        ///< Sum over the groups concerned.
    double strandedSeconds_ = 0; ///< Stranded VMs times seconds.
    double cost_ = 0;
};

/// \brief Estimates of all ways open in \p repair, Wait first.
[[nodiscard]] std::vector<RepairEstimate> estimateRepairs(const RepairCase &repair,
                                                          const config::PlannerPolicy &policy);

/// \brief Chooses among the ways that are open.
class RepairPolicy
{
public:
    RepairPolicy() = default;
    RepairPolicy(const RepairPolicy &) = delete;
    RepairPolicy &operator=(const RepairPolicy &) = delete;
    virtual ~RepairPolicy() = default;

    /// \brief The way to take; \p ways is never empty.
    [[nodiscard]] virtual RepairWay choose(const std::vector<RepairEstimate> &ways) const = 0;
};

/// \brief Takes the way of least expected cost; Wait on a tie.
class LeastCostPolicy final : public RepairPolicy
{
public:
    [[nodiscard]] RepairWay choose(const std::vector<RepairEstimate> &ways) const override;
};

/// \brief Never replaces a member; for comparison.
class AlwaysWaitPolicy final : public RepairPolicy
{
public:
    [[nodiscard]] RepairWay choose(const std::vector<RepairEstimate> &ways) const override;
};

/// \brief Replaces members as soon as there are spares; for comparison.
class AlwaysReplacePolicy final : public RepairPolicy
{
public:
    [[nodiscard]] RepairWay choose(const std::vector<RepairEstimate> &ways) const override;
};

} // namespace cardamombay::planning
