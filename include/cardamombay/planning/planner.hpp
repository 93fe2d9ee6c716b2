/// \file
/// \brief Decides which VMs make up which groups in one fabric domain.
///
/// A pure function of its input: no I/O, no clock, no state. It decides on repairs of broken
/// groups, replacement of leaving members, surplus groups and free slots, and serves services in
/// order of priority when VMs are scarce. It sends no orders and writes no rows. A decision based
/// on stale input fails on the conditions of its transaction.
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
///     execute(decision);
/// \endcode
class Planner
{
public:
    /// \brief Creates a planner that repairs by LeastCostPolicy.
    Planner();
    /// \brief Creates a planner that repairs by \p policy.
    explicit Planner(std::shared_ptr<const RepairPolicy> policy);

    /// \brief Decisions for \p state; the same state always gives the same decisions.
    [[nodiscard]] std::vector<PlanDecision> plan(const PlanState &state) const;

private:
    std::shared_ptr<const RepairPolicy> policy_;
};

} // namespace cardamombay::planning
