#include "support/program_options.hpp"

#include <charconv>
#include <cstdlib>
#include <iostream>
#include <memory>
#include <utility>

#include <popt.h>

namespace cardamombay::support {

ProgramOptions &ProgramOptions::text(const char *name, std::string &value, const char *help)
{
    auto assign = [&value](const std::string &given) {
        value = given;
        return true;
    };
    options_.push_back({name, help, true, assign});
    return *this;
}

ProgramOptions &ProgramOptions::number(const char *name, std::uint64_t &value, const char *help)
{
    auto assign = [&value](const std::string &given) {
        const char *end = given.data() + given.size();
        const auto read = std::from_chars(given.data(), end, value);
        return read.ec == std::errc() && read.ptr == end;
    };
    options_.push_back({name, help, true, assign});
    return *this;
}

ProgramOptions &ProgramOptions::flag(const char *name, bool &value, const char *help)
{
    auto assign = [&value](const std::string &) {
        value = true;
        return true;
    };
    options_.push_back({name, help, false, assign});
    return *this;
}

void ProgramOptions::parse(int argc, char **argv)
{
    std::vector<poptOption> table;
    for (std::size_t i = 0; i < options_.size(); ++i) {
        const auto kind = options_[i].takesValue_ ? POPT_ARG_STRING : POPT_ARG_NONE;
        table.push_back({options_[i].name_, '\0', static_cast<unsigned>(kind), nullptr,
                         static_cast<int>(i) + 1, options_[i].help_, nullptr});
    }
    poptOption helpTable[] = {POPT_AUTOHELP POPT_TABLEEND};
    table.push_back(helpTable[0]);
    table.push_back(POPT_TABLEEND);
    const std::unique_ptr<poptContext_s, decltype(&poptFreeContext)> context(
        poptGetContext(nullptr, argc, const_cast<const char **>(argv), table.data(), 0),
        &poptFreeContext);
    int found = 0;
    while ((found = poptGetNextOpt(context.get())) > 0) {
        const std::unique_ptr<char, decltype(&std::free)> value(poptGetOptArg(context.get()),
                                                                &std::free);
        const Option &option = options_[static_cast<std::size_t>(found) - 1];
        if (!option.assign_(value ? value.get() : "")) {
            std::cerr << "--" << option.name_ << ": wrong value\n";
            std::exit(2);
        }
    }
    if (found < -1) {
        std::cerr << poptBadOption(context.get(), 0) << ": " << poptStrerror(found) << "\n";
        std::exit(2);
    }
}

std::uint64_t startStamp()
{
    const auto sinceEpoch = std::chrono::system_clock::now().time_since_epoch();
    const auto stamp = std::chrono::duration_cast<std::chrono::microseconds>(sinceEpoch);
    return static_cast<std::uint64_t>(stamp.count());
}

} // namespace cardamombay::support
