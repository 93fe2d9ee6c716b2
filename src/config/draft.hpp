/// \file
/// \brief A configuration while its files are being read.
#pragma once

#include "config/toml_reader.hpp"

#include <cardamombay/config/configuration.hpp>

#include <vector>

namespace cardamombay::config::impl {

/// \brief A service of the base file with what the overlays are compared to.
struct ServiceDraft
{
    Service service_;
    std::uint32_t replicas_ = 0; ///< At each site, unless its overlay differs.
    SourcePosition position_;
};

/// \brief Base file as read.
struct Draft
{
    Configuration configuration_; ///< Without services, until they are merged.
    std::vector<ServiceDraft> services_;
};

/// \brief Names of teams, services and sites: they become parts of row keys and paths.
/// \returns true if \p name has only a-z, 0-9 and '-', starts with a letter and is short.
[[nodiscard]] bool isPlainName(std::string_view name);

/// \brief Reports \p key of \p reader unless it is a plain name.
void checkName(TableReader &reader, std::string_view key);

/// \brief Most replicas a site may declare for one service.
constexpr std::uint32_t mostReplicas = 10'000;

/// \name Readers of the files' parts
/// \{
[[nodiscard]] Draft readBase(const toml::table &document, const std::string &file,
                             Problems &problems);
[[nodiscard]] ServiceDraft readService(TableReader &reader, const std::string &name);
void readOverlay(const toml::table &document, const std::string &file, Draft &draft,
                 Problems &problems);
/// \}

} // namespace cardamombay::config::impl
