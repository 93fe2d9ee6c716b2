/// \file
/// \brief Command lines of the stand-in programs, on popt.
#pragma once

#include <chrono>
#include <cstdint>
#include <functional>
#include <string>
#include <vector>

namespace cardamombay::support {

/// \brief Options bound to variables; a wrong command line prints its usage and exits with 2.
class ProgramOptions
{
public:
    ProgramOptions &text(const char *name, std::string &value, const char *help);
    ProgramOptions &number(const char *name, std::uint64_t &value, const char *help);
    ProgramOptions &flag(const char *name, bool &value, const char *help);

    /// \brief Reads the command line; exits after "--help" or on an unknown option.
    void parse(int argc, char **argv);

private:
    struct Option
    {
        const char *name_;
        const char *help_;
        bool takesValue_;
        std::function<bool(const std::string &)> assign_;
    };

    std::vector<Option> options_;
};

/// \brief Start stamp of a process, for its incarnation.
[[nodiscard]] std::uint64_t startStamp();

} // namespace cardamombay::support
