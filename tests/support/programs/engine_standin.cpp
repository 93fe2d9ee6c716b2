/// \file
/// \brief Program: one model engine on 127.0.0.1.
#include "support/engine_standin.hpp"
#include "support/program_options.hpp"

#include <algorithm>
#include <cstdlib>
#include <iostream>
#include <optional>
#include <string>

using namespace cardamombay;

namespace {

/// Splits "IP:PORT"; exits with 2 if it is neither empty nor an address.
std::optional<Address> parseAddress(const std::string &text)
{
    if (text.empty())
        return std::nullopt;
    const auto colon = text.rfind(':');
    const int port = colon == std::string::npos ? 0 : std::atoi(text.c_str() + colon + 1);
    if (port <= 0 || port > 65535) {
        std::cerr << "--weights: IP:PORT is needed\n";
        std::exit(2);
    }
    return Address{text.substr(0, colon), static_cast<std::uint16_t>(port)};
}

} // namespace

int main(int argc, char **argv)
{
    std::string vm = "vm-1";
    std::string weights;
    std::string ledger;
    std::uint64_t port = 0;
    std::uint64_t incarnation = support::startStamp();
    std::uint64_t loadMs = 100;
    std::uint64_t tokensPerSecond = 200;
    std::uint64_t slots = 16;
    std::uint64_t lagMs = 500;
    bool ignoresFencing = false;
    support::ProgramOptions()
        .text("vm", vm, "name of this VM")
        .number("port", port, "port to listen on; 0 takes a free one")
        .number("incarnation", incarnation, "start number; default is a start stamp")
        .flag("ignore-fencing", ignoresFencing, "take orders with an old fencing number")
        .number("load-ms", loadMs, "time to load weights without a weight store")
        .text("weights", weights, "IP:PORT of the weight store")
        .number("tokens-per-second", tokensPerSecond, "rate of one stream")
        .number("slots", slots, "requests batched at once")
        .number("lag-ms", lagMs, "time between load reports")
        .text("ledger", ledger, "file to which runs are appended")
        .parse(argc, argv);

    support::EngineSettings settings;
    settings.vm_ = VmId{vm};
    settings.port_ = static_cast<std::uint16_t>(port);
    settings.incarnation_ = Incarnation{incarnation};
    settings.checksFencing_ = !ignoresFencing;
    settings.loadTime_ = std::chrono::milliseconds(loadMs);
    settings.weights_ = parseAddress(weights);
    settings.tokenTime_ = std::chrono::nanoseconds(std::chrono::seconds(1))
                          / static_cast<std::int64_t>(std::max<std::uint64_t>(tokensPerSecond, 1));
    settings.slots_ = static_cast<std::uint32_t>(std::max<std::uint64_t>(slots, 1));
    settings.loadInterval_ = std::chrono::milliseconds(lagMs);
    settings.ledgerFile_ = ledger;

    boost::asio::io_context context(1);
    support::EngineStandin engine(context, settings);
    support::runStandin(context, engine.port());
    return 0;
}
