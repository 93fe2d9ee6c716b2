// Tests the answers to callers of a quarantined request in each state of the request.
#include "support/gateway_fixture.hpp"

#include <criterion/criterion.h>

using namespace cardamombay;
using namespace cardamombay::serving;
using namespace cardamombay::support;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

constexpr auto path = "/stream/7";
constexpr auto event = "id: 1\ndata: x\n\n";

/// Fingerprint that the gateway computes for a request of team A for the path.
RequestFingerprint fingerprint()
{
    return fingerprintOf({"POST", "h", path, TeamName("team-a"), ""});
}

/// Reports the crash of three endpoints during the request, as seen by other entry VMs.
void quarantine(GatewayFixture &fixture)
{
    PoisonUpdate update;
    for (int i = 0; i < 3; ++i)
        update.crashes_[{VmId("gone-" + std::to_string(i)), 1}] = {{fingerprint(), false}};
    fixture.gateway_.takePoisonUpdate(update);
}

} // namespace

Test(quarantined_sessions, new_request_is_refused_with_the_time_until_it_may_come_back)
{
    GatewayFixture fixture;
    fixture.addGroup("head-1");
    quarantine(fixture);
    fixture.pass(seconds(10));
    const auto caller = fixture.ask(path);
    cr_assert_eq(caller->status(), 503);
    cr_assert_eq(caller->answer_->field("come-back"), "590000");
    cr_assert(fixture.upstream_.calls_.empty());
}

Test(quarantined_sessions, others_of_the_same_team_and_path_prefix_are_served)
{
    GatewayFixture fixture;
    fixture.addGroup("head-1");
    quarantine(fixture);
    (void)fixture.ask("/stream/8");
    (void)fixture.ask(path, "m", "key-b");
    cr_assert_eq(fixture.upstream_.calls_.size(), 2);
}

Test(quarantined_sessions, held_request_has_not_run_and_is_refused_at_once)
{
    GatewayFixture fixture;
    const auto caller = fixture.ask(path);
    cr_assert_not(caller->answer_);
    quarantine(fixture);
    cr_assert_eq(caller->status(), 503);
    fixture.addGroup("head-1");
    fixture.pass(milliseconds(100));
    cr_assert(fixture.upstream_.calls_.empty());
}

Test(quarantined_sessions, request_that_waits_at_an_endpoint_is_taken_back_and_may_have_run)
{
    GatewayFixture fixture;
    fixture.addGroup("head-1");
    fixture.addGroup("head-2");
    const auto caller = fixture.ask(path);
    fixture.lastCall()->connect();
    quarantine(fixture);
    cr_assert(fixture.lastCall()->isDropped());
    cr_assert_eq(caller->status(), 502);
    cr_assert_eq(fixture.upstream_.calls_.size(), 1);
}

Test(quarantined_sessions, answer_that_has_begun_goes_on_and_clears_the_request)
{
    GatewayFixture fixture;
    fixture.addGroup("head-1");
    const auto caller = fixture.ask(path);
    fixture.lastCall()->connect();
    fixture.lastCall()->sealedHead();
    fixture.lastCall()->data(event);
    quarantine(fixture);
    cr_assert_not(fixture.lastCall()->isDropped());
    fixture.lastCall()->end("");
    cr_assert(caller->isFinished_);
    cr_assert_not(
        fixture.gateway_.poisonPills().quarantinedFor(fingerprint(), fixture.clock_.now()));
}

Test(quarantined_sessions, answer_that_has_begun_and_breaks_goes_nowhere_else)
{
    GatewayFixture fixture;
    fixture.addGroup("head-1");
    fixture.addGroup("head-2");
    const auto caller = fixture.ask(path);
    fixture.lastCall()->connect();
    fixture.lastCall()->sealedHead();
    fixture.lastCall()->data(event);
    quarantine(fixture);
    fixture.lastCall()->fail(true);
    cr_assert_eq(fixture.upstream_.calls_.size(), 1);
    cr_assert(caller->isAborted_);
}

Test(quarantined_sessions, plain_request_that_crashes_endpoints_is_quarantined_too)
{
    GatewayFixture fixture;
    std::size_t sends = 0;
    for (int i = 0; i < 8; ++i) {
        auto again = *fixture.endpointRegistry_.find(VmId("p-0"));
        again.startedAt_ = static_cast<std::uint64_t>(i + 1);
        fixture.endpointRegistry_.put(again);
        const auto before = fixture.upstream_.calls_.size();
        (void)fixture.ask("/once/7");
        for (std::size_t call = before; call < fixture.upstream_.calls_.size(); ++call) {
            ++sends;
            fixture.upstream_.ended_.insert(fixture.upstream_.calls_[call]->request_.address_);
            fixture.upstream_.calls_[call]->connect();
            fixture.upstream_.calls_[call]->fail(true);
        }
        fixture.pass(seconds(6));
    }
    cr_assert_eq(sends, 3);
}

/// All entry VMs select the same endpoint for a suspect, so that its copies crash one endpoint
/// instead of several.
Test(quarantined_sessions, suspect_goes_to_the_same_endpoint_from_every_entry_vm)
{
    std::set<std::string> chosen;
    for (int entry = 0; entry < 5; ++entry) {
        GatewayFixture fixture;
        for (int i = 0; i < 8; ++i)
            fixture.addGroup("head-" + std::to_string(i));
        PoisonUpdate update;
        update.crashes_[{VmId("gone"), 1}] = {{fingerprint(), false}};
        fixture.gateway_.takePoisonUpdate(update);
        // Each entry VM has a different load.
        for (int i = 0; i < entry; ++i)
            (void)fixture.ask("/stream/other-" + std::to_string(i));
        (void)fixture.ask(path);
        chosen.insert(fixture.lastCall()->field("endpoint"));
    }
    cr_assert_eq(chosen.size(), 1);
}
