// Keys of requests, from the text of a configuration to the gateway's decision.
#include "support/gateway_fixture.hpp"

#include <platform/store_format.hpp>

#include <criterion/criterion.h>

using namespace cardamombay;
using namespace cardamombay::adapter;
using namespace cardamombay::serving;
using namespace cardamombay::support;

namespace {

constexpr std::uint32_t unauthorized = 401;
constexpr std::uint32_t unavailable = 503;
constexpr std::uint32_t notAnswered = 0;

/// Route /again/ needs a key where the configuration declares teams; /open/ never does.
constexpr std::string_view sharedFields = R"({"Version":7,"Routes":[
{"Name":"r","Host":"h","Prefix":"/again/","Kind":"idempotent","TimeoutMs":800,"Service":"plain"},
{"Name":"s","Host":"h","Prefix":"/open/","Kind":"idempotent","TimeoutMs":800,"Service":"plain",
"NoAuth":true}],"Services":[{"Name":"plain","MaxConns":100}])";

Result<Configuration> configurationWith(std::string_view teams)
{
    std::string text(sharedFields);
    if (!teams.empty())
        text += ",\"Tenants\":" + std::string(teams);
    return PlatformFormat().configuration(text + '}');
}

/// A gateway whose configuration declares \p teams, a JSON value; no such field if empty.
class KeyFixture : public GatewayFixture
{
public:
    explicit KeyFixture(std::string_view teams) { configure(teams); }

    void configure(std::string_view teams)
    {
        gateway_.setRoutes(std::make_shared<RouteTable>(valueOf(configurationWith(teams))));
    }

    /// \returns the status of the refusal, or notAnswered if an endpoint got the request.
    [[nodiscard]] std::uint32_t refusal(const std::string &key,
                                        const std::string &path = "/again/1")
    {
        const auto calls = upstream_.calls_.size();
        const auto caller = ask(path, "m", key);
        cr_assert_eq(caller->status() == notAnswered, upstream_.calls_.size() > calls);
        return caller->status();
    }
};

} // namespace

Test(team_keys, empty_list_of_teams_admits_no_key)
{
    KeyFixture fixture("[]");
    cr_expect_eq(fixture.refusal("key-a"), unauthorized);
    cr_expect_eq(fixture.refusal(""), unauthorized);
}

Test(team_keys, key_is_refused_once_the_last_team_is_removed_and_accepted_once_it_is_back)
{
    constexpr auto team = R"([{"Name":"t","ApiKeys":["key-a"]}])";
    KeyFixture fixture(team);
    cr_expect_eq(fixture.refusal("key-a"), notAnswered);
    fixture.configure("[]");
    cr_expect_eq(fixture.refusal("key-a"), unauthorized);
    fixture.configure(team);
    cr_expect_eq(fixture.refusal("key-a"), notAnswered);
    cr_expect_eq(fixture.lastCall()->field("team"), "t");
}

Test(team_keys, list_without_a_readable_team_admits_no_key)
{
    for (const auto *teams :
         {R"([1,"key-a",null,["key-a"]])", R"([{}])", R"([{"Name":"t"}])",
          R"([{"Name":"t","ApiKeys":[]}])", R"([{"Name":"t","ApiKeys":"key-a"}])",
          R"([{"Name":"t","ApiKeys":[7]}])", R"([{"ApiKeys":["key-a"]}])"}) {
        KeyFixture fixture(teams);
        cr_expect_eq(fixture.refusal("key-a"), unauthorized, "%s", teams);
        cr_expect_eq(fixture.refusal(""), unauthorized, "%s", teams);
    }
}

Test(team_keys, unreadable_team_does_not_affect_others)
{
    KeyFixture fixture(R"([7,{"Name":"t","ApiKeys":["key-a"]}])");
    cr_expect_eq(fixture.refusal("key-a"), notAnswered);
    cr_expect_eq(fixture.refusal("key-b"), unauthorized);
}

Test(team_keys, teams_that_are_not_a_list_admit_no_key)
{
    for (const auto *teams :
         {"null", "{}", R"({"Name":"t","ApiKeys":["key-a"]})", R"("key-a")", "7", "false"}) {
        KeyFixture fixture(teams);
        cr_expect_eq(fixture.refusal("key-a"), unavailable, "%s", teams);
        cr_expect_eq(fixture.refusal(""), unavailable, "%s", teams);
        cr_expect_eq(fixture.refusal("", "/open/1"), notAnswered, "%s", teams);
    }
}

Test(team_keys, empty_key_of_a_team_admits_no_request_without_a_key)
{
    KeyFixture fixture(R"([{"Name":"t","ApiKeys":["","key-a"]}])");
    cr_expect_eq(fixture.refusal(""), unauthorized);
    cr_expect_eq(fixture.refusal("key-a"), notAnswered);
}

Test(team_keys, configuration_that_declares_no_teams_asks_for_no_key)
{
    KeyFixture fixture("");
    cr_expect_eq(fixture.refusal(""), notAnswered);
    cr_expect_eq(fixture.refusal("key-a"), notAnswered);
}

Test(team_keys, route_that_needs_no_key_is_served_without_any_team)
{
    KeyFixture fixture("[]");
    cr_expect_eq(fixture.refusal("", "/open/1"), notAnswered);
}
