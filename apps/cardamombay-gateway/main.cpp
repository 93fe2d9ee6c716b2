/// \file
/// \brief Program cardamombay-gateway: parses arguments, loads settings and runs the gateway.
#include "gateway_daemon.hpp"

#include <cardamombay/cli/command_line.hpp>
#include <cardamombay/cli/exit_code.hpp>
#include <cardamombay/log/events.hpp>
#include <cardamombay/log/log.hpp>

#include <iostream>
#include <string_view>

#include <malloc.h>

using namespace cardamombay;

namespace {

/// Blocks from this size on are given back to the system when they are freed. The allocator would
/// raise the limit with the first long body and keep the memory of the next ones.
constexpr int mappedBlockBytes = 128 * 1024;

log::Level levelOf(std::string_view name)
{
    if (name == "debug")
        return log::Level::Debug;
    if (name == "warn")
        return log::Level::Warning;
    return name == "error" ? log::Level::Error : log::Level::Info;
}

int fail(const Error &error, int code)
{
    std::cerr << "cardamombay-gateway: " << error << '\n';
    return code;
}

int runGateway(serving::GatewaySettings settings, std::string file)
{
    ::mallopt(M_MMAP_THRESHOLD, mappedBlockBytes);
    log::configure(levelOf(settings.logLevel_), log::Output::Standard);
    gateway::GatewayDaemon daemon(std::move(settings), std::move(file));
    const auto result = daemon.run();
    if (isOk(result)) {
        log::flush();
        return cli::exitOk;
    }
    const auto &error = errorOf(result);
    log::error(log::event::daemonFailed, {{"kind", std::string(kindOf(error))},
                                          {"problem", messageOf(error)},
                                          {"remedy", remedyOf(error)}});
    log::flush();
    return std::holds_alternative<InvalidInput>(error) ? cli::exitWrongInput : cli::exitFailed;
}

} // namespace

int main(int argc, char **argv)
{
    const cli::CommandLine line("cardamombay-gateway", "--settings FILE",
                                {{"settings", 's', "FILE", "process settings, TOML"},
                                 {"check", 'c', "", "check the settings and exit"}});
    const auto parsed = line.parse(argc, argv);
    if (!isOk(parsed))
        return fail(errorOf(parsed), cli::exitWrongInput);
    const auto &given = valueOf(parsed);
    if (given.has("help")) {
        std::cout << line.help();
        return cli::exitOk;
    }
    if (given.has("version")) {
        std::cout << line.version() << '\n';
        return cli::exitOk;
    }
    if (!given.has("settings")) {
        std::cerr << "cardamombay-gateway: --settings FILE is needed\n" << line.help();
        return cli::exitWrongInput;
    }
    auto loaded = serving::loadGatewaySettings(given.value("settings"));
    if (!isOk(loaded))
        return fail(errorOf(loaded), cli::exitWrongInput);
    if (given.has("check")) {
        std::cout << "settings are valid\n";
        return cli::exitOk;
    }
    return runGateway(valueOf(std::move(loaded)), given.value("settings"));
}
