/// \file
/// \brief One run of the planner over one state.
#pragma once

#include <cardamombay/planning/plan_decision.hpp>
#include <cardamombay/planning/plan_state.hpp>
#include <cardamombay/planning/repair_policy.hpp>

#include <map>
#include <optional>
#include <set>
#include <vector>

namespace cardamombay::planning::impl {

/// \brief A claim on spare VMs: a broken group or a free slot.
struct Need
{
    const PlannedService *service_ = nullptr;
    const PlannedGroup *broken_ = nullptr; ///< Null for a free slot.
    GroupId slot_;
    double servedShare_ = 0; ///< Share of the service's declared replicas that serve.
};

/// \brief How the groups of a service stand in the zone.
struct Standing
{
    std::uint32_t live_ = 0;    ///< Not about to go; formed or being formed.
    std::uint32_t serving_ = 0; ///< Live and serving.
    std::uint32_t going_ = 0;   ///< Outdated or with a leaving member, not draining yet.
    std::uint32_t draining_ = 0;
};

/// \brief Takes the decisions for one state.
class PlanningRun
{
public:
    PlanningRun(const PlanState &state, const RepairPolicy &policy);

    [[nodiscard]] std::vector<PlanDecision> decide();

private:
    /// \name Survey
    /// \{
    void countSpares();
    void countStandings();
    [[nodiscard]] bool isOwn(const PlannedGroup &group) const;
    [[nodiscard]] bool hasLeavingMember(const PlannedGroup &group) const;
    [[nodiscard]] bool isOutdated(const PlannedGroup &group) const;
    [[nodiscard]] bool isGoing(const PlannedGroup &group) const;
    [[nodiscard]] std::vector<const PlannedVm *> lostMembers(const PlannedGroup &group) const;
    [[nodiscard]] bool hasSparesElsewhere(std::uint32_t count) const;
    /// \}

    /// \name Needs
    /// \{
    [[nodiscard]] std::vector<Need> needs() const;
    void addFreeSlots(const PlannedService &service, std::vector<Need> &found) const;
    void meet(const Need &need);
    void fill(const Need &need);
    void repair(const Need &need);
    void reset(const PlannedGroup &group);
    void carryOut(RepairWay way, const Need &need, PlanDecision decision);
    [[nodiscard]] RepairCase caseOf(const Need &need) const;
    [[nodiscard]] const PlannedGroup *mergePartner(const Need &need, std::size_t missing) const;
    [[nodiscard]] bool isWorthDonors(const Need &need, std::size_t missing) const;
    void drainDonors(const Need &need, std::size_t missing);
    /// \}

    /// \name Groups that go
    /// \{
    void endGoingGroups();
    void endSurplusGroups();
    void moveLostGroups();
    void endGroup(const PlannedGroup &group, std::string reason);
    /// \}

    void add(PlanDecision decision);
    [[nodiscard]] std::vector<VmId> takeSpares(std::size_t count);
    [[nodiscard]] std::vector<VmId> withSpares(const PlannedGroup &group);

    const PlanState &state_;
    const RepairPolicy &policy_;
    std::vector<VmId> spares_; ///< Of the own domain, best last.
    std::size_t coming_ = 0;   ///< VMs that become spares when they are released.
    std::map<FabricDomain, std::uint32_t> sparesElsewhere_;
    std::map<ServiceName, Standing> standings_;
    std::set<GroupId> decided_;
    std::vector<PlanDecision> decisions_;
};

} // namespace cardamombay::planning::impl
