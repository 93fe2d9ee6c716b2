#include "order_desk.hpp"

#include <cardamombay/groups/events.hpp>

#include <utility>

namespace cardamombay::groups::impl {

using endpoint::EndpointOrder;
using endpoint::EndpointState;
using endpoint::OrderKind;

namespace {

std::string_view nameOf(OrderKind kind)
{
    switch (kind) {
    case OrderKind::Assign:
        return "assign";
    case OrderKind::Drain:
        return "drain";
    case OrderKind::Release:
        return "release";
    }
    return "unknown";
}

} // namespace

OrderDesk::OrderDesk(Clock &clock, endpoint::EndpointOrders &orders, leases::LeaseKeeper &lease,
                     DecisionSink &decisions, const ManagerSettings &settings)
    : clock_(clock)
    , orders_(orders)
    , lease_(lease)
    , decisions_(decisions)
    , settings_(settings)
{
}

bool OrderDesk::mayOrder(const OrderTarget &target) const
{
    if (!lease_.isHeldFor(settings_.orderMargin_))
        return false;
    // An endpoint that ignores the fencing number would take a late order of the holder before.
    return target.checksFencing_ || clock_.now() >= lease_.previousOrdersUntil();
}

/// What the order is about; the same for each try, so that the endpoint can tell a repeat.
std::string OrderDesk::subjectOf(const EndpointOrder &order, const OrderTarget &target) const
{
    std::string subject = lease_.domain().text() + "/" + std::to_string(lease_.epoch().value());
    subject += "/" + std::string(nameOf(order.kind_));
    subject += "/" + order.assignment_.group_.text();
    subject += "/" + std::to_string(order.assignment_.generation_.value());
    subject += "/" + target.vm_.text() + "/" + std::to_string(target.incarnation_.value());
    return subject;
}

bool OrderDesk::send(const OrderTarget &target, EndpointOrder order)
{
    Line &line = lines_[target.vm_];
    std::string subject = subjectOf(order, target);
    const bool isRepeat = subject == line.lastOrder_;
    const bool isTooSoon = isRepeat && clock_.now() < line.lastSentAt_ + settings_.resendEvery_;
    if (line.isOrderUnderWay_ || isTooSoon || !mayOrder(target))
        return false;
    if (!isRepeat)
        line.refusals_ = 0;
    order.id_ = OrderId(subject + "/" + std::to_string(line.refusals_));
    order.vm_ = target.vm_;
    order.fencing_ = lease_.epoch();
    line.lastOrder_ = std::move(subject);
    line.lastSentAt_ = clock_.now();
    line.isOrderUnderWay_ = true;
    ++sentOrders_;
    auto answered = [this, tenure = std::weak_ptr(tenure_), vm = target.vm_,
                     askedAt = clock_.now()](const Result<EndpointState> &result) {
        if (tenure.expired())
            return;
        lines_[vm].isOrderUnderWay_ = false;
        take(vm, askedAt, result);
    };
    orders_.send(target.address_, std::move(order), std::move(answered));
    return true;
}

void OrderDesk::probe(const OrderTarget &target)
{
    Line &line = lines_[target.vm_];
    if (line.isProbeUnderWay_)
        return;
    line.isProbeUnderWay_ = true;
    auto answered = [this, tenure = std::weak_ptr(tenure_), vm = target.vm_,
                     askedAt = clock_.now()](const Result<EndpointState> &result) {
        if (tenure.expired())
            return;
        lines_[vm].isProbeUnderWay_ = false;
        take(vm, askedAt, result);
    };
    orders_.probe(target.vm_, target.address_, std::move(answered));
}

void OrderDesk::take(const VmId &vm, TimePoint askedAt, const Result<EndpointState> &result)
{
    Line &line = lines_[vm];
    if (isOk(result)) {
        if (!line.hasAnswer_ || askedAt >= line.answer_.askedAt_)
            line.answer_ = {valueOf(result), askedAt};
        line.hasAnswer_ = true;
        return;
    }
    if (isError<EndpointRefused>(result))
        noteRefusal(vm, std::get<EndpointRefused>(errorOf(result)));
}

/// A refused order was not carried out, so the next try is another order. What the endpoint
/// holds instead is read back.
void OrderDesk::noteRefusal(const VmId &vm, const EndpointRefused &refusal)
{
    Line &line = lines_[vm];
    ++line.refusals_;
    decisions_.record({clock_.now(),
                       events::orderRefused,
                       vm.text(),
                       refusal.reason_,
                       {{"order", line.lastOrder_}},
                       {}});
}

const OwnAnswer *OrderDesk::answer(const VmId &vm) const
{
    const auto found = lines_.find(vm);
    return found == lines_.end() || !found->second.hasAnswer_ ? nullptr : &found->second.answer_;
}

void OrderDesk::clear()
{
    lines_.clear();
    tenure_ = std::make_shared<bool>(true);
}

} // namespace cardamombay::groups::impl
