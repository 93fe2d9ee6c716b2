#include <cardamombay/endpoint/endpoint_codec.hpp>

#include <criterion/criterion.h>

using namespace cardamombay;
using namespace cardamombay::endpoint;

namespace {

EndpointState loadedState()
{
    EndpointState state;
    state.vm_ = VmId{"vm-1"};
    state.incarnation_ = Incarnation{7};
    state.phase_ = EnginePhase::Draining;
    state.assignment_ = Assignment{GroupId{"lm/a/0"}, Generation{4}, 3};
    state.model_ = {ModelName{"m"}, ModelVersion{"2"}, {"it", "ar"}};
    state.highestFencing_ = Epoch{9};
    state.load_ = {5, 2, 0.25, std::chrono::milliseconds(40)};
    return state;
}

} // namespace

Test(endpoint_codec, state_survives_the_wire)
{
    const auto state = loadedState();

    const auto decoded = decodeState("vm-1", encodeState(state));

    cr_assert(isOk(decoded) && valueOf(decoded) == state);
}

Test(endpoint_codec, order_survives_the_wire)
{
    EndpointOrder order;
    order.id_ = OrderId{"o-1"};
    order.kind_ = OrderKind::Release;
    order.vm_ = VmId{"vm-1"};
    order.fencing_ = Epoch{12};
    order.assignment_ = {GroupId{"lm/a/0"}, Generation{4}, 1};
    order.model_ = {ModelName{"m"}, ModelVersion{"2"}, {"it"}};
    order.role_ = GroupRole::Decode;
    order.members_ = {VmId{"vm-2"}, VmId{"vm-1"}};

    const auto decoded = decodeOrder("vm-1", encodeOrder(order));

    cr_assert(isOk(decoded));
    cr_assert(encodeOrder(valueOf(decoded)) == encodeOrder(order));
    cr_assert(valueOf(decoded).members_ == order.members_);
    cr_assert(valueOf(decoded).kind_ == OrderKind::Release);
}

Test(endpoint_codec, malformed_states_name_the_field)
{
    const std::string good = encodeState(loadedState());
    const auto with = [&](std::string_view from, std::string_view to) {
        std::string body = good;
        body.replace(body.find(from), from.size(), to);
        return decodeState("vm-1", body);
    };

    for (const auto &result : {with("\"draining\"", "\"asleep\""), with(":7,", ":-7,"),
                               with("\"highest_fencing\"", "\"fence\""), with("{", "["),
                               with("\"lag_ms\":40", "\"lag_ms\":1e400"), decodeState("vm-1", "")})
        cr_assert(isError<MalformedMessage>(result));
}

Test(endpoint_codec, refusal_without_reason_reads_as_empty)
{
    cr_assert(decodeRefusal(encodeRefusal("busy")) == "busy");
    cr_assert(decodeRefusal("[]").empty());
    cr_assert(decodeRefusal("{\"reason\":1}").empty());
    cr_assert(decodeRefusal("<html>").empty());
}
