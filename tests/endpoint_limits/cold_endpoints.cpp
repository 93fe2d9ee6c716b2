// Tests that all entry VMs together send no more to cold endpoints than these accept.
#include "limit_simulation.hpp"

#include "support/gateway_fixture.hpp"

#include <cstdio>

#include <criterion/criterion.h>

using namespace cardamombay;
using namespace cardamombay::endpoint_limits;
using namespace cardamombay::serving;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

/// Required bound on the requests in one second, as a share of the cold rate.
constexpr double maxShare = 1.5;
constexpr double minUsed = 0.8;

/// Longer than the measurement.
constexpr Duration longCold = seconds(60);

Scenario coldScene(std::size_t entries)
{
    constexpr auto rate = support::FleetFormat::coldRate;
    return {.entries_ = entries, .limits_ = {rate, rate, rate}, .coldFor_ = longCold};
}

void check(const Scenario &scenario, std::uint64_t seed, double least)
{
    LimitSimulation simulation(scenario, seed);
    for (const auto &groupResult : simulation.run()) {
        std::printf("cold, %zu entry VMs, %.2f of the datagrams lost: most in a second %.2f of the "
                    "rate, used %.2f\n",
                    scenario.entries_, scenario.lossShare_, groupResult.maxInSecond_,
                    groupResult.used_);
        cr_expect_leq(groupResult.maxInSecond_, maxShare);
        cr_expect_geq(groupResult.used_, least);
    }
}

/// A gateway whose engines accept two requests per second while cold.
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
    check(coldScene(7), 1, minUsed);
}

Test(cold_endpoints, seventy_four_entry_vms_together_send_no_more_than_cold_endpoints_take)
{
    check(coldScene(74), 2, minUsed);
}

Test(cold_endpoints, a_fleet_of_195_sends_no_more_than_cold_endpoints_take)
{
    check(coldScene(195), 3, minUsed);
}

Test(cold_endpoints, cold_endpoints_are_not_overrun_if_a_third_of_the_datagrams_is_lost)
{
    auto scenario = coldScene(74);
    scenario.lossShare_ = 0.3;
    check(scenario, 4, 0);
}

Test(cold_endpoints, cold_endpoints_are_not_overrun_after_all_entry_vms_have_started_at_once)
{
    auto scenario = coldScene(74);
    scenario.isRestarted_ = true;
    scenario.duration_ = seconds(10);
    check(scenario, 5, 0);
}

Test(cold_endpoints, endpoint_is_cold_for_as_long_as_its_entry_says)
{
    ColdFixture fixture;
    cr_assert_not(fixture.rate());
    fixture.listCold(seconds(2));
    cr_assert_eq(*fixture.rate(), 2);
    fixture.pass(milliseconds(2100));
    cr_assert_not(fixture.rate());
}

Test(cold_endpoints, entry_that_names_no_cold_time_does_not_end_one_that_was_assumed)
{
    ColdFixture fixture;
    fixture.cold().assumeCold(*fixture.endpointRegistry_.find(VmId("head")), "test");
    fixture.listCold(Duration::zero());
    cr_assert(fixture.rate());
    fixture.pass(milliseconds(3100));
    cr_assert_not(fixture.rate());
}

Test(cold_endpoints, absurd_cold_time_is_bounded)
{
    ColdFixture fixture;
    fixture.listCold(std::chrono::hours(24 * 365));
    cr_assert(fixture.rate());
    fixture.clock_.advance(std::chrono::minutes(11));
    cr_assert_not(fixture.rate());
}

Test(cold_endpoints, later_start_under_the_same_id_is_not_cold_by_the_word_of_the_earlier_one)
{
    ColdFixture fixture;
    fixture.listCold(seconds(10));
    auto again = *fixture.endpointRegistry_.find(VmId("head"));
    again.startedAt_ = 7;
    cr_assert_not(fixture.cold().perSecond(again.incarnation()));
}

Test(cold_endpoints, warm_group_gets_the_requests_while_another_one_is_cold)
{
    ColdFixture fixture;
    fixture.listCold(seconds(3));
    fixture.addGroup("warm");
    for (int i = 0; i < 8; ++i) {
        (void)fixture.ask("/stream/" + std::to_string(i));
        cr_assert_eq(fixture.lastCall()->field("endpoint"), "warm");
    }
}
