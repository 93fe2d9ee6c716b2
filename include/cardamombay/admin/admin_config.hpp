/// \file
/// \brief Answer to GET /admin/config: the configuration in force at one entry VM.
/// \details A reading of one entry VM only; what is in force elsewhere is told by that entry VM. It
/// decides nothing.
#pragma once

#include <cardamombay/core/ids.hpp>
#include <cardamombay/core/result.hpp>

#include <string>
#include <string_view>

namespace cardamombay::config {
class ConfigAgent;
} // namespace cardamombay::config

namespace cardamombay::admin {

/// \brief Version in force, and a higher one that was refused, if any.
struct AdminConfig
{
    ConfigVersion version_;
    std::string hash_;
    std::string state_; ///< State of the configuration chart.
    ConfigVersion refusedVersion_;
    std::string refusal_; ///< Why, with file, line, key and remedy.

    friend bool operator==(const AdminConfig &, const AdminConfig &) = default;
};

/// \brief What \p agent has in force and has refused.
[[nodiscard]] AdminConfig configOf(const config::ConfigAgent &agent);

/// \brief Writes \p config as JSON.
[[nodiscard]] std::string encode(const AdminConfig &config);

/// \brief Reads what encode() wrote.
[[nodiscard]] Result<AdminConfig> decodeConfig(std::string_view text);

} // namespace cardamombay::admin
