/// \file
/// \brief The lives of a domain's groups, carried on by what their members report.
/// \details Decides which event of the group chart a report amounts to: a member lost or
/// contradicting its row ends a group's service, and a group serves only after every member was
/// asked once more. It never chooses members and writes no row but to free that of a drained group.
#pragma once

#include "domain_view.hpp"
#include "member_orders.hpp"
#include "order_desk.hpp"
#include "row_writer.hpp"

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

/// \brief Groups of one fabric domain under one tenure of its lease.
class GroupLives
{
public:
    GroupLives(Clock &clock, DecisionSink &decisions, const ManagerSettings &settings,
               const FabricDomain &domain, GroupProgramPtr program, OrderDesk &desk,
               MemberOrders &members, RowWriter &writer);

    /// \brief Takes up the groups that the rows name, and lets go of those that were dissolved.
    void follow(const GroupCache &board);

    /// \brief Raises the events that follow from the members' reports and from time.
    /// \param view what the members report.
    /// \param concurrentLoads groups that may load weights at once, at least one.
    void advance(const DomainView &view, std::uint32_t concurrentLoads);

    /// \brief Forgets everything, as at the end of a tenure.
    void clear();

    [[nodiscard]] const std::map<GroupId, GroupStateMachine> &all() const { return lives_; }
    /// \brief The life of \p group, or null.
    [[nodiscard]] GroupStateMachine *find(const GroupId &group);
    [[nodiscard]] std::vector<GroupStatus> statuses() const;

private:
    void followRow(const GroupRow &row);
    void advanceOne(GroupStateMachine &life, const DomainView &view, std::uint32_t concurrentLoads);
    void noteMembers(GroupStateMachine &life, const DomainView &view);
    void confirm(GroupStateMachine &life, const DomainView &view);
    void stopSurvivors(GroupStateMachine &life);
    void finishDraining(GroupStateMachine &life, const DomainView &view);
    [[nodiscard]] bool hasDrained(const GroupStateMachine &life, const DomainView &view,
                                  const VmId &member) const;
    [[nodiscard]] std::size_t loadingGroups() const;

    Clock &clock_;
    DecisionSink &decisions_;
    const ManagerSettings &settings_;
    FabricDomain domain_;
    GroupProgramPtr program_;
    OrderDesk &desk_;
    MemberOrders &members_;
    RowWriter &writer_;
    std::map<GroupId, GroupStateMachine> lives_;
    std::map<GroupId, std::vector<VmId>> missing_;
};

} // namespace cardamombay::groups::impl
