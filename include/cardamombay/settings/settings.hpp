/// \file
/// \brief Process settings of cardamombayd: what one process must know before it can ask anyone.
/// \details The settings say where this process stands and whom it talks to. What is the same on
/// every entry VM is not here but in the operators' configuration (module config). Settings are
/// read once at start; nothing is guessed, and a wrong file stops the start.
#pragma once

#include <cardamombay/core/address.hpp>
#include <cardamombay/core/ids.hpp>
#include <cardamombay/core/result.hpp>
#include <cardamombay/core/time.hpp>

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace cardamombay::settings {

/// \brief Bounds on what a caller may send.
struct Limits
{
    std::uint32_t headerBytes_ = 16 * 1024;
    std::uint32_t bodyBytes_ = 1024 * 1024;
    std::uint32_t connections_ = 4096;                 ///< Callers' connections at once.
    Duration readTimeout_ = std::chrono::seconds(10);  ///< For a whole request to arrive.
    Duration idleTimeout_ = std::chrono::seconds(60);  ///< For a connection without a request.
    Duration writeTimeout_ = std::chrono::seconds(30); ///< For a caller that does not read.

    friend bool operator==(const Limits &, const Limits &) = default;
};

/// \brief Times of a graceful shutdown.
struct DrainTimes
{
    Duration announce_ = std::chrono::seconds(3);   ///< Health check fails before work is refused.
    Duration inFlight_ = std::chrono::seconds(120); ///< Longest wait for requests in flight.

    friend bool operator==(const DrainTimes &, const DrainTimes &) = default;
};

/// \brief Periods of the control thread.
struct Intervals
{
    Duration exchange_ = std::chrono::milliseconds(500); ///< Between two digests to peers.
    Duration suspect_ = std::chrono::seconds(2);         ///< From suspicion to declaring dead.
    Duration probe_ = std::chrono::milliseconds(500);    ///< Between two probes of an endpoint.
    Duration freshness_ = std::chrono::seconds(2);       ///< Longest use of an observation.
    Duration vmList_ = std::chrono::seconds(2);          ///< Between two reads of the VM list.
    Duration configPoll_ = std::chrono::seconds(1);      ///< Between two polls by a poller.
    Duration plan_ = std::chrono::milliseconds(500);     ///< Between two runs of the planner.
    Duration leaseTerm_ = std::chrono::seconds(10);      ///< Term of a planner lease.

    friend bool operator==(const Intervals &, const Intervals &) = default;
};

/// \brief All process settings.
/// \code
/// const auto loaded = settings::load("/etc/cardamombay/cardamombayd.toml");
/// if (!isOk(loaded)) {
///     std::cerr << errorOf(loaded) << '\n'; // file, line, key and remedy
///     return cli::exitWrongInput;
/// }
/// \endcode
struct Settings
{
    EntryId entry_;
    AvailabilityZone zone_;
    RegionName region_;
    Address callers_;               ///< Listener for callers.
    Address peers_;                 ///< Listener for peers and operators.
    std::vector<Address> platform_; ///< The platform's service; the first that answers is used.
    std::vector<Address> seeds_;    ///< Peer listeners of some other entry VMs.
    Address advertised_;            ///< Where peers reach this entry VM; peers_ unless set.
    std::uint32_t trafficThreads_ = 2;
    std::string chartsFolder_ = "charts";
    std::string logLevel_ = "info"; ///< "trace", "debug", "info", "warn" or "error".
    std::string traceFile_;         ///< Spans are appended here; empty writes none.
    Limits limits_;
    DrainTimes drain_;
    Intervals intervals_;

    friend bool operator==(const Settings &, const Settings &) = default;
};

/// \brief Reads settings from TOML \p text.
/// \param text the TOML document.
/// \param file name for error messages.
/// \returns the settings, or InvalidInput for the first problem.
[[nodiscard]] Result<Settings> parse(std::string_view text, const std::string &file);

/// \brief All problems of a settings text, in order of lines; empty if it is valid.
[[nodiscard]] std::vector<InvalidInput> check(std::string_view text, const std::string &file);

/// \brief Reads settings from a file; a file that cannot be read is InvalidInput too.
[[nodiscard]] Result<Settings> load(const std::string &file);

} // namespace cardamombay::settings
