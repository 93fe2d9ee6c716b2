/// \file
/// \brief The users' platform as a stand-in, with real gateways before it.
#pragma once

#include "support/caller.hpp"
#include "support/process_harness.hpp"

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace cardamombay::test {

/// \brief What the stand-in's engines saw.
struct EngineReport
{
    std::vector<std::pair<std::string, int>> runs_; ///< Starts by request id.
    std::vector<std::string> violations_;
    std::vector<std::pair<std::string, int>> ports_; ///< Endpoints' own ports by id.
    /// When requests arrived by endpoint, since it named its limit; milliseconds.
    std::map<std::string, std::vector<std::int64_t>> arrivals_;
    int crashes_ = 0; ///< Endpoints that ended under a poison pill.
};

/// \brief What is behind a proxy. One hides from its callers that an endpoint's port is closed.
enum class Links { None, Store, StoreAndEndpoints };

/// \brief Three gateways before 12 engines in two fabric domains and two plain endpoints.
class Deployment
{
public:
    /// \brief Starts all and waits until every gateway is ready and serves both models.
    /// \param links what the gateways reach through a proxy that spoils what passes as told.
    explicit Deployment(Links links = Links::None);

    /// \name Callers
    /// \{
    /// \brief A completion in 20 events, by the stream route.
    load::CallResult stream(std::size_t gateway, const std::string &id,
                            const std::string &model = "m", const std::string &key = "key-a",
                            const std::string &path = "/stream/7") const;
    /// \brief A call to the plain service.
    load::CallResult call(std::size_t gateway, const std::string &path, const std::string &id,
                          const std::string &key = "key-a") const;
    /// \}

    /// \name What others do
    /// \{
    /// \brief Puts a configuration in force; \p extraRoute is served by the plain service if set.
    void configure(int version, const std::string &extraRoute = {}, bool hasKeyA = true) const;
    /// \brief Tells the stand-in something, such as "silence/e-0-1".
    void tell(const std::string &what, const std::string &body = {}) const;
    [[nodiscard]] EngineReport report() const;
    support::ProcessId startGateway(std::size_t number);
    /// \}

    /// \name Links, if there are any: one of each gateway to the store, one to each endpoint
    /// \{
    [[nodiscard]] std::size_t linkCount() const { return linkCount_; }
    /// \brief Tells the fault_proxy program something of a link, such as "faults".
    void controlLink(std::size_t link, const std::string &action,
                     const std::string &body = {}) const;
    /// \}

    [[nodiscard]] bool isReady(std::size_t gateway) const;
    [[nodiscard]] support::ProcessHarness &harness() { return harness_; }
    [[nodiscard]] support::ProcessId gateway(std::size_t number) const
    {
        return gateways_.at(number);
    }
    /// \brief Log lines of a gateway that hold \p text.
    [[nodiscard]] std::vector<std::string> logLinesContaining(std::size_t gateway,
                                                              const std::string &text) const;

    static constexpr std::size_t gatewayCount = 3;

private:
    struct Ports
    {
        std::uint16_t callers_ = 0;
        std::uint16_t readiness_ = 0;
        std::uint16_t digests_ = 0;
        std::uint16_t metrics_ = 0;
    };

    void openLinks(Links links);
    [[nodiscard]] std::uint16_t openLink(std::uint16_t target);

    support::ProcessHarness harness_;
    std::uint16_t store_ = 0;
    std::uint16_t proxy_ = 0;
    std::size_t linkCount_ = 0;
    std::vector<std::uint16_t> storeLinks_; ///< By gateway; empty without links.
    std::vector<Ports> ports_;
    std::vector<support::ProcessId> gateways_;
};

/// \brief Events of a stream; nothing if they do not rise by one from 1.
[[nodiscard]] std::size_t countSequentialEvents(const std::string &body);

} // namespace cardamombay::test
