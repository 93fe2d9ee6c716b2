#include "config/draft.hpp"

#include <algorithm>
#include <map>
#include <utility>

namespace cardamombay::config::impl {

namespace {

using std::chrono::hours;
using std::chrono::milliseconds;

constexpr std::size_t longestName = 63;
constexpr std::size_t hashDigits = 64;
constexpr Range<double> weightRange{0.001, 1'000'000};
constexpr Range<double> costRange{0, 1'000'000};
constexpr const char *nameRemedy
    = "use a-z, 0-9 and '-', start with a letter, 63 characters at most";

void readPlanner(TableReader &root, PlannerPolicy &planner)
{
    const auto *table = root.table("planner");
    if (!table)
        return;
    auto reader = root.child(*table, "planner");
    reader.read("downtime_weight", planner.downtimeWeight_, costRange);
    reader.read("stranded_weight", planner.strandedWeight_, costRange);
    reader.read("return_time", planner.returnTime_, {milliseconds(1), hours(24)});
    reader.read("return_probability", planner.returnProbability_, {0, 1});
    reader.read("concurrent_loads", planner.concurrentLoads_, {1, 10'000});
    reader.read("replace_grace", planner.replaceGrace_, {Duration::zero(), hours(1)});
    if (planner.downtimeWeight_ == 0 && planner.strandedWeight_ == 0)
        reader.report("downtime_weight", "both weights are zero", "give at least one a weight");
    reader.finish();
}

bool isSha256(const std::string &text)
{
    return text.size() == hashDigits
           && text.find_first_not_of("0123456789abcdef") == std::string::npos;
}

/// Tokens seen so far with the team they name.
using TokenOwners = std::map<std::string, std::string>;

Team readTeam(TableReader &reader, const std::string &name, TokenOwners &owners)
{
    Team team;
    team.name_ = TeamName(name);
    reader.read("weight", team.weight_, weightRange);
    std::vector<std::string> tokens;
    reader.read("token_sha256", tokens);
    for (const auto &token : tokens) {
        if (!isSha256(token))
            reader.report("token_sha256", "\"" + token + "\" is no SHA-256 in lower-case hex",
                          "give the hash, never the token: printf %s TOKEN | sha256sum");
        const auto [owner, isNew] = owners.emplace(token, name);
        if (!isNew)
            reader.report("token_sha256", "team '" + owner->second + "' has the same token",
                          "give every team tokens of its own");
    }
    if (reader.has("token_sha256"))
        team.tokens_ = std::move(tokens);
    reader.finish();
    return team;
}

void readTeams(TableReader &root, std::vector<Team> &teams)
{
    root.require("teams", "add a table such as [teams.editors] for each customer");
    const auto *table = root.table("teams");
    if (!table)
        return;
    auto list = root.child(*table, "teams");
    TokenOwners owners;
    for (const auto &[key, node] : *table) {
        const std::string name(key.str());
        checkName(list, name);
        if (const auto *team = list.table(name)) {
            auto reader = list.child(*team, name);
            teams.push_back(readTeam(reader, name, owners));
        }
    }
    if (table->empty())
        root.report("teams", "there is no team", "add a table such as [teams.editors]");
}

bool isPathPrefix(const std::string &prefix, const std::string &path)
{
    const bool isWithin = path.starts_with(prefix);
    return isWithin
           && (path.size() == prefix.size() || prefix.back() == '/' || path[prefix.size()] == '/');
}

void reportClash(TableReader &list, const ServiceDraft &later, const ServiceDraft &earlier)
{
    const std::string &name = later.service_.name_.text();
    auto reader = list.child(*list.table(name), name);
    std::string problem = "\"" + later.service_.pathPrefix_ + "\" clashes with \"";
    problem += earlier.service_.pathPrefix_ + "\" of service '";
    problem += earlier.service_.name_.text() + "'";
    reader.report("path_prefix", problem,
                  "give each plain service paths that no other one contains");
}

void checkPrefixes(TableReader &list, const std::vector<ServiceDraft> &services)
{
    for (auto later = services.begin(); later != services.end(); ++later) {
        const std::string &path = later->service_.pathPrefix_;
        if (path.empty())
            continue;
        for (auto earlier = services.begin(); earlier != later; ++earlier) {
            const std::string &other = earlier->service_.pathPrefix_;
            if (other.empty() || !(isPathPrefix(other, path) || isPathPrefix(path, other)))
                continue;
            reportClash(list, *later, *earlier);
        }
    }
}

void readServices(TableReader &root, std::vector<ServiceDraft> &services)
{
    root.require("services", "add a table such as [services.drafting] for each service");
    const auto *table = root.table("services");
    if (!table)
        return;
    auto list = root.child(*table, "services");
    for (const auto &[key, node] : *table) {
        const std::string name(key.str());
        checkName(list, name);
        if (const auto *service = list.table(name)) {
            auto reader = list.child(*service, name);
            services.push_back(readService(reader, name));
            services.back().position_ = positionOf(key, root.file());
        }
    }
    if (table->empty())
        root.report("services", "there is no service", "add a table such as [services.drafting]");
    checkPrefixes(list, services);
}

} // namespace

bool isPlainName(std::string_view name)
{
    const bool isSized = !name.empty() && name.size() <= longestName;
    return isSized && name.front() >= 'a' && name.front() <= 'z'
           && name.find_first_not_of("abcdefghijklmnopqrstuvwxyz0123456789-")
                  == std::string_view::npos;
}

void checkName(TableReader &reader, std::string_view key)
{
    if (!isPlainName(key))
        reader.report(key, "the name has characters that are not allowed", nameRemedy);
}

Draft readBase(const toml::table &document, const std::string &file, Problems &problems)
{
    Draft draft;
    TableReader root(document, "", file, problems);
    root.require("deployment", "name the deployment");
    root.read("deployment", draft.configuration_.deployment_);
    readPlanner(root, draft.configuration_.planner_);
    readTeams(root, draft.configuration_.teams_);
    readServices(root, draft.services_);
    for (const char *key : {"site", "region"})
        root.refuse(key, "this key belongs to an overlay", "move it to the site's overlay");
    root.finish();
    return draft;
}

} // namespace cardamombay::config::impl
