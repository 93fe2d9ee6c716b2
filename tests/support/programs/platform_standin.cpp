/// \file
/// \brief The platform's service as a program, for tests with real processes and for the demo.

#include "support/platform_standin.hpp"

#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>

#include <popt.h>

#include <csignal>
#include <exception>
#include <fstream>
#include <iostream>
#include <limits>
#include <memory>
#include <sstream>

namespace {

using namespace cardamombay;

constexpr int usageError = 2;

struct Arguments
{
    std::string ip_ = "127.0.0.1";
    int port_ = 0;
    std::string vmFile_;
    int vmListLag_ = 1000;
    int writesPerSecond_ = 400;
    int readsPerSecond_ = 2000;
    int weightTransfers_ = 8;
    int weightTime_ = 200;
};

bool parse(int argc, const char **argv, Arguments &arguments)
{
    char *ip = nullptr;
    char *vmFile = nullptr;
    const poptOption options[]
        = {{"ip", 0, POPT_ARG_STRING, &ip, 0, "IP number to listen on", "IP"},
           {"port", 0, POPT_ARG_INT, &arguments.port_, 0, "port to listen on; 0 chooses one", "N"},
           {"vms", 0, POPT_ARG_STRING, &vmFile, 0, "VM list as in docs/PLATFORM.md", "FILE"},
           {"vm-list-lag-ms", 0, POPT_ARG_INT, &arguments.vmListLag_, 0, "lag of the list", "MS"},
           {"writes-per-second", 0, POPT_ARG_INT, &arguments.writesPerSecond_, 0, "0: any", "N"},
           {"reads-per-second", 0, POPT_ARG_INT, &arguments.readsPerSecond_, 0, "0: any", "N"},
           {"weight-transfers", 0, POPT_ARG_INT, &arguments.weightTransfers_, 0, "at once", "N"},
           {"weight-time-ms", 0, POPT_ARG_INT, &arguments.weightTime_, 0, "of a transfer", "MS"},
           POPT_AUTOHELP POPT_TABLEEND};
    const std::unique_ptr<poptContext_s, poptContext (*)(poptContext)> context(
        poptGetContext("platform_standin", argc, argv, options, 0), poptFreeContext);
    const int end = poptGetNextOpt(context.get());
    if (end < -1) {
        std::cerr << poptBadOption(context.get(), 0) << ": " << poptStrerror(end) << "\n";
        return false;
    }
    if (ip)
        arguments.ip_ = ip;
    if (vmFile)
        arguments.vmFile_ = vmFile;
    const bool isPort
        = arguments.port_ >= 0 && arguments.port_ <= std::numeric_limits<std::uint16_t>::max();
    const bool hasNegative = arguments.vmListLag_ < 0 || arguments.writesPerSecond_ < 0
                             || arguments.readsPerSecond_ < 0 || arguments.weightTransfers_ < 0
                             || arguments.weightTime_ < 0;
    if (!isPort || hasNegative)
        std::cerr << "a number is out of range\n";
    return isPort && !hasNegative;
}

support::PlatformSettings settingsOf(const Arguments &arguments)
{
    support::PlatformSettings settings;
    settings.address_ = {arguments.ip_, static_cast<std::uint16_t>(arguments.port_)};
    settings.vmListLag_ = std::chrono::milliseconds(arguments.vmListLag_);
    settings.writesPerSecond_ = static_cast<std::uint32_t>(arguments.writesPerSecond_);
    settings.readsPerSecond_ = static_cast<std::uint32_t>(arguments.readsPerSecond_);
    settings.weightTransfers_ = static_cast<std::uint32_t>(arguments.weightTransfers_);
    settings.weightTransferTime_ = std::chrono::milliseconds(arguments.weightTime_);
    return settings;
}

int run(const Arguments &arguments)
{
    boost::asio::io_context context;
    support::PlatformStandin standin(context, settingsOf(arguments));
    if (!arguments.vmFile_.empty()) {
        const std::ifstream file(arguments.vmFile_);
        std::ostringstream text;
        text << file.rdbuf();
        if (!file || !standin.setVms(text.view())) {
            std::cerr << arguments.vmFile_ << ": no VM list as docs/PLATFORM.md defines it\n";
            return usageError;
        }
    }
    boost::asio::signal_set signals(context, SIGINT, SIGTERM);
    signals.async_wait([&](const auto &, int) { context.stop(); });
    std::cout << "listening port=" << standin.address().port_ << std::endl;
    context.run();
    return 0;
}

} // namespace

int main(int argc, char **argv)
{
    Arguments arguments;
    if (!parse(argc, const_cast<const char **>(argv), arguments))
        return usageError;
    try {
        return run(arguments);
    } catch (const std::exception &failure) {
        std::cerr << failure.what() << "\n";
        return 1;
    }
}
