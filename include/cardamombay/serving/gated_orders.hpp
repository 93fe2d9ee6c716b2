/// \file
/// \brief Withholds orders and state queries from engines in a cooldown.
/// \details Applies endpoint cooldowns to control traffic, that is, to everything except callers'
/// requests. A draining engine still receives orders, for example to close its group.
#pragma once

#include <cardamombay/core/clock.hpp>
#include <cardamombay/serving/endpoint_notices.hpp>
#include <cardamombay/serving/replica_orders.hpp>

namespace cardamombay::serving {

/// \brief Forwards orders and queries unless the engine is in a cooldown.
/// \code
/// GatedOrders gated(clock, orders, gateway.notices());
/// gated.send(engine, order, fence, done); // OrderAnswer::Withheld during a cooldown
/// \endcode
class GatedOrders final : public ReplicaOrders
{
public:
    /// \param orders receives the forwarded calls; its notice handler is replaced by one that feeds
    /// \p notices. All arguments must outlive this object.
    GatedOrders(Clock &clock, ReplicaOrders &orders, EndpointNotices &notices);

    /// \param done receives OrderAnswer::Withheld if nothing was sent.
    void send(const Endpoint &engine, const Order &order, std::uint64_t fence,
              Callback<OrderAnswer> done) override;
    /// \param done receives EndpointCoolingDown if nothing was sent.
    void state(const Endpoint &engine, Callback<Endpoint> done) override;

private:
    /// \brief Remaining cooldown of the engine, if any; counts the send as withheld.
    [[nodiscard]] std::optional<Duration> withheldFor(const Endpoint &engine);

    Clock &clock_;
    ReplicaOrders &orders_;
    EndpointNotices &notices_;
};

} // namespace cardamombay::serving
