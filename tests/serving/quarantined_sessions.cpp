// What the callers of a quarantined request are told, wherever their request is at that moment.
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

/// As the gateway sees a request of team A for the path.
RequestFingerprint fingerprint()
{
    return fingerprintOf({"POST", "h", path, TeamName("team-a"), ""});
}

/// Three endpoints end under the request at other entry VMs.
void quarantine(GatewayFixture &bench)
{
    PoisonNews news;
    for (int i = 0; i < 3; ++i)
        news.crashes_[{VmId("gone-" + std::to_string(i)), 1}] = {{fingerprint(), false}};
    bench.gateway_.takePoisonNews(news);
}

} // namespace

Test(quarantined_sessions, new_request_is_refused_with_the_time_until_it_may_come_back)
{
    GatewayFixture bench;
    bench.addGroup("head-1");
    quarantine(bench);
    bench.pass(seconds(10));
    const auto caller = bench.ask(path);
    cr_assert_eq(caller->status(), 503);
    cr_assert_eq(caller->answer_->field("come-back"), "590000");
    cr_assert(bench.upstream_.calls_.empty());
}

Test(quarantined_sessions, others_of_the_same_team_and_path_prefix_are_served)
{
    GatewayFixture bench;
    bench.addGroup("head-1");
    quarantine(bench);
    (void)bench.ask("/stream/8");
    (void)bench.ask(path, "m", "key-b");
    cr_assert_eq(bench.upstream_.calls_.size(), 2);
}

Test(quarantined_sessions, held_request_has_not_run_and_is_refused_at_once)
{
    GatewayFixture bench;
    const auto caller = bench.ask(path);
    cr_assert_not(caller->answer_);
    quarantine(bench);
    cr_assert_eq(caller->status(), 503);
    bench.addGroup("head-1");
    bench.pass(milliseconds(100));
    cr_assert(bench.upstream_.calls_.empty());
}

Test(quarantined_sessions, request_that_waits_at_an_endpoint_is_taken_back_and_may_have_run)
{
    GatewayFixture bench;
    bench.addGroup("head-1");
    bench.addGroup("head-2");
    const auto caller = bench.ask(path);
    bench.lastCall()->connect();
    quarantine(bench);
    cr_assert(bench.lastCall()->isDropped());
    cr_assert_eq(caller->status(), 502);
    cr_assert_eq(bench.upstream_.calls_.size(), 1);
}

Test(quarantined_sessions, answer_that_has_begun_goes_on_and_clears_the_request)
{
    GatewayFixture bench;
    bench.addGroup("head-1");
    const auto caller = bench.ask(path);
    bench.lastCall()->connect();
    bench.lastCall()->sealedHead();
    bench.lastCall()->data(event);
    quarantine(bench);
    cr_assert_not(bench.lastCall()->isDropped());
    bench.lastCall()->end("");
    cr_assert(caller->isFinished_);
    cr_assert_not(bench.gateway_.poisonPills().quarantinedFor(fingerprint(), bench.clock_.now()));
}

Test(quarantined_sessions, answer_that_has_begun_and_breaks_goes_nowhere_else)
{
    GatewayFixture bench;
    bench.addGroup("head-1");
    bench.addGroup("head-2");
    const auto caller = bench.ask(path);
    bench.lastCall()->connect();
    bench.lastCall()->sealedHead();
    bench.lastCall()->data(event);
    quarantine(bench);
    bench.lastCall()->fail(true);
    cr_assert_eq(bench.upstream_.calls_.size(), 1);
    cr_assert(caller->isAborted_);
}

Test(quarantined_sessions, plain_request_that_ends_endpoints_is_quarantined_too)
{
    GatewayFixture bench;
    std::size_t sends = 0;
    for (int i = 0; i < 8; ++i) {
        auto again = *bench.endpointRegistry_.find(VmId("p-0"));
        again.startedAt_ = static_cast<std::uint64_t>(i + 1);
        bench.endpointRegistry_.put(again);
        const auto before = bench.upstream_.calls_.size();
        (void)bench.ask("/once/7");
        for (std::size_t call = before; call < bench.upstream_.calls_.size(); ++call) {
            ++sends;
            bench.upstream_.ended_.insert(bench.upstream_.calls_[call]->request_.address_);
            bench.upstream_.calls_[call]->connect();
            bench.upstream_.calls_[call]->fail(true);
        }
        bench.pass(seconds(6));
    }
    cr_assert_eq(sends, 3);
}

/// All entry VMs choose the same endpoint for a suspect, so that its copies end one and not
/// several.
Test(quarantined_sessions, suspect_goes_to_the_same_endpoint_from_every_entry_vm)
{
    std::set<std::string> chosen;
    for (int entry = 0; entry < 5; ++entry) {
        GatewayFixture bench;
        for (int i = 0; i < 8; ++i)
            bench.addGroup("head-" + std::to_string(i));
        PoisonNews news;
        news.crashes_[{VmId("gone"), 1}] = {{fingerprint(), false}};
        bench.gateway_.takePoisonNews(news);
        // What else is under way differs.
        for (int i = 0; i < entry; ++i)
            (void)bench.ask("/stream/other-" + std::to_string(i));
        (void)bench.ask(path);
        chosen.insert(bench.lastCall()->field("endpoint"));
    }
    cr_assert_eq(chosen.size(), 1);
}
