/// \file
/// \brief Probes and orders over HTTP, as docs/ENDPOINTS.md publishes them.
/// \details Decides only which error an answer stands for: refused by the endpoint, no byte left,
/// or unknown. It never repeats an order and does not check leases.
#pragma once

#include <cardamombay/core/time.hpp>
#include <cardamombay/endpoint/endpoint_orders.hpp>
#include <cardamombay/net/http_client.hpp>

namespace cardamombay::endpoint {

/// \brief Time allowed for exchanges with endpoint VMs.
struct EndpointTimeouts
{
    Duration probe_ = std::chrono::seconds(1);
    /// The planner counts on it: an order is in flight no longer than this.
    Duration order_ = std::chrono::seconds(2);
};

/// \brief EndpointOrders over an HTTP client.
/// \details Every message is sent once. Which error stands for "nothing carried out" is decided
/// here alone: EndpointUnreachable if no byte can have left, EndpointRefused if the endpoint says
/// so with the header X-Not-Run or one of the published reasons. All else leaves the effect
/// unknown: TimedOut if no answer came, MalformedMessage if one came that the protocol does not
/// know.
/// \code
/// HttpEndpointOrders orders(client);
/// orders.probe(vm, address, [](Result<EndpointState> state) { watch(state); });
/// \endcode
class HttpEndpointOrders final : public EndpointOrders
{
public:
    explicit HttpEndpointOrders(net::HttpClient &client, EndpointTimeouts timeouts = {})
        : client_(client)
        , timeouts_(timeouts)
    {
    }

    void probe(VmId vm, Address address, Callback<EndpointState> done) override;
    void send(Address address, EndpointOrder order, Callback<EndpointState> done) override;

private:
    net::HttpClient &client_;
    EndpointTimeouts timeouts_;
};

} // namespace cardamombay::endpoint
