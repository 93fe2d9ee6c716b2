// Tests routes and teams that are restricted to regions.
#include "support/gateway_fixture.hpp"

#include <criterion/criterion.h>

using namespace cardamombay;
using namespace cardamombay::serving;
using namespace cardamombay::support;

namespace {

constexpr std::uint32_t unavailable = 503;
constexpr auto path = "/again/1";

RegionRestriction regions(const std::vector<std::string> &names)
{
    return names.empty() ? RegionRestriction() : RegionRestriction({names.begin(), names.end()});
}

/// Endpoint p-0 is in region "north", p-1 in "south"; team A is restricted to \p team and all
/// routes to \p route, unless these are empty.
class RegionFixture : public GatewayFixture
{
public:
    RegionFixture(const std::vector<std::string> &route, const std::vector<std::string> &team)
    {
        auto configuration = gatewayConfiguration();
        for (auto &one : configuration.routes_)
            one.regions_ = regions(route);
        configuration.teams_.front().regions_ = regions(team);
        gateway_.setRoutes(std::make_shared<RouteTable>(std::move(configuration)));
        balancer_.setRegions({{AvailabilityZone("zone-n"), RegionName("north")},
                              {AvailabilityZone("zone-s"), RegionName("south")}});
        place("p-0", "zone-n");
        place("p-1", "zone-s");
    }

    void place(const std::string &id, const std::string &zone)
    {
        auto endpoint = *endpointRegistry_.find(VmId(id));
        endpoint.zone_ = AvailabilityZone(zone);
        endpointRegistry_.put(endpoint);
    }

    /// True if several requests all go to \p endpoint.
    [[nodiscard]] bool goesOnlyTo(const std::string &endpoint)
    {
        for (int i = 0; i < 6; ++i) {
            (void)ask(path);
            if (lastCall()->field("endpoint") != endpoint)
                return false;
        }
        return true;
    }
};

} // namespace

Test(request_regions, bound_route_reaches_endpoints_of_its_regions_only)
{
    cr_assert(RegionFixture({"south"}, {}).goesOnlyTo("p-1"));
    cr_assert(RegionFixture({"north"}, {}).goesOnlyTo("p-0"));
}

Test(request_regions, bound_team_reaches_endpoints_of_its_regions_only)
{
    cr_assert(RegionFixture({}, {"south"}).goesOnlyTo("p-1"));
}

Test(request_regions, both_bounds_hold)
{
    cr_assert(RegionFixture({"north", "south"}, {"south"}).goesOnlyTo("p-1"));
}

Test(request_regions, request_that_no_region_may_serve_is_refused_at_once)
{
    for (const auto &[route, team] :
         {std::pair(std::vector<std::string>{"north"}, std::vector<std::string>{"south"}),
          std::pair(std::vector<std::string>{"east"}, std::vector<std::string>{})}) {
        RegionFixture fixture(route, team);
        const auto plain = fixture.ask(path);
        cr_assert_eq(plain->status(), unavailable);
        const auto stream = fixture.ask("/stream/1");
        cr_assert_eq(stream->status(), unavailable);
        cr_assert(fixture.upstream_.calls_.empty());
    }
}

Test(request_regions, endpoint_of_a_zone_that_nobody_knows_gets_no_bound_request)
{
    RegionFixture fixture({"north", "south"}, {});
    fixture.place("p-0", "zone-x");
    cr_assert(fixture.goesOnlyTo("p-1"));
}
