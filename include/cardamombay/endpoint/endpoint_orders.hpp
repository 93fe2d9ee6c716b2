/// \file
/// \brief Probing endpoint VMs and giving them orders.
/// \details The seam through which all orders leave. Implementations decide nothing: whether an
/// order may be sent is decided, and the lease checked, by the caller right before.
#pragma once

#include <cardamombay/core/address.hpp>
#include <cardamombay/core/result.hpp>
#include <cardamombay/endpoint/endpoint_state.hpp>

namespace cardamombay::endpoint {

/// \brief Control link to endpoint VMs. Answers arrive on the control thread, never inline.
/// \details Errors: EndpointUnreachable (no byte left), EndpointRefused (nothing carried out),
/// TimedOut (unknown), MalformedMessage.
class EndpointOrders
{
public:
    EndpointOrders() = default;
    EndpointOrders(const EndpointOrders &) = delete;
    EndpointOrders &operator=(const EndpointOrders &) = delete;
    virtual ~EndpointOrders() = default;

    /// \brief Reads the state of the endpoint at \p address.
    virtual void probe(VmId vm, Address address, Callback<EndpointState> done) = 0;

    /// \brief Gives an order and returns the state after it was taken.
    virtual void send(Address address, EndpointOrder order, Callback<EndpointState> done) = 0;
};

} // namespace cardamombay::endpoint
