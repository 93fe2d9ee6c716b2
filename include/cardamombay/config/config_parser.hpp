/// \file
/// \brief Turns base and overlays into one checked Configuration.
/// \details The base holds for the whole deployment; the overlay of a site states only what
/// differs there. Both are checked as one whole, so that what is accepted can be put in force at
/// every site as it stands. Nothing of a wrong configuration is used.
#pragma once

#include <cardamombay/config/config_sources.hpp>
#include <cardamombay/config/configuration.hpp>
#include <cardamombay/core/result.hpp>

#include <vector>

namespace cardamombay::config {

/// \brief Merges and checks \p sources.
/// \param version the version the result carries.
/// \returns the configuration, or InvalidInput for the first problem.
/// \code
/// const auto sources = loadSources("base.toml", {"lac.toml", "ariana.toml"});
/// const auto result = parse(valueOf(sources), ConfigVersion{1});
/// \endcode
[[nodiscard]] Result<Configuration> parse(const ConfigSources &sources, ConfigVersion version);

/// \brief All problems, base first, lines rising; empty if the configuration is valid.
[[nodiscard]] std::vector<InvalidInput> check(const ConfigSources &sources);

} // namespace cardamombay::config
