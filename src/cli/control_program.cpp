#include <cardamombay/cli/control_program.hpp>

#include "cli/commands.hpp"

#include <cardamombay/cli/exit_code.hpp>

#include <algorithm>
#include <array>
#include <ostream>
#include <string_view>

namespace cardamombay::cli {

namespace {

using Handler = int (*)(ControlSession &);

/// A command: its words, its operands for the help text, and what runs it.
struct Command
{
    std::array<std::string_view, 2> words_; ///< The second one may be empty.
    std::string_view operands_;
    std::string_view description_;
    Handler handler_;
};

constexpr std::array commands{
    Command{
        {"config", "check"}, "FILES", "check base and overlays, list all problems", checkConfig},
    Command{{"config", "apply"}, "FILES", "make them the next version (--on, --note)", applyConfig},
    Command{{"config", "show"}, "[VERSION]", "the accepted version, or that one", showConfig},
    Command{{"config", "diff"}, "FILES | VERSION [VERSION]", "what differs", diffConfig},
    Command{{"config", "history"}, "", "the latest versions", listConfigHistory},
    Command{{"config", "rollback"},
            "VERSION",
            "bring its content back as a new version",
            rollbackConfig},
    Command{{"config", "status"}, "", "wait until it is in force everywhere", waitForConfig},
    Command{{"status", ""}, "", "an entry VM, its peers, the services", showStatus},
    Command{{"groups", ""}, "", "the groups and why one is not in use", showGroups},
    Command{{"vms", ""}, "", "the endpoint VMs", showVms},
    Command{{"events", ""}, "", "what was decided lately", showEvents},
    Command{{"explain", "group"}, "ID", "why the group is as it is", explainGroup},
    Command{{"explain", "request"}, "ID", "what became of a request", explainRequest},
    Command{{"drain", "entry"}, "", "stop the entry VM gracefully", drainEntry},
    Command{{"drain", "vm"}, "ID", "give the VM no new work", drainVm},
    Command{{"undrain", "vm"}, "ID", "give the VM work again", undrainVm},
};

constexpr std::size_t descriptionColumn = 44;

std::size_t wordCount(const Command &command)
{
    return command.words_[1].empty() ? 1 : 2;
}

bool matches(const Command &command, const std::vector<std::string> &arguments)
{
    const std::size_t count = wordCount(command);
    return arguments.size() >= count
           && std::equal(arguments.begin(), arguments.begin() + static_cast<std::ptrdiff_t>(count),
                         command.words_.begin());
}

void writeHelp(std::ostream &out)
{
    out << controlCommandLine().help() << "\nCommands:\n";
    for (const auto &command : commands) {
        std::string left = "  ";
        left += command.words_[0];
        for (const auto part : {command.words_[1], command.operands_}) {
            if (!part.empty())
                left.append(" ").append(part);
        }
        left.resize(std::max(descriptionColumn, left.size() + 2), ' ');
        out << left << command.description_ << '\n';
    }
    out << "\nFILES is a folder with base.toml and overlays, or the base file and its overlays.\n"
           "Exit codes: 0 done, 1 failed, 2 wrong usage or input, 3 another change was first.\n";
}

int runCommand(ControlSession &session)
{
    const auto &arguments = session.options().arguments_;
    const auto command
        = std::find_if(commands.begin(), commands.end(), [&arguments](const Command &candidate) {
              return matches(candidate, arguments);
          });
    if (command == commands.end())
        return session.fail(wrongUsage(arguments.empty() ? "COMMAND" : arguments.front(),
                                       "there is no such command",
                                       "run 'cardamombayctl --help' for the commands"));
    session.setCommandWords(wordCount(*command));
    return command->handler_(session);
}

int reportUsage(std::ostream &err, const Error &error)
{
    err << "cardamombayctl: " << messageOf(error) << "\n  remedy: " << remedyOf(error) << '\n';
    return exitWrongInput;
}

} // namespace

int runControlProgram(int argc, const char *const *argv, std::ostream &out, std::ostream &err)
{
    const auto line = controlCommandLine().parse(argc, argv);
    if (!isOk(line))
        return reportUsage(err, errorOf(line));
    if (valueOf(line).has("help")) {
        writeHelp(out);
        return exitOk;
    }
    if (valueOf(line).has("version")) {
        out << controlCommandLine().version() << '\n';
        return exitOk;
    }
    auto options = readControlOptions(valueOf(line));
    if (!isOk(options))
        return reportUsage(err, errorOf(options));
    ControlSession session(valueOf(std::move(options)), out, err);
    return runCommand(session);
}

} // namespace cardamombay::cli
