/// \file
/// \brief Keeps a node's calls to the table service within its share and stops them in an outage.
/// \details Decides when a call may be sent and which calls fail at once while the store is down.
/// It never changes or repeats a call.
#pragma once

#include <cardamombay/core/clock.hpp>
#include <cardamombay/core/random.hpp>
#include <cardamombay/platform/table_store.hpp>

#include <cstdint>
#include <functional>
#include <memory>

namespace cardamombay::platform {

/// \brief Rates of the fleet and bounds of one node.
struct StorePacing
{
    double fleetWritesPerSecond_ = 300;
    double fleetReadsPerSecond_ = 1600;
    double leastWritesPerSecond_ = 1; ///< A node's share never falls below this.
    double leastReadsPerSecond_ = 2;
    double writeBurst_ = 16; ///< Calls sent without a wait after a quiet time.
    double readBurst_ = 64;
    std::size_t waitingCalls_ = 256; ///< For writes and reads each; further ones are refused.
    Duration longestWait_ = std::chrono::seconds(2);
    std::string urgentTable_ = "leases"; ///< Commits that write it go before others.
    std::uint32_t failuresToStop_ = 3;   ///< In a row; then the store counts as unreachable.
    Duration firstProbe_ = std::chrono::milliseconds(200);
    Duration longestProbe_ = std::chrono::seconds(5);
    Duration rampTime_ = std::chrono::seconds(10); ///< From no share to the whole share.
};

/// \brief Counters for metrics.
struct StorePacingCounters
{
    std::uint64_t writes_ = 0; ///< Sent on.
    std::uint64_t reads_ = 0;
    std::uint64_t refused_ = 0; ///< Answered here, because of rate or outage.
    std::uint64_t probes_ = 0;
    std::uint64_t outages_ = 0;
};

/// \brief Table service within a node's share of the fleet's rate.
/// \details Decides when a call is sent, never what it says; it repeats none. After several
/// failures in a row the store counts as unreachable: calls get StoreUnavailable at once, which
/// also tells callers of keyed requests that nothing was carried out, and a single read at growing,
/// jittered intervals finds out when the store is back. From then on, and after StoreThrottled, the
/// node starts with a small part of its share and rises to the whole over StorePacing::rampTime_,
/// so that a fleet which waited together does not return together.
/// \code
/// platform::PacedTableStore store(http, clock, random);
/// store.setFleetSize(entryMembers.size());
/// \endcode
class PacedTableStore final : public TableStore
{
public:
    PacedTableStore(TableStore &inner, Clock &clock, const Random &random, StorePacing pacing = {});
    ~PacedTableStore() override;

    void commit(Transaction transaction, Callback<CommitReceipt> done) override;
    void read(std::vector<RowKey> keys, Callback<std::vector<Row>> done) override;
    void scan(Scan scan, Callback<ScanPage> done) override;

    /// \brief Number of nodes that share the service; one until it is known.
    void setFleetSize(std::size_t nodes);

    /// \brief False from the failures that stopped calls to the first answer of a probe.
    [[nodiscard]] bool isReachable() const;

    /// \brief Time since the last answer of any kind, zero while reachable.
    [[nodiscard]] Duration unreachableFor() const;

    /// \brief Called at each change of isReachable().
    void setListener(std::function<void(bool isReachable)> listener);

    [[nodiscard]] const StorePacingCounters &counters() const;

private:
    class Impl;
    std::shared_ptr<Impl> impl_;
};

} // namespace cardamombay::platform
