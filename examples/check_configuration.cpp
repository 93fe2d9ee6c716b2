// Checks the files of a configuration and prints what they declare for each site.
//
//     example_check_configuration examples/wasata/base.toml examples/wasata/lac.toml ...
//
// The exit code is 0 for a valid configuration, else 2.
#include <cardamombay/cli/exit_code.hpp>
#include <cardamombay/config/config_parser.hpp>

#include <iostream>
#include <string>
#include <vector>

namespace {

using namespace cardamombay;

void printProblems(const std::vector<InvalidInput> &problems)
{
    for (const Error error : problems)
        std::cerr << messageOf(error) << "\n  remedy: " << remedyOf(error) << '\n';
}

void printService(const config::Service &service)
{
    std::cout << service.name_ << ":";
    for (const auto &site : service.capacity_)
        std::cout << ' ' << site.zone_ << '=' << site.replicas_;
    std::cout << " replicas of " << service.vmsPerReplica_ << " VM(s)\n";
}

} // namespace

int main(int argc, char **argv)
{
    const std::vector<std::string> files(argv + 1, argv + argc);
    if (files.empty()) {
        std::cerr << "usage: example_check_configuration BASE [OVERLAY...]\n";
        return cli::exitWrongInput;
    }
    const auto sources = config::loadSources(files.front(), {files.begin() + 1, files.end()});
    if (!isOk(sources)) {
        std::cerr << errorOf(sources) << '\n';
        return cli::exitWrongInput;
    }
    const auto configuration = config::parse(valueOf(sources), ConfigVersion{1});
    if (!isOk(configuration)) {
        printProblems(config::check(valueOf(sources)));
        return cli::exitWrongInput;
    }
    std::cout << "deployment " << valueOf(configuration).deployment_ << '\n';
    for (const auto &service : valueOf(configuration).services_)
        printService(service);
    return cli::exitOk;
}
