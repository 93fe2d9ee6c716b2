/// \file
/// \brief Program: the platform's service, for tests with real processes and for the demo.
#include "support/platform_standin.hpp"
#include "support/program_options.hpp"

#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>

#include <csignal>
#include <fstream>
#include <iostream>
#include <sstream>

using namespace cardamombay;

namespace {

bool loadVms(support::PlatformStandin &standin, const std::string &name)
{
    const std::ifstream file(name);
    std::ostringstream text;
    text << file.rdbuf();
    return file && standin.setVms(text.view());
}

} // namespace

int main(int argc, char **argv)
{
    constexpr int usageError = 2;
    std::string ip = "127.0.0.1";
    std::string vms;
    std::uint64_t port = 0;
    std::uint64_t vmListLag = 1000;
    std::uint64_t writes = 400;
    std::uint64_t reads = 2000;
    std::uint64_t transfers = 8;
    std::uint64_t transferTime = 200;
    support::ProgramOptions()
        .text("ip", ip, "IP number to listen on")
        .number("port", port, "port to listen on; 0 takes a free one")
        .text("vms", vms, "file with the VM list, as docs/PLATFORM.md defines it")
        .number("vm-list-lag-ms", vmListLag, "time until a change shows in the VM list")
        .number("writes-per-second", writes, "0 is no limit")
        .number("reads-per-second", reads, "0 is no limit")
        .number("weight-transfers", transfers, "transfers at once")
        .number("weight-time-ms", transferTime, "time of one transfer")
        .parse(argc, argv);

    support::PlatformSettings settings;
    settings.address_ = {ip, static_cast<std::uint16_t>(port)};
    settings.vmListLag_ = std::chrono::milliseconds(vmListLag);
    settings.writesPerSecond_ = static_cast<std::uint32_t>(writes);
    settings.readsPerSecond_ = static_cast<std::uint32_t>(reads);
    settings.weightTransfers_ = static_cast<std::uint32_t>(transfers);
    settings.weightTransferTime_ = std::chrono::milliseconds(transferTime);

    boost::asio::io_context context(1);
    support::PlatformStandin standin(context, settings);
    if (!vms.empty() && !loadVms(standin, vms)) {
        std::cerr << vms << ": no VM list as docs/PLATFORM.md defines it\n";
        return usageError;
    }
    boost::asio::signal_set signals(context, SIGINT, SIGTERM);
    signals.async_wait([&](const auto &, int) { context.stop(); });
    std::cout << "listening port=" << standin.address().port_ << std::endl;
    context.run();
    return 0;
}
