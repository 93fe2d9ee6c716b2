#include "cli/commands.hpp"
#include "cli/config_files.hpp"
#include "cli/text_diff.hpp"
#include "cli/text_table.hpp"

#include <cardamombay/cli/exit_code.hpp>
#include <cardamombay/config/config_parser.hpp>

#include <boost/json.hpp>

#include <algorithm>
#include <ctime>
#include <iomanip>
#include <set>
#include <sstream>

namespace cardamombay::cli {

namespace json = boost::json;
using config::ConfigSources;
using config::StoredConfig;

namespace {

constexpr std::size_t shortHash = 12;

/// Wall-clock time of the operator's machine, for people who read the history.
std::string timeText()
{
    const std::time_t now = std::time(nullptr);
    std::tm parts{};
    gmtime_r(&now, &parts);
    std::ostringstream out;
    out << std::put_time(&parts, "%Y-%m-%dT%H:%M:%SZ");
    return out.str();
}

config::ChangeNote noteOf(const ControlOptions &options)
{
    return {options.author_, timeText(), options.note_};
}

/// Writes every problem of \p sources; gives their number.
std::size_t reportProblems(ControlSession &session, const ConfigSources &sources)
{
    const auto problems = config::check(sources);
    for (const auto &problem : problems)
        session.fail(problem);
    return problems.size();
}

Result<StoredConfig> fetch(ControlSession &session, std::optional<ConfigVersion> version)
{
    const auto link = session.store();
    if (!isOk(link))
        return errorOf(link);
    auto &store = valueOf(link)->config_;
    auto stored = session.loop().wait<StoredConfig>([&](Callback<StoredConfig> done) {
        if (version)
            store.fetchVersion(*version, std::move(done));
        else
            store.fetchCurrent(std::move(done));
    });
    const bool isFirst = !version && isError<NotFound>(stored);
    if (isFirst)
        session.err() << "cardamombayctl: nothing was applied yet; see 'config apply'\n";
    return stored;
}

Result<ConfigSources> sourcesOf(const Result<StoredConfig> &stored)
{
    if (!isOk(stored))
        return errorOf(stored);
    return config::decodeSources(valueOf(stored).record_.content_);
}

/// Tells who made the version that was accepted first.
void describeWinner(ControlSession &session, ConfigVersion winner)
{
    const auto stored = fetch(session, winner);
    if (!isOk(stored))
        return;
    const auto &note = valueOf(stored).record_.note_;
    session.err() << "  version " << winner << " is by "
                  << (note.author_.empty() ? "an unnamed operator" : note.author_) << " at "
                  << note.time_ << (note.text_.empty() ? "" : ": ") << note.text_ << '\n';
}

int reportAccepted(ControlSession &session, const Result<ConfigVersion> &result)
{
    if (!isOk(result)) {
        const int code = session.fail(errorOf(result));
        if (const auto *conflict = std::get_if<ConfigConflict>(&errorOf(result)))
            describeWinner(session, conflict->winner_);
        return code;
    }
    const auto version = valueOf(result).value();
    if (session.options().isJson_)
        session.out() << json::serialize(json::object{{"version", version}}) << '\n';
    else
        session.out() << "accepted version " << version
                      << "; 'cardamombayctl config status' tells where it is in force\n";
    return exitOk;
}

json::object jsonOf(const config::ConfigRecord &record)
{
    return {{"version", record.version_.value()}, {"hash", record.hash_},
            {"author", record.note_.author_},     {"time", record.note_.time_},
            {"note", record.note_.text_},         {"revert_to", record.revertTo_.value()}};
}

json::array jsonOf(const ConfigSources &sources)
{
    json::array files{{{"file", sources.base_.baseName()}, {"text", sources.base_.text_}}};
    for (const auto &overlay : sources.overlays_)
        files.push_back({{"file", overlay.baseName()}, {"text", overlay.text_}});
    return files;
}

void writeHeader(std::ostream &out, const config::ConfigRecord &record)
{
    out << "# version " << record.version_ << ", hash " << record.hash_.substr(0, shortHash);
    if (!record.note_.author_.empty())
        out << ", by " << record.note_.author_;
    if (!record.note_.time_.empty())
        out << " at " << record.note_.time_;
    if (!record.note_.text_.empty())
        out << ": " << record.note_.text_;
    out << '\n';
}

void writeFile(std::ostream &out, const config::SourceFile &source)
{
    out << "\n# ---- " << source.baseName() << "\n" << source.text_;
}

/// The text of the file named \p name; empty if there is none.
std::string textNamed(const ConfigSources &sources, const std::string &name)
{
    if (sources.base_.baseName() == name)
        return sources.base_.text_;
    for (const auto &overlay : sources.overlays_) {
        if (overlay.baseName() == name)
            return overlay.text_;
    }
    return {};
}

std::set<std::string> fileNames(const ConfigSources &sources)
{
    std::set<std::string> names{sources.base_.baseName()};
    for (const auto &overlay : sources.overlays_)
        names.insert(overlay.baseName());
    return names;
}

void writeDiff(std::ostream &out, const ConfigSources &before, const ConfigSources &after)
{
    auto names = fileNames(before);
    names.merge(fileNames(after));
    bool isSame = true;
    for (const auto &name : names) {
        const auto lines = diffLines(textNamed(before, name), textNamed(after, name));
        if (lines.empty())
            continue;
        isSame = false;
        out << "---- " << name << '\n';
        for (const auto &line : lines)
            out << line << '\n';
    }
    if (isSame)
        out << "no difference\n";
}

/// Both sides of "config diff": two versions, one version and the accepted one, or the accepted
/// one and files.
struct DiffSides
{
    Result<ConfigSources> before_;
    Result<ConfigSources> after_;
};

DiffSides diffSides(ControlSession &session)
{
    const auto first = versionOf(session.operand(0));
    if (!first)
        return {sourcesOf(fetch(session, std::nullopt)), readSources(session.operands())};
    return {sourcesOf(fetch(session, first)),
            sourcesOf(fetch(session, versionOf(session.operand(1))))};
}

} // namespace

int checkConfig(ControlSession &session)
{
    const auto sources = readSources(session.operands());
    if (!isOk(sources))
        return session.fail(errorOf(sources));
    const auto problems = reportProblems(session, valueOf(sources));
    if (problems != 0) {
        session.err() << "cardamombayctl: " << problems << " problem(s); nothing was applied\n";
        return exitWrongInput;
    }
    const auto parsed = config::parse(valueOf(sources), ConfigVersion{1});
    const auto &read = valueOf(parsed);
    session.out() << "valid: deployment " << read.deployment_ << ", " << read.sites_.size()
                  << " sites, " << read.services_.size() << " services, " << read.teams_.size()
                  << " teams\n";
    return exitOk;
}

int applyConfig(ControlSession &session)
{
    const auto sources = readSources(session.operands());
    if (!isOk(sources))
        return session.fail(errorOf(sources));
    if (reportProblems(session, valueOf(sources)) != 0)
        return exitWrongInput;
    const auto link = session.store();
    if (!isOk(link))
        return session.fail(errorOf(link));
    config::ConfigChange change{valueOf(sources),
                                session.options().on_.value_or(ConfigVersion{}),
                                noteOf(session.options()),
                                {}};
    const auto result = session.loop().wait<ConfigVersion>([&](Callback<ConfigVersion> done) {
        valueOf(link)->config_.apply(std::move(change), std::move(done));
    });
    const int code = reportAccepted(session, result);
    if (code == exitConflict && !session.options().on_)
        session.err() << "  hint: --on VERSION says which version your files are made on\n";
    return code;
}

int showConfig(ControlSession &session)
{
    const auto stored = fetch(session, versionOf(session.operand(0)));
    const auto sources = sourcesOf(stored);
    if (!isOk(sources))
        return session.fail(errorOf(sources));
    const auto &record = valueOf(stored).record_;
    const std::string &folder = session.options().outputFolder_;
    if (!folder.empty()) {
        const auto written = writeSources(valueOf(sources), folder);
        if (!isOk(written))
            return session.fail(errorOf(written));
        session.out() << "wrote version " << record.version_ << " to " << folder
                      << "; apply a change with --on " << record.version_ << '\n';
        return exitOk;
    }
    if (session.options().isJson_) {
        json::object object = jsonOf(record);
        object["files"] = jsonOf(valueOf(sources));
        session.out() << json::serialize(object) << '\n';
        return exitOk;
    }
    writeHeader(session.out(), record);
    writeFile(session.out(), valueOf(sources).base_);
    for (const auto &overlay : valueOf(sources).overlays_)
        writeFile(session.out(), overlay);
    return exitOk;
}

int diffConfig(ControlSession &session)
{
    const DiffSides sides = diffSides(session);
    if (!isOk(sides.before_))
        return session.fail(errorOf(sides.before_));
    if (!isOk(sides.after_))
        return session.fail(errorOf(sides.after_));
    writeDiff(session.out(), valueOf(sides.before_), valueOf(sides.after_));
    return exitOk;
}

int listConfigHistory(ControlSession &session)
{
    const auto link = session.store();
    if (!isOk(link))
        return session.fail(errorOf(link));
    using Records = std::vector<config::ConfigRecord>;
    const auto result = session.loop().wait<Records>([&](Callback<Records> done) {
        valueOf(link)->config_.history(session.options().count_, std::move(done));
    });
    if (!isOk(result))
        return session.fail(errorOf(result));
    if (session.options().isJson_) {
        json::array list;
        for (const auto &record : valueOf(result))
            list.push_back(jsonOf(record));
        session.out() << json::serialize(json::object{{"versions", list}}) << '\n';
        return exitOk;
    }
    TextTable table({"VERSION", "TIME", "AUTHOR", "HASH", "CONTENT OF", "NOTE"});
    for (const auto &record : valueOf(result))
        table.add({std::to_string(record.version_.value()), record.note_.time_,
                   record.note_.author_, record.hash_.substr(0, shortHash),
                   record.revertTo_.isNone() ? "" : std::to_string(record.revertTo_.value()),
                   record.note_.text_});
    session.out() << table;
    return exitOk;
}

int rollbackConfig(ControlSession &session)
{
    const auto target = versionOf(session.operand(0));
    if (!target)
        return session.fail(wrongUsage("VERSION", "the version to bring back is missing",
                                       "'cardamombayctl config history' lists the versions"));
    const auto current = fetch(session, std::nullopt);
    if (!isOk(current))
        return session.fail(errorOf(current));
    const auto expected = session.options().on_.value_or(valueOf(current).record_.version_);
    const auto result = session.loop().wait<ConfigVersion>([&](Callback<ConfigVersion> done) {
        valueOf(session.store())
            ->config_.rollback(*target, expected, noteOf(session.options()), std::move(done));
    });
    return reportAccepted(session, result);
}

} // namespace cardamombay::cli
