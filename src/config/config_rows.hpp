/// \file
/// \brief Names of the configuration's rows.
#pragma once

#include <cardamombay/core/ids.hpp>
#include <cardamombay/platform/table_store.hpp>

#include <string>

namespace cardamombay::config::impl {

inline const std::string configTable = "config";
inline const std::string currentKey = "current";
inline const std::string versionPrefix = "version-";

/// \brief Digits that make the order of keys the order of versions.
constexpr std::size_t versionDigits = 12;

inline platform::RowKey currentRow()
{
    return {configTable, currentKey};
}

inline platform::RowKey versionRow(ConfigVersion version)
{
    const std::string digits = std::to_string(version.value());
    const std::size_t zeros = versionDigits - std::min(versionDigits, digits.size());
    return {configTable, versionPrefix + std::string(zeros, '0') + digits};
}

} // namespace cardamombay::config::impl
