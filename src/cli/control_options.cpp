#include "cli/control_options.hpp"

#include "config/toml_reader.hpp"

#include <cardamombay/config/address_text.hpp>
#include <cardamombay/config/duration_text.hpp>
#include <cardamombay/config/text_file.hpp>

#include <charconv>
#include <cstdlib>

namespace cardamombay::cli {

namespace {

constexpr const char *storeVariable = "CARDAMOMBAY_STORE";
constexpr const char *entryVariable = "CARDAMOMBAY_ENTRY";
constexpr const char *authorVariable = "CARDAMOMBAY_AUTHOR";
constexpr const char *settingsVariable = "CARDAMOMBAYCTL_SETTINGS";

std::string fromEnvironment(const char *variable)
{
    const char *value = std::getenv(variable);
    return value ? value : "";
}

/// Values of the settings file, all optional.
struct FileValues
{
    std::string store_;
    std::string entry_;
    std::string author_;
};

Result<FileValues> readFile(const std::string &file)
{
    FileValues values;
    if (file.empty())
        return values;
    const auto text = config::readTextFile(file);
    if (!isOk(text))
        return errorOf(text);
    config::impl::Problems problems;
    if (const auto document = config::impl::parseToml(valueOf(text), file, problems)) {
        config::impl::TableReader root(*document, "", file, problems);
        root.read("store", values.store_);
        root.read("entry", values.entry_);
        root.read("author", values.author_);
        root.finish();
    }
    if (!problems.isEmpty())
        return Error(problems.sorted().front());
    return values;
}

/// The first of the three sources that says something.
std::string firstOf(const ParsedCommandLine &line, const char *option, const char *variable,
                    const std::string &fileValue)
{
    if (line.has(option))
        return line.value(option);
    const std::string value = fromEnvironment(variable);
    return value.empty() ? fileValue : value;
}

/// Each reader gives false if the text is there but cannot be read.
bool readAddress(const std::string &text, std::optional<Address> &target)
{
    if (text.empty())
        return true;
    target = config::addressOf(text);
    return target.has_value();
}

bool readVersion(const ParsedCommandLine &line, const char *option,
                 std::optional<ConfigVersion> &target)
{
    if (!line.has(option))
        return true;
    target = versionOf(line.value(option));
    return target.has_value();
}

bool readTimeout(const ParsedCommandLine &line, Duration &target)
{
    if (!line.has("timeout"))
        return true;
    const auto value = config::durationOf(line.value("timeout"));
    target = value.value_or(target);
    return value.has_value();
}

bool readCount(const ParsedCommandLine &line, std::uint32_t &target)
{
    if (!line.has("count"))
        return true;
    const auto value = versionOf(line.value("count"));
    constexpr std::uint64_t mostCount = 1000;
    const bool isRead = value && value->value() <= mostCount;
    if (isRead)
        target = static_cast<std::uint32_t>(value->value());
    return isRead;
}

} // namespace

const CommandLine &controlCommandLine()
{
    static const CommandLine line(
        "cardamombayctl", "COMMAND [OPERAND...]",
        {{"store", 's', "IP:PORT", "the platform's service (or CARDAMOMBAY_STORE)"},
         {"entry", 'e', "IP:PORT", "peer listener of an entry VM (or CARDAMOMBAY_ENTRY)"},
         {"settings", '\0', "FILE", "TOML with store, entry, author (or CARDAMOMBAYCTL_SETTINGS)"},
         {"json", 'j', "", "write JSON in place of tables"},
         {"on", '\0', "VERSION", "the version a change was made on"},
         {"target", '\0', "VERSION", "config status: wait for this version"},
         {"note", 'm', "TEXT", "why the change is made; kept in the history"},
         {"author", '\0', "NAME", "who makes it (or CARDAMOMBAY_AUTHOR, USER)"},
         {"out", 'o', "FOLDER", "config show: write the files here"},
         {"count", 'n', "NUMBER", "config history: how many versions (20)"},
         {"timeout", 't', "DURATION", "longest wait for an answer or for config status (30s)"}});
    return line;
}

Result<ControlOptions> readControlOptions(const ParsedCommandLine &line)
{
    const auto file = readFile(firstOf(line, "settings", settingsVariable, ""));
    if (!isOk(file))
        return errorOf(file);
    const FileValues &values = valueOf(file);
    ControlOptions options;
    options.arguments_ = line.arguments_;
    options.isJson_ = line.has("json");
    options.note_ = line.value("note");
    options.outputFolder_ = line.value("out");
    options.author_ = firstOf(line, "author", authorVariable, values.author_);
    if (options.author_.empty())
        options.author_ = fromEnvironment("USER");
    const char *addressRemedy = "give an IP number and port, such as 10.1.0.2:9000";
    const char *versionRemedy = "give a version number; 'config history' lists them";
    if (!readAddress(firstOf(line, "store", storeVariable, values.store_), options.store_))
        return wrongUsage("store", "it is not an address", addressRemedy);
    if (!readAddress(firstOf(line, "entry", entryVariable, values.entry_), options.entry_))
        return wrongUsage("entry", "it is not an address", addressRemedy);
    if (!readVersion(line, "on", options.on_))
        return wrongUsage("on", "it is not a version", versionRemedy);
    if (!readVersion(line, "target", options.version_))
        return wrongUsage("target", "it is not a version", versionRemedy);
    if (!readTimeout(line, options.timeout_))
        return wrongUsage("timeout", "it is not a duration", "give a duration such as 30s");
    if (!readCount(line, options.count_))
        return wrongUsage("count", "it is not a count", "give a number from 1 to 1000");
    return options;
}

Error wrongUsage(const std::string &key, std::string problem, std::string remedy)
{
    return InvalidInput{{"command line", 0, 0}, key, std::move(problem), std::move(remedy)};
}

std::optional<ConfigVersion> versionOf(std::string_view text)
{
    std::uint64_t number = 0;
    const char *const end = text.data() + text.size();
    const auto [rest, error] = std::from_chars(text.data(), end, number);
    const bool isNumber = error == std::errc() && rest == end && number != 0;
    return isNumber ? std::optional(ConfigVersion(number)) : std::nullopt;
}

} // namespace cardamombay::cli
