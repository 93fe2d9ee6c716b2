/// \file
/// \brief The texts of a configuration: one base file and one overlay for each site.
/// \details Keeps the operators' texts as they wrote them, so that errors can name file and line.
/// It checks nothing; config_parser.hpp does.
#pragma once

#include <cardamombay/core/result.hpp>

#include <string>
#include <string_view>
#include <vector>

namespace cardamombay::config {

/// \brief A TOML file as an operator wrote it.
struct SourceFile
{
    std::string file_; ///< Path or name, for error messages.
    std::string text_;

    /// \brief The last part of the path; what is kept in the platform's service.
    [[nodiscard]] std::string baseName() const;

    friend bool operator==(const SourceFile &, const SourceFile &) = default;
};

/// \brief Base file and overlays. The texts are kept as written, comments included, so that an
/// accepted version can be shown and worked on.
struct ConfigSources
{
    SourceFile base_;
    std::vector<SourceFile> overlays_;

    friend bool operator==(const ConfigSources &, const ConfigSources &) = default;
};

/// \brief Reads the files of a configuration.
/// \param base path of the base file.
/// \param overlays paths of the overlays, in any order.
[[nodiscard]] Result<ConfigSources> loadSources(const std::string &base,
                                                std::vector<std::string> overlays);

/// \brief The sources as one JSON text. Overlays are ordered by name, so equal sources give equal
/// texts, and folders of the file names are left out.
[[nodiscard]] std::string encode(const ConfigSources &sources);

/// \brief Reads what encode() wrote.
[[nodiscard]] Result<ConfigSources> decodeSources(std::string_view text);

} // namespace cardamombay::config
