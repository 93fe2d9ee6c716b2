/// \file
/// \brief One accepted version of the configuration, as it is kept and handed on.
/// \details Decides what an accepted version consists of and whether a record from elsewhere is
/// whole: its texts must have the hash that it names. It decides not which version is in force.
#pragma once

#include <cardamombay/core/ids.hpp>
#include <cardamombay/core/result.hpp>

#include <string>
#include <string_view>

namespace cardamombay::config {

/// \brief Who made a version and why; shown by "cardamombayctl config history".
struct ChangeNote
{
    std::string author_;
    std::string time_; ///< Wall-clock text of the operator's machine; for people only.
    std::string text_;

    friend bool operator==(const ChangeNote &, const ChangeNote &) = default;
};

/// \brief An accepted version. The content is the wire form of ConfigSources.
struct ConfigRecord
{
    ConfigVersion version_;
    std::string hash_;       ///< contentHash() of the content.
    ConfigVersion revertTo_; ///< Version whose content this one brings back; none if new.
    ChangeNote note_;
    std::string content_; ///< Empty if it lies in the object store under objectName().

    /// \brief Name of the content in the object store.
    [[nodiscard]] std::string objectName() const { return "config-" + hash_; }

    friend bool operator==(const ConfigRecord &, const ConfigRecord &) = default;
};

/// \brief SHA-256 of \p content in lower-case hex.
[[nodiscard]] std::string contentHash(std::string_view content);

/// \brief Writes \p record as JSON.
[[nodiscard]] std::string encode(const ConfigRecord &record);

/// \brief Reads what encode() wrote. Content that does not match its hash is MalformedMessage.
[[nodiscard]] Result<ConfigRecord> decodeRecord(std::string_view text);

} // namespace cardamombay::config
