// Teams and their bearer tokens, from the base file to the decision on a request.
#include <cardamombay/config/config_parser.hpp>
#include <cardamombay/traffic/request_parser.hpp>

#include <string>

#include <criterion/criterion.h>

using namespace cardamombay;
using namespace cardamombay::traffic;

namespace {

constexpr std::uint32_t unauthorized = 401;
constexpr std::uint32_t accepted = 0;

/// \param team lines of the base file's table of team "studio".
config::Configuration configurationWith(const std::string &team)
{
    const std::string base = "deployment = \"d\"\n[teams.studio]\n" + team
                             + "\n[services.app]\nkind = \"plain\"\npath_prefix = \"/app\"\n"
                               "replicas = 1\n";
    return valueOf(
        config::parse({{"base.toml", base}, {{"east.toml", "site = \"east\"\nregion = \"r\"\n"}}},
                      ConfigVersion(1)));
}

/// \returns the status of the refusal, or accepted.
std::uint32_t refusal(const config::Configuration &configuration, const net::HttpField &field)
{
    net::ServerRequest request;
    request.method_ = "GET";
    request.target_ = "/app/x";
    request.fields_ = {field};
    const auto parsed = parseRequest(std::move(request), RequestId("r"), configuration, {});
    const auto *problem = std::get_if<Problem>(&parsed);
    return problem == nullptr ? accepted : problem->status_;
}

} // namespace

Test(team_tokens, team_whose_last_token_was_removed_admits_nobody_by_name)
{
    const auto configuration = configurationWith("token_sha256 = []");
    cr_expect_eq(refusal(configuration, {"X-Team", "studio"}), unauthorized);
    cr_expect_eq(refusal(configuration, {"Authorization", "Bearer "}), unauthorized);
}

Test(team_tokens, team_without_declared_tokens_is_named_by_a_field)
{
    const auto configuration = configurationWith("weight = 2.0");
    cr_expect_eq(refusal(configuration, {"X-Team", "studio"}), accepted);
}
