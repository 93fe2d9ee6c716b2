/// \file
/// \brief Configuration files as operands of a command.
#pragma once

#include <cardamombay/config/config_sources.hpp>
#include <cardamombay/core/result.hpp>

#include <string>
#include <vector>

namespace cardamombay::cli {

/// \brief Reads base and overlays.
/// \param operands a folder with base.toml and overlays beside it, or the base file and then the
/// overlays.
[[nodiscard]] Result<config::ConfigSources> readSources(const std::vector<std::string> &operands);

/// \brief Writes the files of \p sources into \p folder, which is made if need be.
[[nodiscard]] Result<Done> writeSources(const config::ConfigSources &sources,
                                        const std::string &folder);

} // namespace cardamombay::cli
