#include "member_orders.hpp"

#include <utility>

namespace cardamombay::groups::impl {

using endpoint::EndpointOrder;
using endpoint::OrderKind;

MemberOrders::MemberOrders(OrderDesk &desk, const RowWriter &writer, FabricDomain domain)
    : desk_(desk)
    , writer_(writer)
    , domain_(std::move(domain))
{
}

void MemberOrders::ask(const ZoneVm &vm, const GroupId &group)
{
    desk_.probe(targetOf(vm, group));
}

/// Brings the members to the target of their group, as far as they are not there yet.
void MemberOrders::bring(const GroupStateMachine &life, const DomainView &view)
{
    if (life.target() == MemberTarget::Nothing)
        return;
    const GroupRow &row = life.row();
    const bool assigns = life.target() == MemberTarget::Assigned;
    EndpointOrder order;
    order.kind_ = assigns ? OrderKind::Assign : OrderKind::Drain;
    order.model_ = row.model_;
    order.role_ = row.role_;
    order.members_ = row.members_;
    for (const VmId &member : row.members_) {
        const MemberStanding standing = view.standing(row, member);
        const bool isDue
            = assigns ? standing == MemberStanding::Unassigned
                      : standing == MemberStanding::Ready || standing == MemberStanding::Loading;
        if (!isDue)
            continue;
        order.assignment_ = {row.group_, row.generation_, row.rankOf(member).value_or(0)};
        desk_.send(targetOf(*view.vm(member), row.group_), order);
    }
}

/// Releases VMs of the domain that report a formation their row does not name.
void MemberOrders::releaseStrays(const GroupCache &board, const DomainView &view)
{
    for (const auto &[id, vm] : view.vms()) {
        const bool isOwn = vm.record_.domain_ == domain_;
        if (!isOwn || !vm.isHealthy() || !vm.observation_.state_->assignment_
            || writer_.isReserved(id))
            continue;
        const endpoint::Assignment &reported = *vm.observation_.state_->assignment_;
        const auto *row = board.vm(id);
        const auto *group = board.group(reported.group_);
        const bool isRowSame = row != nullptr && row->content_.group_ == reported.group_
                               && row->content_.generation_ == reported.generation_;
        const bool isCurrent = group != nullptr && !group->content_.isFreeSlot()
                               && group->content_.generation_ == reported.generation_;
        if (isRowSame && isCurrent && group->content_.rankOf(id) == reported.rank_)
            continue;
        EndpointOrder order;
        order.kind_ = OrderKind::Release;
        order.assignment_ = reported;
        desk_.send(targetOf(vm, reported.group_), order);
    }
}

OrderTarget MemberOrders::targetOf(const ZoneVm &vm, const GroupId &group) const
{
    OrderTarget target;
    target.vm_ = vm.record_.id_;
    target.address_ = vm.record_.address_;
    if (vm.observation_.state_)
        target.incarnation_ = vm.observation_.state_->incarnation_;
    target.checksFencing_ = checksFencing(group);
    return target;
}

/// A service that is not configured any longer is taken as one whose engines do not check.
bool MemberOrders::checksFencing(const GroupId &group) const
{
    const std::string &text = group.text();
    const ServiceName name(text.substr(0, text.find('/')));
    const config::Service *service = configuration_->service(name);
    return service != nullptr && service->checksFencing_;
}

} // namespace cardamombay::groups::impl
