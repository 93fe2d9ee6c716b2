/// \file
/// \brief Real processes on loopback: platform, engines, a plain endpoint and three entry VMs.
#pragma once

#include "support/caller.hpp"
#include "support/process_harness.hpp"

#include <cardamombay/core/address.hpp>

#include <cstdint>
#include <string>
#include <vector>

namespace cardamombay::test {

/// \brief What a test starts.
struct FleetPlan
{
    std::size_t engines_ = 4; ///< In one fabric domain; two make a group.
    std::size_t entries_ = 3;
    std::uint32_t tokensPerSecond_ = 400;
};

/// \brief A running fleet; its processes end with it.
class Fleet
{
public:
    explicit Fleet(const FleetPlan &plan = {});

    /// \brief Waits until each entry VM is ready and \p groups groups serve.
    void waitUntilServing(std::size_t groups);

    [[nodiscard]] Address entry(std::size_t index) const { return entries_.at(index).callers_; }
    [[nodiscard]] support::ProcessId entryProcess(std::size_t index) const
    {
        return entries_.at(index).process_;
    }
    [[nodiscard]] support::ProcessId engineProcess(std::size_t index) const
    {
        return engines_.at(index).process_;
    }
    [[nodiscard]] std::size_t engines() const { return engines_.size(); }
    /// \brief State of an engine as it reports it; empty if it does not answer.
    [[nodiscard]] std::string engineState(std::size_t index) const;
    /// \brief Index of the engine that runs a completion now; engines() if none does.
    [[nodiscard]] std::size_t runningEngine() const;
    /// \brief Stream events that entry VM \p index has passed on, by its metrics.
    [[nodiscard]] double tokensRelayed(std::size_t index) const;
    /// \brief Another member of the group that engine \p index belongs to.
    [[nodiscard]] std::size_t fellowOf(std::size_t index) const;

    support::ProcessHarness harness_{PROGRAM_FOLDER};

private:
    struct Endpoint
    {
        support::ProcessId process_{};
        std::uint16_t port_ = 0;
    };
    struct Entry
    {
        support::ProcessId process_{};
        Address callers_;
        std::uint16_t peers_ = 0;
    };

    void startEndpoints(const FleetPlan &plan);
    void startPlatform();
    void startEntries(std::size_t count);
    void applyConfiguration() const;
    [[nodiscard]] std::string vmList() const;
    [[nodiscard]] std::string settingsOf(std::size_t index) const;
    [[nodiscard]] std::string groupOf(std::size_t engine) const;

    std::vector<Endpoint> engines_;
    Endpoint plain_;
    Endpoint platform_;
    std::vector<Entry> entries_;
};

} // namespace cardamombay::test
