#include "order_sender.hpp"

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

OrderSender::OrderSender(Clock &clock, endpoint::EndpointOrders &orders, leases::LeaseKeeper &lease,
                         DecisionSink &decisions, const ManagerSettings &settings)
    : clock_(clock)
    , orders_(orders)
    , lease_(lease)
    , decisions_(decisions)
    , settings_(settings)
{
}

bool OrderSender::canSend(const OrderTarget &target) const
{
    if (!lease_.isHeldFor(settings_.orderMargin_))
        return false;
    // An endpoint that ignores the fencing token would accept a late order of the previous holder.
    return target.checksFencing_ || clock_.now() >= lease_.previousOrdersUntil();
}

/// Idempotency key: the same for each attempt, so that the endpoint can recognize a repeat.
std::string OrderSender::orderKey(const EndpointOrder &order, const OrderTarget &target) const
{
    std::string key = lease_.domain().text() + "/" + std::to_string(lease_.epoch().value());
    key += "/" + std::string(nameOf(order.kind_));
    key += "/" + order.assignment_.group_.text();
    key += "/" + std::to_string(order.assignment_.generation_.value());
    key += "/" + target.vm_.text() + "/" + std::to_string(target.incarnation_.value());
    return key;
}

bool OrderSender::send(const OrderTarget &target, EndpointOrder order)
{
    VmChannel &channel = channels_[target.vm_];
    std::string key = orderKey(order, target);
    const bool isRepeat = key == channel.lastOrderKey_;
    const bool isTooSoon
        = isRepeat && clock_.now() < channel.lastSentAt_ + settings_.resendInterval_;
    if (channel.isOrderInFlight_ || isTooSoon || !canSend(target))
        return false;
    if (!isRepeat)
        channel.refusals_ = 0;
    order.id_ = OrderId(key + "/" + std::to_string(channel.refusals_));
    order.vm_ = target.vm_;
    order.fencing_ = lease_.epoch();
    channel.lastOrderKey_ = std::move(key);
    channel.lastSentAt_ = clock_.now();
    channel.isOrderInFlight_ = true;
    ++sentOrders_;
    auto onReply = [this, tenure = std::weak_ptr(tenure_), vm = target.vm_,
                    askedAt = clock_.now()](const Result<EndpointState> &result) {
        if (tenure.expired())
            return;
        channels_[vm].isOrderInFlight_ = false;
        handleReply(vm, askedAt, result);
    };
    orders_.send(target.address_, std::move(order), std::move(onReply));
    return true;
}

void OrderSender::probe(const OrderTarget &target)
{
    VmChannel &channel = channels_[target.vm_];
    if (channel.isProbeInFlight_)
        return;
    channel.isProbeInFlight_ = true;
    auto onReply = [this, tenure = std::weak_ptr(tenure_), vm = target.vm_,
                    askedAt = clock_.now()](const Result<EndpointState> &result) {
        if (tenure.expired())
            return;
        channels_[vm].isProbeInFlight_ = false;
        handleReply(vm, askedAt, result);
    };
    orders_.probe(target.vm_, target.address_, std::move(onReply));
}

void OrderSender::handleReply(const VmId &vm, TimePoint askedAt,
                              const Result<EndpointState> &result)
{
    VmChannel &channel = channels_[vm];
    if (isOk(result)) {
        if (!channel.hasReply_ || askedAt >= channel.reply_.askedAt_)
            channel.reply_ = {valueOf(result), askedAt};
        channel.hasReply_ = true;
        return;
    }
    if (isError<EndpointRefused>(result))
        recordRefusal(vm, std::get<EndpointRefused>(errorOf(result)));
}

/// A refused order was not executed, so the next attempt needs another identifier. The state that
/// the endpoint holds instead follows with its next report.
void OrderSender::recordRefusal(const VmId &vm, const EndpointRefused &refusal)
{
    VmChannel &channel = channels_[vm];
    ++channel.refusals_;
    decisions_.record({clock_.now(),
                       events::orderRefused,
                       vm.text(),
                       refusal.reason_,
                       {{"order", channel.lastOrderKey_}},
                       {}});
}

const DirectReply *OrderSender::latestReply(const VmId &vm) const
{
    const auto found = channels_.find(vm);
    return found == channels_.end() || !found->second.hasReply_ ? nullptr : &found->second.reply_;
}

void OrderSender::clear()
{
    channels_.clear();
    tenure_ = std::make_shared<bool>(true);
}

} // namespace cardamombay::groups::impl
