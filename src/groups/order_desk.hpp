/// \file
/// \brief Sends orders under the planner lease and keeps the answers.
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

/// \brief An endpoint VM as far as orders to it go.
struct OrderTarget
{
    VmId vm_;
    Address address_;
    Incarnation incarnation_;   ///< As last reported.
    bool checksFencing_ = true; ///< It refuses orders with an old fencing number.
};

/// \brief State that a VM itself gave in answer to an order or a probe.
struct OwnAnswer
{
    endpoint::EndpointState state_;
    TimePoint askedAt_{};
};

/// \brief Sends each order at most once at a time, and again until its effect is seen.
class OrderDesk
{
public:
    OrderDesk(Clock &clock, endpoint::EndpointOrders &orders, leases::LeaseKeeper &lease,
              DecisionSink &decisions, const ManagerSettings &settings);

    /// \brief Sends \p order unless the lease, the quiet period or an order under way forbids it.
    /// \param target where it goes.
    /// \param order the order; identifier, VM and fencing number are filled in here.
    /// \returns true if the order was sent.
    bool send(const OrderTarget &target, endpoint::EndpointOrder order);

    /// \brief Asks a VM for its state.
    void probe(const OrderTarget &target);

    /// \brief Latest answer of \p vm, or null.
    [[nodiscard]] const OwnAnswer *answer(const VmId &vm) const;

    /// \brief Forgets everything, as at the begin of a tenure.
    void clear();

    [[nodiscard]] std::uint64_t sentOrders() const { return sentOrders_; }

private:
    struct Line
    {
        OwnAnswer answer_;
        bool hasAnswer_ = false;
        bool isOrderUnderWay_ = false;
        bool isProbeUnderWay_ = false;
        std::string lastOrder_;
        TimePoint lastSentAt_{};
        std::uint32_t refusals_ = 0; ///< Makes the next try a new order.
    };

    [[nodiscard]] bool mayOrder(const OrderTarget &target) const;
    [[nodiscard]] std::string subjectOf(const endpoint::EndpointOrder &order,
                                        const OrderTarget &target) const;
    void take(const VmId &vm, TimePoint askedAt, const Result<endpoint::EndpointState> &result);
    void noteRefusal(const VmId &vm, const EndpointRefused &refusal);

    Clock &clock_;
    endpoint::EndpointOrders &orders_;
    leases::LeaseKeeper &lease_;
    DecisionSink &decisions_;
    const ManagerSettings &settings_;
    std::map<VmId, Line> lines_;
    std::uint64_t sentOrders_ = 0;
    std::shared_ptr<bool> tenure_ = std::make_shared<bool>(true); ///< Answers hold it weakly.
};

} // namespace cardamombay::groups::impl
