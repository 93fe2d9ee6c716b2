/// \file
/// \brief One evaluation of a PlanState by the planner.
#pragma once

#include <cardamombay/planning/plan_decision.hpp>
#include <cardamombay/planning/plan_state.hpp>
#include <cardamombay/planning/repair_policy.hpp>

#include <map>
#include <optional>
#include <set>
#include <vector>

namespace cardamombay::planning::impl {

/// \brief Demand for spare VMs by a broken group or a free slot.
struct VmDemand
{
    const PlannedService *service_ = nullptr;
    const PlannedGroup *broken_ = nullptr; ///< Null for a free slot.
    GroupId slot_;
    double servingShare_ = 0; ///< Fraction of the declared replicas that serve.
};

/// \brief Number of groups of a service in the zone, by state.
struct ServiceCounts
{
    std::uint32_t active_ = 0;   ///< Formed or being formed, and not retiring.
    std::uint32_t serving_ = 0;  ///< Active and serving.
    std::uint32_t retiring_ = 0; ///< Outdated or with a leaving member; not draining yet.
    std::uint32_t draining_ = 0;
};

/// \brief Makes the decisions for one state.
class PlanningRun
{
public:
    PlanningRun(const PlanState &state, const RepairPolicy &policy);

    [[nodiscard]] std::vector<PlanDecision> decide();

private:
    /// \name State
    /// \{
    void countSpares();
    void countGroups();
    [[nodiscard]] bool isOwn(const PlannedGroup &group) const;
    [[nodiscard]] bool hasLeavingMember(const PlannedGroup &group) const;
    [[nodiscard]] bool isOutdated(const PlannedGroup &group) const;
    [[nodiscard]] bool isRetiring(const PlannedGroup &group) const;
    [[nodiscard]] std::vector<const PlannedVm *> lostMembers(const PlannedGroup &group) const;
    [[nodiscard]] bool hasSparesElsewhere(std::uint32_t count) const;
    /// \}

    /// \name Demands for VMs
    /// \{
    [[nodiscard]] std::vector<VmDemand> demands() const;
    void addFreeSlots(const PlannedService &service, std::vector<VmDemand> &found) const;
    void satisfy(const VmDemand &demand);
    void formSlot(const VmDemand &demand);
    void repair(const VmDemand &demand);
    void reform(const PlannedGroup &group);
    void addRepair(RepairStrategy strategy, const VmDemand &demand, PlanDecision decision);
    [[nodiscard]] RepairCase repairCase(const VmDemand &demand) const;
    [[nodiscard]] const PlannedGroup *mergePartner(const VmDemand &demand,
                                                   std::size_t missing) const;
    [[nodiscard]] bool shouldPreempt(const VmDemand &demand, std::size_t missing) const;
    void preemptGroups(const VmDemand &demand, std::size_t missing);
    /// \}

    /// \name Retirement of groups
    /// \{
    void endRetiringGroups();
    void endSurplusGroups();
    void moveLostGroups();
    void endGroup(const PlannedGroup &group, std::string reason);
    /// \}

    void add(PlanDecision decision);
    [[nodiscard]] std::vector<VmId> takeSpares(std::size_t count);
    [[nodiscard]] std::vector<VmId> membersWithSpares(const PlannedGroup &group);

    const PlanState &state_;
    const RepairPolicy &policy_;
    std::vector<VmId> spares_;       ///< Spares of this domain, stragglers first.
    std::size_t incomingSpares_ = 0; ///< VMs of this domain about to become spares.
    std::map<FabricDomain, std::uint32_t> sparesElsewhere_;
    std::map<ServiceName, ServiceCounts> serviceCounts_;
    std::set<GroupId> decided_;
    std::vector<PlanDecision> decisions_;
};

} // namespace cardamombay::planning::impl
