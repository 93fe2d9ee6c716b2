/// \file
/// \brief Manages the lifecycle of the groups of one fabric domain.
///
/// Carries out the planner's decisions about which VMs make up which groups. It enforces that no
/// group serves while a member is missing and that no VM belongs to two groups: membership changes
/// in one transaction conditioned on the planner lease and on each VM's row, orders are sent only
/// while the lease is held, and a VM joins a group only after it has reported itself idle. It waits
/// until the cache contains every commit of previous lease holders before it acts.
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

/// \brief Current state of a group, for status pages and metrics.
struct GroupStatus
{
    GroupRow row_;
    GroupPhase phase_ = GroupPhase::Forming;
    TimePoint phaseSince_{};
    std::vector<VmId> missing_; ///< Members that do not report this formation as ready.
};

/// \brief Group manager of one fabric domain; acts only while it holds the planner lease.
/// \code
/// GroupManager manager(clock, store, orders, lease, decisions, settings, self, incarnation,
///                      program);
/// manager.tick({configuration, zone, engines, &watcher, &cache}); // about twice a second
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

    /// \brief Evaluates the input once, and sends the orders and commits that are due.
    void tick(const PlanInput &input);

    /// \brief State of the domain's groups; empty once a tick found the lease not held.
    [[nodiscard]] std::vector<GroupStatus> groups() const;

private:
    class Impl;
    std::unique_ptr<Impl> impl_;
};

} // namespace cardamombay::groups
