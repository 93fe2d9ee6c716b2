/// \file
/// \brief Decides which VMs make up which groups in one fabric domain.
///
/// A pure function of its input: no I/O, no clock, no state. It decides about repair of broken
/// groups, replacement of leaving members, surplus groups and free slots, in the order of the
/// services' claim on scarce VMs. It gives no orders and writes no rows; whether a decision can
/// still be carried out is settled by the conditions of the transaction that carries it out.
#pragma once

#include <cardamombay/planning/plan_decision.hpp>
#include <cardamombay/planning/plan_state.hpp>
#include <cardamombay/planning/repair_policy.hpp>

#include <memory>
#include <vector>

namespace cardamombay::planning {

/// \brief Planner of one fabric domain.
/// \code
/// const Planner planner;
/// for (const PlanDecision &decision : planner.plan(state))
///     carryOut(decision);
/// \endcode
class Planner
{
public:
    /// \brief Plans by least expected cost.
    Planner();
    /// \brief Repairs by another policy.
    explicit Planner(std::shared_ptr<const RepairPolicy> policy);

    /// \brief Decisions for the present situation; calling again gives the same.
    [[nodiscard]] std::vector<PlanDecision> plan(const PlanState &state) const;

private:
    std::shared_ptr<const RepairPolicy> policy_;
};

} // namespace cardamombay::planning
