/// \file
/// \brief Determines which orders the VMs of a fabric domain need at one tick.
#pragma once

#include "order_sender.hpp"
#include "row_writer.hpp"
#include "zone_snapshot.hpp"

#include <cardamombay/config/configuration.hpp>
#include <cardamombay/groups/group_state_machine.hpp>

namespace cardamombay::groups::impl {

/// \brief Orders members into the target state of their group, and releases VMs from old
/// formations.
class MemberOrders
{
public:
    MemberOrders(OrderSender &sender, const RowWriter &writer, FabricDomain domain);

    void setConfiguration(config::ConfigurationPtr configuration)
    {
        configuration_ = std::move(configuration);
    }

    /// \brief Sends orders to those members of a group that are not in its target state yet.
    void sendDueOrders(const GroupStateMachine &machine, const ZoneSnapshot &snapshot);

    /// \brief Releases VMs of the domain that report a formation not named by their row.
    void releaseStale(const GroupCache &groupCache, const ZoneSnapshot &snapshot);

    /// \brief Requests the state of a member of \p group.
    void probe(const ZoneVm &vm, const GroupId &group);

private:
    [[nodiscard]] OrderTarget targetOf(const ZoneVm &vm, const GroupId &group) const;
    [[nodiscard]] bool checksFencing(const GroupId &group) const;

    OrderSender &sender_;
    const RowWriter &writer_;
    FabricDomain domain_;
    config::ConfigurationPtr configuration_;
};

} // namespace cardamombay::groups::impl
