// Endpoints that are cold: they get no more than they take from all entry VMs together.
#include "limit_play.hpp"

#include "support/gateway_fixture.hpp"

#include <cstdio>

#include <criterion/criterion.h>

using namespace cardamombay;
using namespace cardamombay::endpoint_limits;
using namespace cardamombay::serving;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

/// The users' bound on the requests of one second, as a share of what a cold endpoint takes.
constexpr double mostShare = 1.5;
constexpr double leastUsed = 0.8;

/// Longer than the groups are looked at.
constexpr Duration longCold = seconds(60);

Scene coldScene(std::size_t entries)
{
    constexpr auto rate = support::FleetFormat::coldRate;
    return {.entries_ = entries, .limits_ = {rate, rate, rate}, .coldFor_ = longCold};
}

void check(const Scene &scene, std::uint64_t seed, double least)
{
    LimitPlay play(scene, seed);
    for (const auto &got : play.run()) {
        std::printf("cold, %zu entry VMs, %.2f of the datagrams lost: most in a second %.2f of the "
                    "rate, used %.2f\n",
                    scene.entries_, scene.lossShare_, got.mostInSecond_, got.used_);
        cr_expect_leq(got.mostInSecond_, mostShare);
        cr_expect_geq(got.used_, least);
    }
}

/// A gateway whose engines take two requests a second while they are cold.
class ColdFixture : public support::GatewayFixture
{
public:
    ColdFixture()
    {
        auto configuration = support::gatewayConfiguration();
        configuration.services_.front().coldStart_ = seconds(3);
        configuration.services_.front().coldRequestsPerSecond_ = 2;
        cold().setServices(configuration.services_);
        addGroup("head");
    }

    ColdEndpoints &cold() { return gateway_.coldEndpoints(); }

    void listCold(Duration coldFor)
    {
        auto endpoint = *endpointRegistry_.find(VmId("head"));
        endpoint.coldFor_ = coldFor;
        cold().listed(endpoint);
    }

    [[nodiscard]] std::optional<double> rate()
    {
        return cold().perSecond(endpointRegistry_.find(VmId("head"))->incarnation());
    }
};

} // namespace

Test(cold_endpoints, seven_entry_vms_together_send_no_more_than_cold_endpoints_take)
{
    check(coldScene(7), 1, leastUsed);
}

Test(cold_endpoints, seventy_four_entry_vms_together_send_no_more_than_cold_endpoints_take)
{
    check(coldScene(74), 2, leastUsed);
}

Test(cold_endpoints, a_fleet_of_195_sends_no_more_than_cold_endpoints_take)
{
    check(coldScene(195), 3, leastUsed);
}

Test(cold_endpoints, cold_endpoints_are_not_overrun_if_a_third_of_the_datagrams_is_lost)
{
    auto scene = coldScene(74);
    scene.lossShare_ = 0.3;
    check(scene, 4, 0);
}

Test(cold_endpoints, cold_endpoints_are_not_overrun_after_all_entry_vms_have_started_at_once)
{
    auto scene = coldScene(74);
    scene.isRestarted_ = true;
    scene.length_ = seconds(10);
    check(scene, 5, 0);
}

Test(cold_endpoints, endpoint_is_cold_for_as_long_as_its_entry_says)
{
    ColdFixture bench;
    cr_assert_not(bench.rate());
    bench.listCold(seconds(2));
    cr_assert_eq(*bench.rate(), 2);
    bench.pass(milliseconds(2100));
    cr_assert_not(bench.rate());
}

Test(cold_endpoints, entry_that_names_no_cold_time_does_not_end_one_that_was_assumed)
{
    ColdFixture bench;
    bench.cold().assumeCold(*bench.endpointRegistry_.find(VmId("head")), "test");
    bench.listCold(Duration::zero());
    cr_assert(bench.rate());
    bench.pass(milliseconds(3100));
    cr_assert_not(bench.rate());
}

Test(cold_endpoints, absurd_cold_time_is_bounded)
{
    ColdFixture bench;
    bench.listCold(std::chrono::hours(24 * 365));
    cr_assert(bench.rate());
    bench.clock_.advance(std::chrono::minutes(11));
    cr_assert_not(bench.rate());
}

Test(cold_endpoints, later_start_under_the_same_id_is_not_cold_by_the_word_of_the_earlier_one)
{
    ColdFixture bench;
    bench.listCold(seconds(10));
    auto again = *bench.endpointRegistry_.find(VmId("head"));
    again.startedAt_ = 7;
    cr_assert_not(bench.cold().perSecond(again.incarnation()));
}

Test(cold_endpoints, warm_group_gets_the_requests_while_another_one_is_cold)
{
    ColdFixture bench;
    bench.listCold(seconds(3));
    bench.addGroup("warm");
    for (int i = 0; i < 8; ++i) {
        (void)bench.ask("/stream/" + std::to_string(i));
        cr_assert_eq(bench.lastCall()->field("endpoint"), "warm");
    }
}
