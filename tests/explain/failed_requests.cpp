// From the id of a failed request to its cause, by the lines that a gateway writes: what
// docs/OPERATIONS.md tells on-call engineers to look for.
#include "support/log_trail.hpp"

#include <criterion/criterion.h>

using namespace cardamombay;
using namespace cardamombay::test;

Test(explain, request_that_found_no_room_leads_to_the_groups_that_are_missing)
{
    const Deployment deployment;
    const Trail trail(deployment);
    for (const auto *domain : {"0", "1"}) {
        silenceAll(deployment, domain);
        for (int engine = 0; engine < 6; ++engine)
            deployment.tell("expire/e-" + std::string(domain) + "-" + std::to_string(engine));
    }
    const bool areGone = support::waitUntil(
        [&] { return deployment.logLinesContaining(0, "event=endpoint-gone").size() >= 12; });
    cr_assert(areGone);
    cr_assert_eq(deployment.stream(0, "lost-1").status_, 503);
    const auto finished = trail.line("request-finished", "request=lost-1 ");
    cr_assert_eq(valueIn(finished, "outcome"), "refused");
    cr_assert_eq(valueIn(finished, "reason"), "no room in time");
    cr_assert_eq(valueIn(finished, "may-have-run"), "0");
    cr_assert_neq(valueIn(finished, "config"), "");
    cr_assert_neq(valueIn(finished, "config-age-ms"), "");
    const auto capacity
        = trail.line("group-capacity", "model=" + valueIn(finished, "model") + " open=0");
    cr_assert_eq(valueIn(capacity, "engines"), "0");
}

Test(explain, unknown_outcome_leads_to_the_endpoint_that_did_not_answer)
{
    const Deployment deployment;
    const Trail trail(deployment);
    deployment.tell("silence/p-0");
    deployment.tell("silence/p-1");
    cr_assert_eq(deployment.call(0, "/once/1", "open-1").status_, 504);
    const auto finished = trail.line("request-finished", "request=open-1 ");
    cr_assert_eq(valueIn(finished, "outcome"), "unknown");
    cr_assert_eq(valueIn(finished, "reason"), "time-out");
    cr_assert_eq(valueIn(finished, "may-have-run"), "1");
    cr_assert(valueIn(finished, "endpoint").starts_with("p-"));
}

Test(explain, request_refused_at_a_limit_leads_to_the_endpoints_that_named_it)
{
    const Deployment deployment;
    const Trail trail(deployment);
    deployment.tell("limit/p-0", "0.1");
    deployment.tell("limit/p-1", "0.1");
    for (int i = 0; i < 4; ++i)
        (void)deployment.call(0, "/once/1", "before-" + std::to_string(i));
    std::string refused;
    for (int i = 0; i < 8 && refused.empty(); ++i) {
        const auto id = "limit-" + std::to_string(i);
        if (deployment.call(0, "/once/1", id).status_ == 503)
            refused = id;
    }
    cr_assert_neq(refused, "");
    const auto finished = trail.line("request-finished", "request=" + refused + " ");
    cr_assert_eq(valueIn(finished, "outcome"), "refused");
    cr_assert_eq(valueIn(finished, "reason"), "all endpoints have reached their limits");
    cr_assert_eq(valueIn(finished, "may-have-run"), "0");
    for (const auto *endpoint : {"p-0@1", "p-1@1"}) {
        const auto limited = trail.line("endpoint-limited", "endpoint=" + std::string(endpoint));
        cr_assert_eq(valueIn(limited, "per-second"), "0.1");
    }
    const auto served = trail.line("request-finished", "limit-per-second=0.1");
    cr_assert_eq(valueIn(served, "reserved"), "yes");
}

Test(explain, request_refused_in_a_cooldown_leads_to_the_endpoints_that_asked_for_it)
{
    const Deployment deployment;
    const Trail trail(deployment);
    deployment.tell("cooldown/p-0", "30");
    deployment.tell("cooldown/p-1", "30");
    (void)deployment.call(0, "/once/1", "cool-1");
    const auto failed = trail.line("attempt-failed", "request=cool-1 ");
    cr_assert_neq(valueIn(failed, "cooldown-left-ms"), "");
    const auto finished = trail.line("request-finished", "request=cool-1 ");
    cr_assert_eq(valueIn(finished, "reason"), "all endpoints ask to be left alone");
    cr_assert_eq(valueIn(finished, "may-have-run"), "0");
    cr_assert_geq(std::stoi(valueIn(finished, "come-back-ms")), 29000);
    for (const auto *endpoint : {"p-0@1", "p-1@1"}) {
        const auto cooldown = trail.line("endpoint-cooldown", "endpoint=" + std::string(endpoint));
        cr_assert_geq(std::stoi(valueIn(cooldown, "for-ms")), 29000);
    }
}
