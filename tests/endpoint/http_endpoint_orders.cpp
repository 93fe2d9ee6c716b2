#include <cardamombay/endpoint/endpoint_codec.hpp>
#include <cardamombay/endpoint/http_endpoint_orders.hpp>

#include <optional>

#include <criterion/criterion.h>

using namespace cardamombay;
using namespace cardamombay::endpoint;

namespace {

const VmId vm{"vm-1"};
const Address address{"10.0.0.1", 9000};

/// Gives one prepared result to every request.
class ScriptedClient final : public net::HttpClient
{
public:
    void send(net::HttpRequest request, std::function<void(net::HttpResult)> done) override
    {
        requests_.push_back(std::move(request));
        done(result_);
    }

    net::HttpResult result_;
    std::vector<net::HttpRequest> requests_;
};

struct Fixture
{
    ScriptedClient client_;
    HttpEndpointOrders orders_{client_};

    Result<EndpointState> orderWith(net::HttpResult result)
    {
        client_.result_ = std::move(result);
        EndpointOrder order;
        order.id_ = OrderId{"o-1"};
        order.vm_ = vm;
        std::optional<Result<EndpointState>> answer;
        orders_.send(address, order, [&](auto given) { answer = std::move(given); });
        return *answer;
    }

    Result<EndpointState> probeWith(net::HttpResult result)
    {
        client_.result_ = std::move(result);
        std::optional<Result<EndpointState>> answer;
        orders_.probe(vm, address, [&](auto given) { answer = std::move(given); });
        return *answer;
    }
};

net::HttpResponse response(std::uint32_t status, std::string body)
{
    return {status, {}, std::move(body)};
}

std::string stateOf(const VmId &id)
{
    EndpointState state;
    state.vm_ = id;
    state.incarnation_ = Incarnation{3};
    return encodeState(state);
}

} // namespace

Test(http_endpoint_orders, order_is_posted_once_and_gives_the_new_state)
{
    Fixture fixture;

    const auto state = fixture.orderWith(response(200, stateOf(vm)));

    cr_assert(isOk(state) && valueOf(state).incarnation_ == Incarnation{3});
    cr_assert_eq(fixture.client_.requests_.size(), 1);
    const auto &sent = fixture.client_.requests_[0];
    cr_assert(sent.method_ == "POST" && sent.target_ == "/v1/orders");
    cr_assert(valueOf(decodeOrder("", sent.body_)).id_ == OrderId{"o-1"});
}

Test(http_endpoint_orders, failure_before_the_first_byte_is_unreachable)
{
    Fixture fixture;
    const net::HttpFailure failure{false, false, "connection refused"};

    cr_assert(isError<EndpointUnreachable>(fixture.orderWith(failure)));
    cr_assert(isError<EndpointUnreachable>(fixture.probeWith(failure)));
}

Test(http_endpoint_orders, failure_after_the_first_byte_leaves_the_effect_unknown)
{
    Fixture fixture;

    cr_assert(isError<TimedOut>(fixture.orderWith(net::HttpFailure{true, true, "timeout"})));
    cr_assert(isError<TimedOut>(fixture.orderWith(net::HttpFailure{true, false, "reset"})));
}

Test(http_endpoint_orders, refusal_is_believed_only_if_the_endpoint_says_so)
{
    Fixture fixture;
    auto marked = response(503, "{}");
    marked.fields_ = {{"X-Not-Run", "true"}};

    const auto stale = fixture.orderWith(response(409, encodeRefusal("stale-fencing")));
    cr_assert(isError<EndpointRefused>(stale));
    cr_assert(std::get<EndpointRefused>(errorOf(stale)).reason_ == "stale-fencing");
    cr_assert(isError<EndpointRefused>(fixture.orderWith(marked)));
    cr_assert(isError<MalformedMessage>(fixture.orderWith(response(503, "{}"))));
    cr_assert(isError<MalformedMessage>(fixture.orderWith(response(409, "<html>"))));
}

Test(http_endpoint_orders, answer_of_another_vm_at_the_address_does_not_count)
{
    Fixture fixture;

    const auto state = fixture.probeWith(response(200, stateOf(VmId{"vm-2"})));

    cr_assert(isError<MalformedMessage>(state));
}
