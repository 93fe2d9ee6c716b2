/// \file
/// \brief Real gateways in front of a test double of the users' platform.
#pragma once

#include "support/caller.hpp"
#include "support/process_harness.hpp"

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace cardamombay::test {

/// \brief Observations of the test double's engines.
struct EngineReport
{
    std::vector<std::pair<std::string, int>> runs_; ///< Execution starts by request id.
    std::vector<std::string> violations_;
    std::vector<std::pair<std::string, int>> ports_; ///< Actual ports by endpoint id.
    /// Arrival times of requests by endpoint in milliseconds, since its last limit, cooldown or
    /// leaving command.
    std::map<std::string, std::vector<std::int64_t>> arrivals_;
    int crashes_ = 0; ///< Endpoint crashes caused by poison-pill requests.
    std::map<std::string, int> endpointCrashes_; ///< The same by endpoint id.
    /// Connections on which endpoints send bytes without end: open now, so far, and bytes sent.
    std::size_t endlessOpen_ = 0;
    std::size_t endlessStarted_ = 0;
    std::uint64_t endlessBytes_ = 0;
};

/// \brief Which connections pass through a fault proxy. The proxy accepts connections even if the
/// endpoint's port is closed.
enum class Links { None, Store, StoreAndEndpoints };

/// \brief Three gateways in front of 12 engines in two fabric domains and two plain endpoints.
class Deployment
{
public:
    /// \brief Starts all processes and waits until every gateway is ready and serves both models.
    /// \param links connections of the gateways that pass through the fault proxy.
    /// \param memoryMegabytes memory of each gateway's machine; 0 leaves it unset.
    /// \param bodyBytes largest body that the configuration allows.
    explicit Deployment(Links links = Links::None, std::uint32_t memoryMegabytes = 0,
                        std::size_t bodyBytes = std::size_t{1024} * 1024);

    /// \name Caller requests
    /// \{
    /// \brief Requests a completion of 20 events through the stream route.
    load::CallResult stream(std::size_t gateway, const std::string &id,
                            const std::string &model = "m", const std::string &key = "key-a",
                            const std::string &path = "/stream/7") const;
    /// \brief The same for a prompt with \p parts, such as "a:40,dead:90,b:200", and a path that no
    /// other request has.
    load::CallResult streamWithParts(std::size_t gateway, const std::string &id,
                                     const std::string &parts,
                                     const std::string &model = "m") const;
    /// \brief Sends a request to the plain service.
    load::CallResult call(std::size_t gateway, const std::string &path, const std::string &id,
                          const std::string &key = "key-a", std::string body = {}) const;
    /// \}

    /// \name Platform control
    /// \{
    /// \brief Publishes a configuration. \p extraRoute, if set, leads to the plain service.
    void configure(int version, const std::string &extraRoute = {}, bool hasKeyA = true) const;
    /// \brief Sends a command such as "silence/e-0-1" to the platform's test double.
    void tell(const std::string &what, const std::string &body = {}) const;
    [[nodiscard]] EngineReport report() const;
    support::ProcessId startGateway(std::size_t number);
    /// \}

    /// \name Proxied links: one from each gateway to the store, then one to each endpoint
    /// \{
    [[nodiscard]] std::size_t linkCount() const { return linkCount_; }
    /// \brief Sends an action such as "faults" or "cut" for a link to the fault_proxy program.
    void controlLink(std::size_t link, const std::string &action,
                     const std::string &body = {}) const;
    /// \}

    /// \brief Listen ports of a gateway.
    struct Ports
    {
        std::uint16_t callers_ = 0;
        std::uint16_t readiness_ = 0;
        std::uint16_t digests_ = 0;
        std::uint16_t metrics_ = 0;
    };

    [[nodiscard]] const Ports &ports(std::size_t gateway) const { return ports_.at(gateway); }
    [[nodiscard]] bool isReady(std::size_t gateway) const;
    [[nodiscard]] support::ProcessHarness &harness() { return harness_; }
    [[nodiscard]] support::ProcessId gateway(std::size_t number) const
    {
        return gateways_.at(number);
    }
    /// \brief Log lines of a gateway that contain \p text.
    [[nodiscard]] std::vector<std::string> logLinesContaining(std::size_t gateway,
                                                              const std::string &text) const;

    static constexpr std::size_t gatewayCount = 3;

private:
    [[nodiscard]] load::Call streamCall(std::size_t gateway, const std::string &id,
                                        const std::string &model, const std::string &key,
                                        const std::string &path) const;
    void openLinks(Links links);
    [[nodiscard]] std::uint16_t openLink(std::uint16_t target);

    support::ProcessHarness harness_;
    std::uint32_t memoryMegabytes_;
    std::size_t bodyBytes_;
    std::uint16_t store_ = 0;
    std::uint16_t proxy_ = 0;
    std::size_t linkCount_ = 0;
    std::vector<std::uint16_t> storeLinkPorts_; ///< Proxy port by gateway; empty without links.
    std::vector<Ports> ports_;
    std::vector<support::ProcessId> gateways_;
};

/// \brief Number of events in a stream; 0 unless their ids count up from 1 without a gap.
[[nodiscard]] std::size_t countSequentialEvents(const std::string &body);

} // namespace cardamombay::test
