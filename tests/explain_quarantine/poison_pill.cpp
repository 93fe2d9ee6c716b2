// Whether the log leads on from a quarantined request to the endpoints that ended under it.
#include "support/log_trail.hpp"

#include <criterion/criterion.h>

using namespace cardamombay;
using namespace cardamombay::test;

Test(explain_quarantine, poison_pill_leads_to_the_endpoints_that_ended_under_it)
{
    const Deployment deployment;
    const Trail trail(deployment);
    const auto send = [&](std::size_t gateway, const std::string &id) {
        return deployment.stream(gateway, id, "m", "key-a", "/stream/pill").status_;
    };
    for (int i = 0; i < 8; ++i)
        (void)send(static_cast<std::size_t>(i) % Deployment::gatewayCount,
                   "pill-" + std::to_string(i));
    cr_assert_eq(send(0, "pill-last"), 503);
    const auto finished = trail.line("request-finished", "request=pill-last ");
    cr_assert_eq(valueIn(finished, "outcome"), "refused");
    const auto fingerprint = valueIn(finished, "fingerprint");
    const auto verdict = trail.line("request-quarantined", "fingerprint=" + fingerprint + " ");
    const auto endpoints = valueIn(verdict, "endpoints");
    const auto first = endpoints.substr(0, endpoints.find(','));
    const auto crash = trail.line("endpoint-crashed", "endpoint=" + first + " ");
    cr_assert_neq(valueIn(crash, "without-events").find(fingerprint), std::string::npos);
}
