/// \file
/// \brief A small valid configuration for tests to change.
#pragma once

#include <cardamombay/config/config_sources.hpp>

#include <string>

namespace cardamombay::support {

/// \brief Two sites, one model service, one plain service and two teams.
inline config::ConfigSources sampleSources(const std::string &note = "first")
{
    const std::string base = "# " + note + R"(
deployment = "sample"

[teams.editors]
weight = 2.0

[teams.clerks]

[services.lm]
kind = "model"
model = { name = "m", version = "1" }
vms_per_replica = 2
replicas = 2

[services.app]
kind = "plain"
path_prefix = "/app"
replicas = 1

[[services.app.routes]]
method = "POST"
path = "/app/entries"
idempotent = false
)";
    return {{"base.toml", base},
            {{"east.toml", "site = \"east\"\nregion = \"r\"\n[services.lm]\nreplicas = 3\n"},
             {"west.toml", "site = \"west\"\nregion = \"r\"\n"}}};
}

} // namespace cardamombay::support
