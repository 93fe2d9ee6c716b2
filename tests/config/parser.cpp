#include "sample.hpp"

#include <cardamombay/config/config_parser.hpp>

#include <string>

#include <criterion/criterion.h>

using namespace cardamombay;
using config::ConfigSources;
using support::sampleSources;

namespace {

void replace(std::string &text, const std::string &from, const std::string &to)
{
    const auto place = text.find(from);
    cr_assert(place != std::string::npos, "no %s in the sample", from.c_str());
    text.replace(place, from.size(), to);
}

ConfigSources withBase(const std::string &from, const std::string &to)
{
    auto sources = sampleSources();
    replace(sources.base_.text_, from, to);
    return sources;
}

ConfigSources withEast(const std::string &text)
{
    auto sources = sampleSources();
    sources.overlays_[0].text_ = "site = \"east\"\nregion = \"r\"\n" + text;
    return sources;
}

void assertProblem(const ConfigSources &sources, const SourcePosition &position,
                   const std::string &key, const std::string &remedyPart)
{
    const auto result = config::parse(sources, ConfigVersion{1});
    cr_assert(isError<InvalidInput>(result), "the configuration was taken");
    const auto &problem = std::get<InvalidInput>(errorOf(result));
    cr_assert_eq(problem.position_.file_, position.file_);
    cr_assert_eq(problem.position_.line_, position.line_, "line %u: %s", problem.position_.line_,
                 problem.problem_.c_str());
    cr_assert_eq(problem.key_, key, "key %s", problem.key_.c_str());
    cr_assert(problem.remedy_.find(remedyPart) != std::string::npos, "remedy: %s",
              problem.remedy_.c_str());
}

std::uint32_t replicasAt(const config::Service &service, const char *zone)
{
    for (const auto &site : service.capacity_) {
        if (site.zone_ == AvailabilityZone(zone))
            return site.replicas_;
    }
    cr_assert_fail("no capacity at that site");
    return 0;
}

ConfigSources example(const std::string &deployment, const std::vector<std::string> &sites)
{
    const std::string folder = std::string(SOURCE_FOLDER) + "/examples/" + deployment + "/";
    std::vector<std::string> overlays;
    for (const auto &site : sites)
        overlays.push_back(folder + site + ".toml");
    const auto sources = config::loadSources(folder + "base.toml", overlays);
    cr_assert(isOk(sources));
    return valueOf(sources);
}

} // namespace

Test(parser, overlay_differs_at_its_site_only)
{
    const auto result = config::parse(sampleSources(), ConfigVersion{7});

    cr_assert(isOk(result));
    const auto &read = valueOf(result);
    const auto *service = read.service(ServiceName("lm"));
    cr_assert_not_null(service);
    cr_assert_eq(replicasAt(*service, "east"), 3);
    cr_assert_eq(replicasAt(*service, "west"), 2);
    cr_assert(read.version_ == ConfigVersion{7});
}

Test(parser, non_idempotent_route_is_read)
{
    const auto result = config::parse(sampleSources(), ConfigVersion{1});

    cr_assert(isOk(result));
    const auto &routes = valueOf(result).service(ServiceName("app"))->routes_;
    cr_assert(routes == (std::vector<config::RouteRule>{{"POST", "/app/entries", false}}));
}

Test(parser, unknown_key_in_base_names_line_and_nearest_key)
{
    assertProblem(withBase("vms_per_replica", "vm_per_replica"), {"base.toml", 12, 1},
                  "services.lm.vm_per_replica", "'vms_per_replica'");
}

Test(parser, unknown_key_in_overlay_names_the_overlay)
{
    assertProblem(withEast("regoin = 1\n"), {"east.toml", 3, 1}, "regoin", "'region'");
}

Test(parser, overlay_restating_the_base_is_refused)
{
    assertProblem(withEast("[services.lm]\nreplicas = 2\n"), {"east.toml", 4, 0},
                  "services.lm.replicas", "remove the line");
}

Test(parser, overlay_may_not_change_what_holds_everywhere)
{
    assertProblem(withEast("[services.lm]\nvms_per_replica = 4\n"), {"east.toml", 4, 0},
                  "services.lm.vms_per_replica", "base file");
    assertProblem(withEast("[teams.x]\n"), {"east.toml", 3, 0}, "teams", "base file");
}

Test(parser, overlay_for_unknown_service_names_the_nearest)
{
    assertProblem(withEast("[services.ln]\nreplicas = 4\n"), {"east.toml", 3, 0}, "services.ln",
                  "'lm'");
}

Test(parser, two_overlays_for_one_site_are_refused)
{
    auto sources = sampleSources();
    sources.overlays_[1].text_ = "site = \"east\"\nregion = \"r\"\n";

    assertProblem(sources, {"west.toml", 1, 0}, "site", "one overlay for each site");
}

Test(parser, service_without_capacity_anywhere_is_refused)
{
    assertProblem(withBase("path_prefix = \"/app\"\nreplicas = 1", "path_prefix = \"/app\""),
                  {"base.toml", 15, 0}, "services.app", "replicas");
}

Test(parser, capacity_in_an_overlay_alone_is_enough)
{
    auto sources = withBase("path_prefix = \"/app\"\nreplicas = 1", "path_prefix = \"/app\"");
    sources.overlays_[1].text_ += "[services.app]\nreplicas = 1\n";

    cr_assert(isOk(config::parse(sources, ConfigVersion{1})));
}

Test(parser, clashing_path_prefixes_are_refused)
{
    assertProblem(withBase("[[services.app.routes]]",
                           "[services.deep]\nkind = \"plain\"\npath_prefix = \"/app/deep\"\n"
                           "replicas = 1\n[[services.app.routes]]"),
                  {"base.toml", 22, 0}, "services.deep.path_prefix", "no other one contains");
}

Test(parser, path_that_the_daemon_answers_is_refused)
{
    assertProblem(withBase("path_prefix = \"/app\"", "path_prefix = \"/v1\""), {"base.toml", 17, 0},
                  "services.app.path_prefix", "another path");
}

Test(parser, route_outside_the_prefix_is_refused)
{
    assertProblem(withBase("/app/entries", "/entries"), {"base.toml", 22, 0},
                  "services.app.routes.path", "/app");
}

Test(parser, model_service_without_model_is_refused)
{
    assertProblem(withBase("model = { name = \"m\", version = \"1\" }\n", ""), {"base.toml", 9, 0},
                  "services.lm.model", "version");
}

Test(parser, bearer_token_in_clear_is_refused)
{
    assertProblem(withBase("weight = 2.0", "token_sha256 = [\"secret\"]"), {"base.toml", 5, 0},
                  "teams.editors.token_sha256", "sha256sum");
}

Test(parser, one_token_for_two_teams_is_refused)
{
    const std::string line = "token_sha256 = [\"" + std::string(64, 'a') + "\"]";
    auto sources = withBase("weight = 2.0", line);
    replace(sources.base_.text_, "[teams.clerks]", "[teams.clerks]\n" + line);

    assertProblem(sources, {"base.toml", 5, 0}, "teams.editors.token_sha256", "of its own");
}

Test(parser, configuration_without_a_site_is_refused)
{
    auto sources = sampleSources();
    sources.overlays_.clear();

    assertProblem(sources, {"base.toml", 1, 0}, "", "for each site");
}

Test(parser, check_lists_problems_of_all_files)
{
    auto sources = withBase("deployment", "deploiment");
    sources.overlays_[0].text_ += "colour = 1\n";
    sources.overlays_[1].text_ = "site =\n";

    const auto problems = config::check(sources);

    cr_assert_geq(problems.size(), 4);
    cr_assert_eq(problems.front().position_.file_, "base.toml");
    cr_assert_eq(problems.back().position_.file_, "west.toml");
}

Test(parser, sources_survive_their_wire_form)
{
    const auto sources = sampleSources();

    const auto decoded = config::decodeSources(config::encode(sources));

    cr_assert(isOk(decoded));
    cr_assert(valueOf(decoded) == sources);
}

Test(parser, broken_wire_form_is_malformed)
{
    cr_assert(isError<MalformedMessage>(config::decodeSources("{\"base\":{}}")));
    cr_assert(isError<MalformedMessage>(config::decodeSources("")));
}

Test(parser, example_of_quiete_sonora_has_fifty_engines_and_leans_to_downtime)
{
    const auto result = config::parse(
        example("quiete_sonora", {"pa-sala-a", "pa-sala-b", "pa-sala-c"}), ConfigVersion{1});

    cr_assert(isOk(result));
    const auto &read = valueOf(result);
    std::uint32_t engines = 0;
    const auto *service = read.service(ServiceName("lm-narrazione"));
    for (const auto &site : service->capacity_)
        engines += site.replicas_ * service->vmsPerReplica_;
    cr_assert_eq(engines, 50);
    cr_assert_eq(read.teams_.size(), 10);
    cr_assert_gt(read.planner_.downtimeWeight_, read.planner_.strandedWeight_);
}

Test(parser, example_of_wasata_leans_to_stranded_and_guards_confirmations)
{
    const auto result
        = config::parse(example("wasata", {"lac", "ariana", "ben-arous"}), ConfigVersion{1});

    cr_assert(isOk(result));
    const auto &read = valueOf(result);
    cr_assert_eq(read.sites_.size(), 3);
    cr_assert_eq(read.teams_.size(), 10);
    cr_assert_lt(read.planner_.downtimeWeight_, read.planner_.strandedWeight_);
    cr_assert_not(read.service(ServiceName("booking-app"))->routes_.front().isIdempotent_);
}
