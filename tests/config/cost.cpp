// What a change costs a node: parsing and the bytes it takes from a peer. The figures are printed
// with "test_config --filter 'cost/*' --verbose".
#include <cardamombay/config/config_parser.hpp>
#include <cardamombay/config/config_record.hpp>

#include <ctime>

#include <criterion/criterion.h>

using namespace cardamombay;

namespace {

constexpr int rounds = 20;

config::ConfigSources sourcesOf(int sites, int services, int teams)
{
    std::string base = "deployment = \"large\"\n";
    for (int team = 0; team < teams; ++team)
        base += "[teams.team-" + std::to_string(team) + "]\nweight = 2.0\n";
    for (int service = 0; service < services; ++service) {
        const std::string name = "lm-" + std::to_string(service);
        base += "[services." + name + "]\nkind = \"model\"\nvms_per_replica = 16\nreplicas = 4\n"
                + "model = { name = \"" + name + "\", version = \"1\" }\n";
    }
    config::ConfigSources sources{{"base.toml", base}, {}};
    for (int site = 0; site < sites; ++site) {
        const std::string name = "zone-" + std::to_string(site);
        sources.overlays_.push_back({name + ".toml", "site = \"" + name + "\"\nregion = \"r"
                                                         + std::to_string(site % 4)
                                                         + "\"\n[services.lm-0]\nreplicas = 6\n"});
    }
    return sources;
}

/// Processor time of one parse.
double parseMilliseconds(const config::ConfigSources &sources)
{
    const std::clock_t start = std::clock();
    for (int round = 0; round < rounds; ++round)
        cr_assert(isOk(config::parse(sources, ConfigVersion{1})));
    return 1000.0 * static_cast<double>(std::clock() - start) / CLOCKS_PER_SEC / rounds;
}

} // namespace

Test(cost, parse_takes_milliseconds_at_the_two_year_size)
{
    struct Size
    {
        int sites_;
        int services_;
        int teams_;
    };
    for (const auto size : {Size{3, 2, 10}, Size{15, 20, 100}, Size{15, 200, 1000}}) {
        const auto sources = sourcesOf(size.sites_, size.services_, size.teams_);
        const double time = parseMilliseconds(sources);
        const auto bytes = config::encode(sources).size();
        cr_log_info("%d sites, %d services, %d teams: %.2f ms processor time, %zu bytes",
                    size.sites_, size.services_, size.teams_, time, bytes);
        cr_assert_lt(time, 500.0); // a change a minute must stay a small share of a core
    }
}
