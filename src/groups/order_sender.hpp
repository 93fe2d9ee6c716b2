/// \file
/// \brief Sends orders to endpoint VMs under the planner lease and keeps their replies.
#pragma once

#include <cardamombay/core/clock.hpp>
#include <cardamombay/core/decision_log.hpp>
#include <cardamombay/endpoint/endpoint_orders.hpp>
#include <cardamombay/groups/manager_settings.hpp>
#include <cardamombay/leases/lease_keeper.hpp>

#include <cstdint>
#include <map>
#include <memory>
#include <string>

namespace cardamombay::groups::impl {

/// \brief Endpoint VM that an order or probe is sent to.
struct OrderTarget
{
    VmId vm_;
    Address address_;
    Incarnation incarnation_;   ///< As last reported.
    bool checksFencing_ = true; ///< Refuses orders with an old fencing token.
};

/// \brief State that a VM returned in reply to an order or a probe.
struct DirectReply
{
    endpoint::EndpointState state_;
    TimePoint askedAt_{};
};

/// \brief Sends orders with at most one in flight for each VM.
/// \details The caller sends an order again until its effect is visible; repeats within
/// ManagerSettings::resendInterval_ are suppressed.
class OrderSender
{
public:
    OrderSender(Clock &clock, endpoint::EndpointOrders &orders, leases::LeaseKeeper &lease,
                DecisionSink &decisions, const ManagerSettings &settings);

    /// \brief Sends \p order unless the lease, the quiet period, the resend interval or an order in
    /// flight prevents it.
    /// \param target the VM to send it to.
    /// \param order the order; send() sets its identifier, VM and fencing token.
    /// \returns true if the order was sent.
    bool send(const OrderTarget &target, endpoint::EndpointOrder order);

    /// \brief Requests the state of a VM, unless a probe of it is in flight.
    void probe(const OrderTarget &target);

    /// \brief Latest reply of \p vm, or null.
    [[nodiscard]] const DirectReply *latestReply(const VmId &vm) const;

    /// \brief Discards all state, at the start or end of a tenure.
    void clear();

    [[nodiscard]] std::uint64_t sentOrders() const { return sentOrders_; }

private:
    struct VmChannel
    {
        DirectReply reply_;
        bool hasReply_ = false;
        bool isOrderInFlight_ = false;
        bool isProbeInFlight_ = false;
        std::string lastOrderKey_;
        TimePoint lastSentAt_{};
        std::uint32_t refusals_
            = 0; ///< Part of the order identifier, so that a retry is a new order.
    };

    [[nodiscard]] bool canSend(const OrderTarget &target) const;
    [[nodiscard]] std::string orderKey(const endpoint::EndpointOrder &order,
                                       const OrderTarget &target) const;
    void handleReply(const VmId &vm, TimePoint askedAt,
                     const Result<endpoint::EndpointState> &result);
    void recordRefusal(const VmId &vm, const EndpointRefused &refusal);

    Clock &clock_;
    endpoint::EndpointOrders &orders_;
    leases::LeaseKeeper &lease_;
    DecisionSink &decisions_;
    const ManagerSettings &settings_;
    std::map<VmId, VmChannel> channels_;
    std::uint64_t sentOrders_ = 0;
    std::shared_ptr<bool> tenure_
        = std::make_shared<bool>(true); ///< Reply handlers hold a weak pointer to it.
};

} // namespace cardamombay::groups::impl
