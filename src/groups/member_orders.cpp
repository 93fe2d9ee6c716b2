#include "member_orders.hpp"

#include <utility>

namespace cardamombay::groups::impl {

using endpoint::EndpointOrder;
using endpoint::OrderKind;

MemberOrders::MemberOrders(OrderSender &sender, const RowWriter &writer, FabricDomain domain)
    : sender_(sender)
    , writer_(writer)
    , domain_(std::move(domain))
{
}

void MemberOrders::probe(const ZoneVm &vm, const GroupId &group)
{
    sender_.probe(targetOf(vm, group));
}

void MemberOrders::sendDueOrders(const GroupStateMachine &machine, const ZoneSnapshot &snapshot)
{
    if (machine.target() == MemberTarget::Nothing)
        return;
    const GroupRow &row = machine.row();
    const bool isAssigning = machine.target() == MemberTarget::Assigned;
    EndpointOrder order;
    order.kind_ = isAssigning ? OrderKind::Assign : OrderKind::Drain;
    order.model_ = row.model_;
    order.role_ = row.role_;
    order.members_ = row.members_;
    for (const VmId &member : row.members_) {
        const MemberStatus status = snapshot.memberStatus(row, member);
        const bool isDue = isAssigning
                               ? status == MemberStatus::Unassigned
                               : status == MemberStatus::Ready || status == MemberStatus::Loading;
        if (!isDue)
            continue;
        order.assignment_ = {row.group_, row.generation_, row.rankOf(member).value_or(0)};
        sender_.send(targetOf(*snapshot.vm(member), row.group_), order);
    }
}

void MemberOrders::releaseStale(const GroupCache &groupCache, const ZoneSnapshot &snapshot)
{
    for (const auto &[id, vm] : snapshot.vms()) {
        const bool isOwn = vm.record_.domain_ == domain_;
        if (!isOwn || !vm.isHealthy() || !vm.observation_.state_->assignment_
            || writer_.isReserved(id))
            continue;
        const endpoint::Assignment &reported = *vm.observation_.state_->assignment_;
        const auto *row = groupCache.vm(id);
        const auto *group = groupCache.group(reported.group_);
        const bool isRowSame = row != nullptr && row->content_.group_ == reported.group_
                               && row->content_.generation_ == reported.generation_;
        const bool isCurrent = group != nullptr && !group->content_.isFreeSlot()
                               && group->content_.generation_ == reported.generation_;
        if (isRowSame && isCurrent && group->content_.rankOf(id) == reported.rank_)
            continue;
        EndpointOrder order;
        order.kind_ = OrderKind::Release;
        order.assignment_ = reported;
        sender_.send(targetOf(vm, reported.group_), order);
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

/// The engines of a service that is no longer configured are assumed not to check.
bool MemberOrders::checksFencing(const GroupId &group) const
{
    const std::string &text = group.text();
    const ServiceName name(text.substr(0, text.find('/')));
    const config::Service *service = configuration_->service(name);
    return service != nullptr && service->checksFencing_;
}

} // namespace cardamombay::groups::impl
