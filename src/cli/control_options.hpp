/// \file
/// \brief What cardamombayctl was asked to do and with whom.
#pragma once

#include <cardamombay/cli/command_line.hpp>
#include <cardamombay/core/address.hpp>
#include <cardamombay/core/ids.hpp>
#include <cardamombay/core/result.hpp>
#include <cardamombay/core/time.hpp>

#include <optional>
#include <string>
#include <vector>

namespace cardamombay::cli {

/// \brief Options after the command line, the environment and the settings file were joined.
struct ControlOptions
{
    std::vector<std::string> arguments_; ///< Words of the command and its operands.
    std::optional<Address> store_;       ///< The platform's service.
    std::optional<Address> entry_;       ///< Peer listener of an entry VM.
    std::string author_;
    std::string note_;
    std::string outputFolder_;
    std::optional<ConfigVersion> on_; ///< Version a change was made on.
    std::optional<ConfigVersion> version_;
    std::uint32_t count_ = 20;
    Duration timeout_ = std::chrono::seconds(30);
    bool isJson_ = false;
};

/// \brief The options of cardamombayctl.
[[nodiscard]] const CommandLine &controlCommandLine();

/// \brief Joins the sources; the command line goes first, then the environment, then the file.
/// \returns the options, or InvalidInput for a value that cannot be read.
[[nodiscard]] Result<ControlOptions> readControlOptions(const ParsedCommandLine &line);

/// \brief InvalidInput that names an option or operand of the command line.
[[nodiscard]] Error wrongUsage(const std::string &key, std::string problem, std::string remedy);

/// \brief Reads a version number, at least 1.
[[nodiscard]] std::optional<ConfigVersion> versionOf(std::string_view text);

} // namespace cardamombay::cli
