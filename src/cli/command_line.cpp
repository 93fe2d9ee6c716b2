#include <cardamombay/cli/command_line.hpp>

#include <popt.h>

#include <algorithm>
#include <memory>
#include <sstream>

namespace cardamombay::cli {

namespace {

constexpr std::size_t descriptionColumn = 28;

struct ContextDeleter
{
    void operator()(poptContext context) const { poptFreeContext(context); }
};

using ContextPtr = std::unique_ptr<std::remove_pointer_t<poptContext>, ContextDeleter>;

struct TextDeleter
{
    void operator()(char *text) const { std::free(text); } // popt allocates with malloc
};

using TextPtr = std::unique_ptr<char, TextDeleter>;

/// Index of an option is its popt value less one, since popt keeps zero for itself.
std::vector<poptOption> poptTable(const std::vector<Option> &options)
{
    std::vector<poptOption> table;
    for (std::size_t i = 0; i < options.size(); ++i) {
        const Option &option = options[i];
        const auto type = option.valueName_.empty() ? POPT_ARG_NONE : POPT_ARG_STRING;
        table.push_back({option.name_.c_str(), option.letter_, static_cast<unsigned>(type), nullptr,
                         static_cast<int>(i) + 1, nullptr, nullptr});
    }
    table.push_back(poptOption{});
    return table;
}

Error wrongUsage(const std::string &program, const std::string &option, const char *problem)
{
    return InvalidInput{
        {"command line", 0, 0}, option, problem, "run '" + program + " --help' for the usage"};
}

} // namespace

bool ParsedCommandLine::has(std::string_view name) const
{
    return std::any_of(options_.begin(), options_.end(),
                       [&](const GivenOption &option) { return option.name_ == name; });
}

std::string ParsedCommandLine::value(std::string_view name, std::string_view fallback) const
{
    const auto all = values(name);
    return all.empty() ? std::string(fallback) : all.back();
}

std::vector<std::string> ParsedCommandLine::values(std::string_view name) const
{
    std::vector<std::string> result;
    for (const auto &option : options_) {
        if (option.name_ == name)
            result.push_back(option.value_);
    }
    return result;
}

CommandLine::CommandLine(std::string program, std::string usage, std::vector<Option> options)
    : program_(std::move(program))
    , usage_(std::move(usage))
    , options_(std::move(options))
{
    options_.push_back({"help", '?', "", "show this help and exit"});
    options_.push_back({"version", 'V', "", "show the version and exit"});
}

Result<ParsedCommandLine> CommandLine::parse(int argc, const char *const *argv) const
{
    const auto table = poptTable(options_);
    // popt takes the argument vector without const but does not change it.
    const ContextPtr context(
        poptGetContext(program_.c_str(), argc, const_cast<const char **>(argv), table.data(), 0));
    ParsedCommandLine result;
    int found = 0;
    while ((found = poptGetNextOpt(context.get())) > 0) {
        const Option &option = options_[static_cast<std::size_t>(found) - 1];
        const TextPtr value(poptGetOptArg(context.get()));
        result.options_.push_back({option.name_, value ? value.get() : ""});
    }
    if (found < -1)
        return wrongUsage(program_, poptBadOption(context.get(), POPT_BADOPTION_NOALIAS),
                          poptStrerror(found));
    while (const char *argument = poptGetArg(context.get()))
        result.arguments_.emplace_back(argument);
    return result;
}

std::string CommandLine::help() const
{
    std::ostringstream out;
    out << "Usage: " << program_ << " [OPTION...] " << usage_ << "\n\nOptions:\n";
    for (const auto &option : options_) {
        std::string left = "  ";
        left += option.letter_ == '\0' ? "    " : std::string("-") + option.letter_ + ", ";
        left += "--" + option.name_;
        left += option.valueName_.empty() ? "" : "=" + option.valueName_;
        left.resize(std::max(descriptionColumn, left.size() + 2), ' ');
        out << left << option.description_ << '\n';
    }
    return out.str();
}

std::string CommandLine::version() const
{
    return program_ + " " CARDAMOMBAY_VERSION;
}

} // namespace cardamombay::cli
