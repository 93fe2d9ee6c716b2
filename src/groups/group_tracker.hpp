/// \file
/// \brief Runs the state machines of a domain's groups from what their members report.
/// \details Translates reports to events of the group chart: a lost or mismatched member takes the
/// group out of service, and a group serves only after every member has been probed once more. It
/// does not choose members, and the only rows it writes are those of a drained group, to free them.
#pragma once

#include "member_orders.hpp"
#include "order_sender.hpp"
#include "row_writer.hpp"
#include "zone_snapshot.hpp"

#include <cardamombay/core/clock.hpp>
#include <cardamombay/core/decision_log.hpp>
#include <cardamombay/groups/group_cache.hpp>
#include <cardamombay/groups/group_manager.hpp>
#include <cardamombay/groups/group_state_machine.hpp>
#include <cardamombay/groups/manager_settings.hpp>

#include <cstdint>
#include <map>
#include <vector>

namespace cardamombay::groups::impl {

/// \brief State machines of the groups of one fabric domain during one tenure of its lease.
class GroupTracker
{
public:
    GroupTracker(Clock &clock, DecisionSink &decisions, const ManagerSettings &settings,
                 const FabricDomain &domain, GroupProgramPtr program, OrderSender &sender,
                 MemberOrders &members, RowWriter &writer);

    /// \brief Adds the groups whose rows name the domain, and removes those that were dissolved.
    void sync(const GroupCache &groupCache);

    /// \brief Raises the events that follow from the members' reports and from elapsed time.
    /// \param snapshot the members' reports.
    /// \param concurrentLoads number of groups that may load weights at once; 0 counts as 1.
    void advance(const ZoneSnapshot &snapshot, std::uint32_t concurrentLoads);

    /// \brief Discards all state, at the start or end of a tenure.
    void clear();

    [[nodiscard]] const std::map<GroupId, GroupStateMachine> &all() const { return machines_; }
    /// \brief The state machine of \p group, or null.
    [[nodiscard]] GroupStateMachine *find(const GroupId &group);
    [[nodiscard]] std::vector<GroupStatus> statuses() const;

private:
    void trackRow(const GroupRow &row);
    void advanceOne(GroupStateMachine &machine, const ZoneSnapshot &snapshot,
                    std::uint32_t concurrentLoads);
    void raiseMemberEvents(GroupStateMachine &machine, const ZoneSnapshot &snapshot);
    void verifyMembers(GroupStateMachine &machine, const ZoneSnapshot &snapshot);
    void stopSurvivors(GroupStateMachine &machine);
    void finishDraining(GroupStateMachine &machine, const ZoneSnapshot &snapshot);
    [[nodiscard]] bool hasDrained(const GroupStateMachine &machine, const ZoneSnapshot &snapshot,
                                  const VmId &member) const;
    [[nodiscard]] std::size_t loadingGroups() const;

    Clock &clock_;
    DecisionSink &decisions_;
    const ManagerSettings &settings_;
    FabricDomain domain_;
    GroupProgramPtr program_;
    OrderSender &sender_;
    MemberOrders &members_;
    RowWriter &writer_;
    std::map<GroupId, GroupStateMachine> machines_;
    std::map<GroupId, std::vector<VmId>> missing_;
};

} // namespace cardamombay::groups::impl
