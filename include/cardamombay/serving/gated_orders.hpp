/// \file
/// \brief Orders and questions that leave an engine alone while it wants nothing.
/// \details The gate of what is not a caller's request. An engine that leaves still takes orders:
/// to close its group is one of them.
#pragma once

#include <cardamombay/core/clock.hpp>
#include <cardamombay/serving/endpoint_notices.hpp>
#include <cardamombay/serving/replica_orders.hpp>

namespace cardamombay::serving {

/// \brief Passes on what may be sent, and answers for the rest.
/// \code
/// GatedOrders gated(clock, orders, gateway.notices());
/// gated.send(engine, order, fence, done); // OrderAnswer::Withheld in a cooldown
/// \endcode
class GatedOrders final : public ReplicaOrders
{
public:
    /// \param orders its notices are taken here; outlives this, as \p clock and \p notices do.
    GatedOrders(Clock &clock, ReplicaOrders &orders, EndpointNotices &notices);

    /// \param done gets OrderAnswer::Withheld if nothing was sent.
    void send(const Endpoint &engine, const Order &order, std::uint64_t fence,
              Callback<OrderAnswer> done) override;
    /// \param done gets EndpointCoolingDown if nothing was sent.
    void state(const Endpoint &engine, Callback<Endpoint> done) override;

private:
    /// \brief The rest of the engine's cooldown; a send that it forbids is counted.
    [[nodiscard]] std::optional<Duration> withheldFor(const Endpoint &engine);

    Clock &clock_;
    ReplicaOrders &orders_;
    EndpointNotices &notices_;
};

} // namespace cardamombay::serving
