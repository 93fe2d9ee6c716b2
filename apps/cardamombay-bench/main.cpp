/// \file
/// \brief Program: sends a workload to running entry VMs and reports what callers saw.
#include <cardamombay/cli/command_line.hpp>
#include <cardamombay/cli/exit_code.hpp>
#include <cardamombay/config/address_text.hpp>
#include <cardamombay/load/load_plot.hpp>
#include <cardamombay/load/load_run.hpp>

#include <boost/asio/io_context.hpp>

#include <filesystem>
#include <fstream>
#include <iostream>

using namespace cardamombay;

namespace {

constexpr const char *usage = "--entry IP:PORT [--entry IP:PORT ...] WORKLOAD.toml";

int fail(const Error &error)
{
    std::cerr << error << '\n';
    return cli::exitWrongInput;
}

Error wrongUsage(std::string problem, std::string remedy)
{
    return InvalidInput{{"command line", 0, 0}, "", std::move(problem), std::move(remedy)};
}

Result<std::vector<Address>> readEntries(const cli::ParsedCommandLine &line)
{
    std::vector<Address> entries;
    for (const auto &text : line.values("entry")) {
        const auto address = config::addressOf(text);
        if (!address || !load::isLoopback(*address))
            return wrongUsage("--entry " + text + " is no loopback address",
                              "load is for test deployments: give 127.x.x.x:PORT");
        entries.push_back(*address);
    }
    if (entries.empty())
        return wrongUsage("no entry VM is given", "add --entry IP:PORT");
    return entries;
}

void writeFile(const std::filesystem::path &file,
               void (*write)(std::ostream &, const load::LoadReport &),
               const load::LoadReport &report)
{
    std::ofstream out(file);
    write(out, report);
}

/// \returns false if the folder cannot be made.
bool writeReport(const std::string &folder, const load::LoadReport &report)
{
    load::writeText(std::cout, report);
    if (folder.empty())
        return true;
    const std::filesystem::path path(folder);
    std::error_code error;
    std::filesystem::create_directories(path, error);
    writeFile(path / "summary.csv", load::writeSummaryCsv, report);
    writeFile(path / "teams.csv", load::writeTeamsCsv, report);
    writeFile(path / "seconds.csv", load::writeSecondsCsv, report);
    writeFile(path / "report.txt", load::writeText, report);
    writeFile(path / "report.svg", load::writeSvg, report);
    return std::filesystem::exists(path / "report.svg");
}

int run(const load::Workload &workload, const std::vector<Address> &entries,
        const std::string &folder)
{
    boost::asio::io_context context(1);
    load::LoadRun loadRun(context, workload, entries);
    bool isWritten = false;
    loadRun.start([&](const load::LoadReport &report) { isWritten = writeReport(folder, report); });
    context.run();
    if (!isWritten)
        std::cerr << "cannot write into " << folder << '\n';
    return isWritten ? cli::exitOk : cli::exitFailed;
}

} // namespace

int main(int argc, char **argv)
{
    const cli::CommandLine commandLine(
        "cardamombay-bench", usage,
        {{"entry", 'e', "IP:PORT", "callers' listener of an entry VM; repeatable"},
         {"out", 'o', "FOLDER", "write CSV files and plots there"},
         {"seed", 's', "N", "seed in place of the workload's own"},
         {"check", 'c', "", "check the workload and exit"}});
    const auto line = commandLine.parse(argc, argv);
    if (!isOk(line))
        return fail(errorOf(line));
    const auto &given = valueOf(line);
    if (given.has("help") || given.has("version")) {
        std::cout << (given.has("help") ? commandLine.help() : commandLine.version());
        return cli::exitOk;
    }
    if (given.arguments_.size() != 1)
        return fail(wrongUsage("one workload file is needed", usage));
    auto workload = load::loadWorkload(given.arguments_.front());
    if (!isOk(workload))
        return fail(errorOf(workload));
    if (given.has("check"))
        return cli::exitOk;
    if (given.has("seed"))
        valueOf(workload).seed_ = std::strtoull(given.value("seed").c_str(), nullptr, 10);
    const auto entries = readEntries(given);
    if (!isOk(entries))
        return fail(errorOf(entries));
    return run(valueOf(workload), valueOf(entries), given.value("out"));
}
