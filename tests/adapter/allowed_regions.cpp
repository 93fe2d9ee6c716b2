// Region restrictions of routes and teams, from the text of a configuration to the gateway's
// choice.
#include "support/gateway_fixture.hpp"

#include <platform/store_format.hpp>

#include <criterion/criterion.h>

using namespace cardamombay;
using namespace cardamombay::adapter;
using namespace cardamombay::serving;
using namespace cardamombay::support;

namespace {

/// \param regions of the route and \param teamRegions of its team: JSON values; no field if empty.
std::string configurationText(const std::string &regions, const std::string &teamRegions)
{
    const auto field = [](const std::string &value) {
        return value.empty() ? value : ",\"AllowedRegions\":" + value;
    };
    return R"({"Version":7,"Routes":[{"Name":"r","Host":"h","Prefix":"/again/",)"
           R"("Kind":"idempotent","TimeoutMs":800,"Service":"plain")"
           + field(regions)
           + R"(}],"Services":[{"Name":"plain","MaxConns":100}],"Tenants":[{"Name":"t",)"
             R"("ApiKeys":["key-a"])"
           + field(teamRegions) + "}]}";
}

/// True if a request reaches an endpoint; all of them are in region "north".
bool isServed(const std::string &regions, const std::string &teamRegions)
{
    GatewayFixture fixture;
    fixture.balancer_.setRegions({{AvailabilityZone("zone-n"), RegionName("north")}});
    for (const auto *id : {"p-0", "p-1"}) {
        auto endpoint = plainEndpoint(id);
        endpoint.zone_ = AvailabilityZone("zone-n");
        fixture.endpointRegistry_.put(endpoint);
    }
    const auto text = configurationText(regions, teamRegions);
    fixture.gateway_.setRoutes(
        std::make_shared<RouteTable>(valueOf(PlatformFormat().configuration(text))));
    const auto caller = fixture.ask("/again/1");
    cr_assert(fixture.upstream_.calls_.size() == 1 || caller->status() == 503);
    return !fixture.upstream_.calls_.empty();
}

} // namespace

Test(allowed_regions, request_without_restriction_reaches_any_region)
{
    cr_assert(isServed("", ""));
    cr_assert(isServed(R"(["north"])", R"(["north","south"])"));
}

Test(allowed_regions, empty_list_of_regions_does_not_lift_the_restriction)
{
    cr_expect_not(isServed("[]", ""));
    cr_expect_not(isServed("", "[]"));
    cr_expect_not(isServed(R"(["north"])", "[]"));
}

Test(allowed_regions, unreadable_regions_do_not_lift_the_restriction)
{
    for (const auto *regions : {"null", "{}", R"("south")", "[7]", "[null]", R"([""])"}) {
        cr_expect_not(isServed(regions, ""), "%s", regions);
        cr_expect_not(isServed("", regions), "%s", regions);
    }
}
