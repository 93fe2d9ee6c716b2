/// \file
/// \brief Which orders the VMs of a fabric domain need at one tick.
#pragma once

#include "domain_view.hpp"
#include "order_desk.hpp"
#include "row_writer.hpp"

#include <cardamombay/config/configuration.hpp>
#include <cardamombay/groups/group_state_machine.hpp>

namespace cardamombay::groups::impl {

/// \brief Brings members to the target of their group and releases VMs from old formations.
class MemberOrders
{
public:
    MemberOrders(OrderDesk &desk, const RowWriter &writer, FabricDomain domain);

    void setConfiguration(config::ConfigurationPtr configuration)
    {
        configuration_ = std::move(configuration);
    }

    /// \brief Orders the members of a group that are not at its target yet.
    void bring(const GroupStateMachine &life, const DomainView &view);

    /// \brief Releases VMs of the domain that report a formation their row does not name.
    void releaseStrays(const GroupCache &board, const DomainView &view);

    /// \brief Asks a member of \p group for its state.
    void ask(const ZoneVm &vm, const GroupId &group);

private:
    [[nodiscard]] OrderTarget targetOf(const ZoneVm &vm, const GroupId &group) const;
    [[nodiscard]] bool checksFencing(const GroupId &group) const;

    OrderDesk &desk_;
    const RowWriter &writer_;
    FabricDomain domain_;
    config::ConfigurationPtr configuration_;
};

} // namespace cardamombay::groups::impl
