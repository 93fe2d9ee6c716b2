#include <traffic/team_lookup.hpp>

#include <openssl/sha.h>

#include <algorithm>
#include <array>
#include <string>
#include <string_view>

namespace cardamombay::traffic::impl {

namespace {

constexpr std::string_view bearerPrefix = "Bearer ";

std::string sha256Of(std::string_view text)
{
    constexpr std::string_view digits = "0123456789abcdef";
    std::array<unsigned char, SHA256_DIGEST_LENGTH> digest{};
    SHA256(reinterpret_cast<const unsigned char *>(text.data()), text.size(), digest.data());
    std::string hex;
    for (const unsigned char byte : digest) {
        hex += digits[byte >> 4];
        hex += digits[byte & 15];
    }
    return hex;
}

Problem unauthorized(std::string detail)
{
    Problem problem;
    problem.status_ = 401;
    problem.type_ = "unknown-team";
    problem.title_ = "The team is not known";
    problem.detail_ = std::move(detail);
    problem.remedy_ = "send the team's bearer token in Authorization, or its name in X-Team if "
                      "the configuration declares no tokens for the team";
    return problem;
}

std::variant<TeamName, Problem> teamOfToken(std::string_view token,
                                            const config::Configuration &configuration)
{
    const auto hash = sha256Of(token);
    for (const auto &team : configuration.teams_) {
        const auto &tokens = team.tokens_;
        if (tokens && std::find(tokens->begin(), tokens->end(), hash) != tokens->end())
            return team.name_;
    }
    return unauthorized("no team has this bearer token");
}

} // namespace

std::variant<TeamName, Problem> findTeam(const net::ServerRequest &request,
                                         const config::Configuration &configuration)
{
    const auto authorization = request.field("Authorization");
    if (authorization.starts_with(bearerPrefix))
        return teamOfToken(authorization.substr(bearerPrefix.size()), configuration);
    const TeamName name(request.field("X-Team"));
    if (name.isEmpty())
        return unauthorized("the request names no team");
    const auto *team = configuration.team(name);
    if (team == nullptr)
        return unauthorized("there is no team '" + name.text() + "'");
    if (team->tokens_)
        return unauthorized("team '" + name.text() + "' is named by its bearer token only");
    return name;
}

} // namespace cardamombay::traffic::impl
