#include <cardamombay/endpoint/http_endpoint_orders.hpp>

#include <cardamombay/endpoint/endpoint_codec.hpp>
#include <cardamombay/net/http_status.hpp>

#include <utility>

namespace cardamombay::endpoint {

namespace {

bool isPublishedReason(std::string_view reason)
{
    return reason == "stale-fencing" || reason == "busy" || reason == "wrong-generation";
}

Error failureError(const VmId &vm, const char *operation, Duration timeout,
                   const net::HttpFailure &failure)
{
    if (!failure.mayHaveLeft_)
        return EndpointUnreachable{vm, failure.detail_};
    return TimedOut{std::string(operation) + " at " + vm.text(), timeout};
}

Error statusError(const VmId &vm, const net::HttpResponse &response)
{
    const std::string reason = decodeRefusal(response.body_);
    const bool saysNotRun
        = response.field("X-Not-Run") == "true"
          || (response.status_ == net::statusConflict && isPublishedReason(reason));
    if (saysNotRun)
        return EndpointRefused{vm, response.status_, reason};
    return MalformedMessage{vm.text(), "status " + std::to_string(response.status_)
                                           + " without the header X-Not-Run"};
}

Result<EndpointState> readAnswer(const VmId &vm, const net::HttpResponse &response)
{
    if (response.status_ != net::statusOk)
        return statusError(vm, response);
    auto state = decodeState(vm.text(), response.body_);
    // An address can pass to another VM; its answer must not count for this one.
    if (isOk(state) && valueOf(state).vm_ != vm)
        return Error(MalformedMessage{vm.text(), "answer of VM " + valueOf(state).vm_.text()});
    return state;
}

} // namespace

void HttpEndpointOrders::probe(VmId vm, Address address, Callback<EndpointState> done)
{
    net::HttpRequest request;
    request.address_ = std::move(address);
    request.target_ = "/v1/state";
    request.timeout_ = timeouts_.probe_;
    auto receive = [vm = std::move(vm), timeout = timeouts_.probe_,
                    done = std::move(done)](net::HttpResult result) {
        if (const auto *failure = std::get_if<net::HttpFailure>(&result))
            done(failureError(vm, "probe", timeout, *failure));
        else
            done(readAnswer(vm, std::get<net::HttpResponse>(result)));
    };
    client_.send(std::move(request), std::move(receive));
}

void HttpEndpointOrders::send(Address address, EndpointOrder order, Callback<EndpointState> done)
{
    net::HttpRequest request;
    request.address_ = std::move(address);
    request.method_ = "POST";
    request.target_ = "/v1/orders";
    request.fields_ = {{"Content-Type", "application/json"}};
    request.body_ = encodeOrder(order);
    request.timeout_ = timeouts_.order_;
    auto receive = [vm = order.vm_, timeout = timeouts_.order_,
                    done = std::move(done)](net::HttpResult result) {
        if (const auto *failure = std::get_if<net::HttpFailure>(&result))
            done(failureError(vm, "order", timeout, *failure));
        else
            done(readAnswer(vm, std::get<net::HttpResponse>(result)));
    };
    client_.send(std::move(request), std::move(receive));
}

} // namespace cardamombay::endpoint
