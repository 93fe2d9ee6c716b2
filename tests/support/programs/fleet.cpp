/// \file
/// \brief Program: runs a whole deployment on 127.0.0.1 from a base file and its overlays, for
/// experiments with cardamombay-bench; ends with SIGTERM or SIGINT.
#include "support/fleet.hpp"
#include "support/program_options.hpp"

#include <csignal>
#include <filesystem>
#include <fstream>
#include <iostream>
#include <sstream>

using namespace cardamombay;

namespace {

std::string readFile(const std::filesystem::path &path)
{
    std::ostringstream text;
    text << std::ifstream(path).rdbuf();
    return text.str();
}

/// Paths separated by commas.
std::vector<std::filesystem::path> splitPaths(const std::string &text)
{
    std::vector<std::filesystem::path> paths;
    std::istringstream in(text);
    for (std::string path; std::getline(in, path, ',');)
        paths.emplace_back(path);
    return paths;
}

void waitForSignal()
{
    sigset_t signals;
    sigemptyset(&signals);
    sigaddset(&signals, SIGTERM);
    sigaddset(&signals, SIGINT);
    sigprocmask(SIG_BLOCK, &signals, nullptr);
    int received = 0;
    sigwait(&signals, &received);
}

} // namespace

int main(int argc, char **argv)
{
    std::string base;
    std::string overlays;
    std::string plainService = "app";
    std::string region = "region-1";
    bool ignoresFencing = false;
    std::uint64_t engines = 4;
    std::uint64_t entries = 3;
    std::uint64_t tokensPerSecond = 50;
    support::ProgramOptions()
        .text("base", base, "base file of the configuration")
        .text("overlays", overlays, "overlays, one for each site, separated by commas")
        .text("region", region, "region that the overlays name")
        .text("plain-service", plainService, "service of the plain endpoint in each site")
        .flag("ignore-fencing", ignoresFencing, "engines take orders with an old fencing number")
        .number("engines", engines, "engine VMs in each site")
        .number("entries", entries, "entry VMs in all")
        .number("tokens-per-second", tokensPerSecond, "rate of one stream")
        .parse(argc, argv);

    support::FleetPlan plan;
    plan.zones_.clear();
    plan.region_ = region;
    plan.checksFencing_ = !ignoresFencing;
    plan.plainService_ = plainService;
    plan.enginesPerDomain_ = static_cast<std::uint32_t>(engines);
    plan.entries_ = static_cast<std::uint32_t>(entries);
    plan.engineArguments_ = {"--tokens-per-second", std::to_string(tokensPerSecond)};
    std::vector<std::string> texts;
    for (const auto &path : splitPaths(overlays)) {
        plan.zones_.emplace_back(path.stem().string()); // An overlay is named after its site.
        texts.push_back(readFile(path));
    }
    try {
        const auto programs = std::filesystem::canonical("/proc/self/exe").parent_path();
        support::Fleet fleet(programs, std::filesystem::current_path(), plan);
        fleet.startPlatform();
        fleet.startEntries();
        std::cout << fleet.apply(readFile(base), texts);
        for (const auto &entry : fleet.entries())
            std::cout << "--entry " << entry.address_ << ' ';
        std::cout << "\nlistening platform=" << fleet.platform().address_ << std::endl;
        waitForSignal();
    } catch (const std::exception &e) {
        std::cerr << e.what() << '\n';
        return 1;
    }
    return 0;
}
