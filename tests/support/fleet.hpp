/// \file
/// \brief A small deployment of real processes on 127.0.0.1.
#pragma once

#include "support/caller.hpp"
#include "support/process_harness.hpp"
#include "support/run_ledger.hpp"

#include <cardamombay/core/address.hpp>
#include <cardamombay/core/ids.hpp>

#include <cstdint>
#include <functional>
#include <string>
#include <string_view>
#include <vector>

namespace cardamombay::support {

/// \brief What to start. The defaults serve "lm" by two replicas of two VMs in one zone and the
/// plain service "app" under "/app", where POST /app/bookings is not idempotent.
struct FleetPlan
{
    std::vector<AvailabilityZone> zones_{AvailabilityZone{"zone-a"}};
    std::string region_ = "region-1"; ///< Of all zones; must be the one in the overlays.
    std::uint32_t domainsPerZone_ = 1;
    std::uint32_t enginesPerDomain_ = 4;
    std::uint32_t plainsPerZone_ = 1;
    std::string plainService_ = "app"; ///< What the VM list says they serve.
    std::uint32_t entries_ = 3;        ///< Spread over the zones in turn.
    std::vector<std::string> engineArguments_{"--tokens-per-second", "400"};
    std::vector<std::string> platformArguments_{"--vm-list-lag-ms", "200", "--weight-time-ms",
                                                "100"};
    std::string base_;           ///< Configuration; empty takes defaultBase().
    std::string settings_;       ///< Further lines of the daemons' settings.
    std::uint32_t replicas_ = 2; ///< Of "lm" in each zone, in the default configuration.
    std::uint32_t vmsPerReplica_ = 2;
    bool checksFencing_ = true;
    /// Puts a proxy into a link: the address at which \p client shall reach \p server. Clients are
    /// "caller", "entry" (any entry VM, to endpoints and peers), "engine", and each entry VM by
    /// name (to the platform and its seeds). Asked again for the same link, it gives the same
    /// address.
    std::function<Address(std::string_view client, std::string_view server, Address)> route_;
};

/// \brief One started process of the deployment.
struct FleetNode
{
    std::string name_;
    ProcessId process_{};
    Address address_; ///< Entry VMs: the callers' listener.
    Address peers_;   ///< Entry VMs only: listener of peers and operators.
    Address reached_; ///< Entry VMs only: where callers send to.
    AvailabilityZone zone_;
    std::string domain_;
};

/// \brief Starts the platform, engines, plain endpoints and entry VMs, and ends them all.
/// \code
/// Fleet fleet(PROGRAM_FOLDER, SOURCE_FOLDER, {});
/// fleet.start();
/// const auto answer = fleet.caller(0).complete({.service_ = "lm", .team_ = "red"});
/// \endcode
class Fleet
{
public:
    Fleet(std::filesystem::path programs, std::filesystem::path sources, FleetPlan plan);

    /// \brief startPlatform(), startEntries(), applyConfiguration() and waitUntilServing().
    void start();

    /// \name Steps of start()
    /// \{
    void startPlatform(); ///< Platform, engines and plain endpoints.
    void startEntries();
    void applyConfiguration();
    void waitUntilServing();
    /// \}

    /// \brief Stores a configuration; empty overlays takes one for each zone.
    /// \param on version that the files were made on; zero if there is none yet.
    /// \returns what cardamombayctl printed; throws if it failed.
    std::string apply(std::string_view base, std::vector<std::string> overlays = {},
                      std::uint64_t on = 0);

    /// \name Changes
    /// \{
    void restart(FleetNode &node);     ///< Same name, address and arguments; engines lose all.
    void leave(const FleetNode &node); ///< The platform lists it as leaving.
    /// \}

    [[nodiscard]] Caller caller(std::size_t entry) const;
    [[nodiscard]] std::size_t entryCount() const { return entries_.size(); }
    [[nodiscard]] ProcessHarness &harness() { return harness_; }
    [[nodiscard]] FleetNode &platform() { return platform_; }
    [[nodiscard]] std::vector<FleetNode> &engines() { return engines_; }
    [[nodiscard]] std::vector<FleetNode> &plains() { return plains_; }
    [[nodiscard]] std::vector<FleetNode> &entries() { return entries_; }

    /// \brief The base file that the plan stands for.
    [[nodiscard]] std::string defaultBase() const;

    /// \brief What all endpoints ran, also those killed since.
    [[nodiscard]] std::vector<RunRecord> runs() const;

    /// \brief Errors of all entry VMs, for messages of failed tests.
    [[nodiscard]] std::string entryLogs();

private:
    struct Launch
    {
        std::string name_;
        std::string program_;
        std::vector<std::string> arguments_;
    };

    FleetNode launchEndpoint(Launch launch, const AvailabilityZone &zone, std::string domain);
    void launchEntry(std::size_t index);
    void postVms();
    [[nodiscard]] std::string ledgerFile(const FleetNode &node) const;
    [[nodiscard]] std::string vmList() const;
    [[nodiscard]] std::string settingsOf(const FleetNode &entry) const;
    [[nodiscard]] Address routed(std::string_view client, const FleetNode &server,
                                 const Address &address) const;

    FleetPlan plan_;
    std::filesystem::path sources_;
    ProcessHarness harness_;
    FleetNode platform_;
    std::vector<FleetNode> engines_;
    std::vector<FleetNode> plains_;
    std::vector<FleetNode> entries_;
    std::vector<Launch> launches_;
    std::uint32_t ctlRuns_ = 0;
};

} // namespace cardamombay::support
