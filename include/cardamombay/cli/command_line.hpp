/// \file
/// \brief Command lines of the programs, on popt.
#pragma once

#include <cardamombay/core/result.hpp>

#include <string>
#include <string_view>
#include <vector>

namespace cardamombay::cli {

/// \brief Declares one option.
struct Option
{
    std::string name_;        ///< Long name without dashes.
    char letter_ = '\0';      ///< Short name, or none.
    std::string valueName_;   ///< Name of the value in the help text; empty for a switch.
    std::string description_; ///< One line for the help text.
};

/// \brief One option as given.
struct GivenOption
{
    std::string name_;
    std::string value_; ///< Empty for a switch.
};

/// \brief A parsed command line.
struct ParsedCommandLine
{
    std::vector<GivenOption> options_;
    std::vector<std::string> arguments_; ///< What is no option, in order.

    /// \brief True if the option was given.
    [[nodiscard]] bool has(std::string_view name) const;
    /// \brief The last value given, or \p fallback.
    [[nodiscard]] std::string value(std::string_view name, std::string_view fallback = {}) const;
    /// \brief All values given, in order.
    [[nodiscard]] std::vector<std::string> values(std::string_view name) const;
};

/// \brief The options of a program; parses and writes its help text.
/// \code
/// const cli::CommandLine line("cardamombayd", "SETTINGS",
///                             {{"check", 'c', "", "check the settings and exit"}});
/// const auto parsed = line.parse(argc, argv);
/// \endcode
class CommandLine
{
public:
    /// \param program name of the program.
    /// \param usage arguments for the usage line.
    /// \param options own options; --help and --version are always there.
    CommandLine(std::string program, std::string usage, std::vector<Option> options);

    /// \brief Parses the arguments of main(); InvalidInput for wrong usage.
    [[nodiscard]] Result<ParsedCommandLine> parse(int argc, const char *const *argv) const;

    /// \brief Usage line and one line for each option.
    [[nodiscard]] std::string help() const;

    /// \brief Name and version of the program.
    [[nodiscard]] std::string version() const;

private:
    std::string program_;
    std::string usage_;
    std::vector<Option> options_;
};

} // namespace cardamombay::cli
