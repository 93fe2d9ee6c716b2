// Real gateways before a stand-in of the users' platform: different requests with a deadly part.
#include "support/fleet_platform_deployment.hpp"

#include <criterion/criterion.h>

using namespace cardamombay;
using namespace cardamombay::test;

Test(prompt_parts_deployment, different_requests_with_a_deadly_part_are_refused_by_all_gateways)
{
    Deployment deployment;
    for (int i = 0; i < 12; ++i) {
        const auto gateway = static_cast<std::size_t>(i) % Deployment::gatewayCount;
        (void)deployment.streamWithParts(gateway, "deadly-" + std::to_string(i),
                                         "a:40,dead:90,f" + std::to_string(i) + ":10");
    }
    const auto crashes = deployment.report().crashes_;
    cr_assert_geq(crashes, 2);
    cr_assert_leq(crashes, 5);
    for (std::size_t number = 0; number < Deployment::gatewayCount; ++number) {
        const auto id = "refused-" + std::to_string(number);
        const auto refused = deployment.streamWithParts(number, id, "a:40,dead:90,e:10");
        cr_assert_eq(refused.status_, 503);
        cr_assert_neq(refused.body_.find("ends the endpoints"), std::string::npos);
        const auto sound = deployment.streamWithParts(number, "sound-" + std::to_string(number),
                                                      "a:40,b:90,e:10");
        cr_assert_eq(sound.body_.find("ends the endpoints"), std::string::npos);
        cr_assert_not(
            deployment.logLinesContaining(number, "event=request-quarantined fingerprint=part-dead")
                .empty());
    }
    cr_assert_eq(deployment.report().crashes_, crashes);
}
