/// \file
/// \brief Carries the groups of one fabric domain through their life.
///
/// Decides, with the planner, which VMs make up which groups, and orders the VMs accordingly. It
/// guards the promises that no group serves while a member is missing and that no VM belongs to
/// two groups: membership changes in one transaction conditioned on the planner lease and on each
/// VM's row, orders leave only while the lease is held, and a VM joins a group only after it
/// reported itself idle. It never decides on rows that may lack a commit of the planner before.
#pragma once

#include <cardamombay/core/clock.hpp>
#include <cardamombay/core/decision_log.hpp>
#include <cardamombay/endpoint/endpoint_orders.hpp>
#include <cardamombay/groups/group_row.hpp>
#include <cardamombay/groups/group_state_machine.hpp>
#include <cardamombay/groups/manager_settings.hpp>
#include <cardamombay/groups/plan_input.hpp>
#include <cardamombay/leases/lease_keeper.hpp>
#include <cardamombay/planning/planner.hpp>
#include <cardamombay/platform/table_store.hpp>

#include <memory>
#include <vector>

namespace cardamombay::groups {

/// \brief Live state of a group, for status pages and metrics.
struct GroupStatus
{
    GroupRow row_;
    GroupPhase phase_ = GroupPhase::Forming;
    TimePoint phaseSince_{};
    std::vector<VmId> missing_; ///< Members not heard of or reporting something else.
};

/// \brief Planner side of one fabric domain; works only while its lease is held.
/// \code
/// GroupManager manager(clock, store, orders, lease, decisions, settings, self, incarnation,
///                      program);
/// manager.tick({configuration, zone, engines, &watcher, &board}); // about twice a second
/// \endcode
class GroupManager
{
public:
    GroupManager(Clock &clock, platform::TableStore &store, endpoint::EndpointOrders &orders,
                 leases::LeaseKeeper &lease, DecisionSink &decisions, ManagerSettings settings,
                 const EntryId &self, Incarnation incarnation, GroupProgramPtr program,
                 planning::Planner planner = planning::Planner());
    GroupManager(const GroupManager &) = delete;
    GroupManager &operator=(const GroupManager &) = delete;
    ~GroupManager();

    /// \brief Looks at everything once, and orders and commits what is due.
    void tick(const PlanInput &input);

    /// \brief Live state of the domain's groups; empty while the lease is not held.
    [[nodiscard]] std::vector<GroupStatus> groups() const;

private:
    class Impl;
    std::unique_ptr<Impl> impl_;
};

} // namespace cardamombay::groups
