// Tests which requests are rejected immediately because no group could serve them.
#include "support/gateway_fixture.hpp"

#include <cardamombay/serving/servable.hpp>

#include <criterion/criterion.h>

using namespace cardamombay;
using namespace cardamombay::serving;
using namespace cardamombay::support;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

const Service &engines()
{
    static const auto configuration = gatewayConfiguration();
    return configuration.services_.front();
}

RequestNeeds demand()
{
    return {ModelName("m"), 500, seconds(5)};
}

} // namespace

Test(servable, usual_request_may_be_served)
{
    cr_assert_not(unservableReason(engines(), demand()));
}

Test(servable, model_that_the_service_does_not_have_is_not_servable)
{
    auto other = demand();
    other.model_ = ModelName("other");
    cr_assert(unservableReason(engines(), other));
}

Test(servable, prompt_beyond_the_memory_of_a_group_is_not_servable)
{
    auto service = engines();
    service.engine_->kvCacheTokens_ = 499;
    cr_assert(unservableReason(service, demand()));
    service.engine_->kvCacheTokens_ = 500;
    cr_assert_not(unservableReason(service, demand()));
}

Test(servable, time_below_that_of_an_idle_group_is_not_enough)
{
    auto late = demand();
    late.promptTokens_ = 50000; // One second of prefill.
    late.timeLeft_ = milliseconds(1000);
    cr_assert(unservableReason(engines(), late));
    late.timeLeft_ = milliseconds(1100);
    cr_assert_not(unservableReason(engines(), late));
}

Test(servable, plain_service_serves_everything)
{
    cr_assert_not(unservableReason(Service{}, {}));
}

Test(servable, request_for_an_unknown_model_is_rejected_at_its_arrival)
{
    GatewayFixture fixture;
    fixture.addGroup("g");
    const auto caller = fixture.ask("/stream/7", "other");
    cr_assert_eq(caller->status(), 503);
    cr_assert(fixture.upstream_.calls_.empty());
}

Test(servable, held_request_is_rejected_when_its_time_gets_too_short)
{
    GatewayFixture fixture;
    auto configuration = gatewayConfiguration();
    configuration.version_ = ConfigVersion(4);
    for (auto &route : configuration.routes_)
        route.timeout_ = milliseconds(400);
    // Prefilling 500 tokens takes 250 ms.
    for (auto &service : configuration.services_) {
        if (service.engine_)
            service.engine_->prefillTokensPerSecond_ = 2000;
    }
    fixture.gateway_.setRoutes(std::make_shared<RouteTable>(configuration));
    const auto caller = fixture.ask("/stream/7");
    fixture.pass(milliseconds(80));
    cr_assert_not(caller->answer_);
    fixture.pass(milliseconds(80));
    cr_assert_eq(caller->status(), 503);
}
