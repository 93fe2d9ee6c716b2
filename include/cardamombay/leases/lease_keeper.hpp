/// \file
/// \brief Acquires, renews and releases the planner lease of one fabric domain.
///
/// The holder is the only process that plans the fabric domain and sends orders to its VMs, so that
/// no VM belongs to two groups. Orders carry the epoch of the lease as their fencing token, and
/// the holder sends none once the lease may have expired. Clocks of different processes are never
/// compared: a candidate waits until the row has been unchanged for the lease duration on its own
/// clock.
#pragma once

#include <cardamombay/chart/machine.hpp>
#include <cardamombay/core/clock.hpp>
#include <cardamombay/core/random.hpp>
#include <cardamombay/leases/lease_row.hpp>
#include <cardamombay/leases/lease_settings.hpp>
#include <cardamombay/platform/reliable_commit.hpp>
#include <cardamombay/platform/table_store.hpp>

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string_view>
#include <vector>

namespace cardamombay::leases {

class LeaseKeeper;

/// \brief State machine of charts/lease.toml bound to its code; shared by all keepers of a process.
using LeaseProgramPtr = chart::ProgramPtr<LeaseKeeper>;

/// \brief Planner lease of one fabric domain as seen by one entry VM.
/// \code
/// LeaseKeeper lease(clock, store, Random(seed), LeaseSettings{}, self, incarnation, domain,
///                   program);
/// lease.setCandidateRank(candidateRank(domain, self, aliveEntries));
/// lease.start();
/// if (lease.isHeldFor(margin))
///     sendOrder(lease.epoch());
/// \endcode
class LeaseKeeper
{
public:
    LeaseKeeper(Clock &clock, platform::TableStore &store, Random random, LeaseSettings settings,
                EntryId self, Incarnation incarnation, FabricDomain domain,
                LeaseProgramPtr program);
    LeaseKeeper(const LeaseKeeper &) = delete;
    LeaseKeeper &operator=(const LeaseKeeper &) = delete;
    ~LeaseKeeper();

    /// \brief Binds \p chart, loaded from charts/lease.toml, to the code.
    [[nodiscard]] static Result<LeaseProgramPtr> bind(const chart::Chart &chart);

    /// \name Control
    /// \{

    /// \brief Starts competing for the lease; does nothing if already started.
    void start();

    /// \brief Sets the rank among the candidates; without a rank it stops competing.
    /// \details A holder without a rank releases the lease, so that planning moves to a candidate
    /// of the current membership.
    void setCandidateRank(std::optional<std::uint32_t> rank);

    /// \brief Releases the lease and stops competing; the next holder need not wait for expiry.
    void release();

    /// \brief Discards everything known of the row after the store was restored from a backup.
    /// \details Ends the lease if it is held here. The lease is not acquired again until any lease
    /// granted before the restore has expired: its row may be missing from the backup, and its
    /// holder may not know of the restore.
    /// \param timeline new timeline of the store; a later timeline has higher epochs.
    void storeRestored(StoreTimeline timeline);

    /// \brief Sets the timeline of the store when no process can have held the lease before.
    void setTimeline(StoreTimeline timeline) { timeline_ = timeline; }

    /// \brief Sets the handler for changes of isHeld(), called from timers and store callbacks.
    void onChange(std::function<void()> action) { onChange_ = std::move(action); }
    /// \}

    /// \name State, evaluated against the clock on each call
    /// \{

    /// \brief True while this process holds the lease and no other process can.
    [[nodiscard]] bool isHeld() const { return isHeldFor(Duration::zero()); }

    /// \brief True if the lease is held and stays valid for more than \p remaining.
    [[nodiscard]] bool isHeldFor(Duration remaining) const;

    /// \brief Expiry of the lease unless it is renewed; in the past if it is not held.
    [[nodiscard]] TimePoint heldUntil() const { return heldUntil_; }

    /// \brief Time until which orders of the previous holder may still arrive.
    [[nodiscard]] TimePoint previousOrdersUntil() const { return previousOrdersUntil_; }

    /// \brief Fencing token of the current or last tenure; none before the first.
    [[nodiscard]] Epoch epoch() const { return epoch_; }

    /// \brief Row version of the commit that began the current or last tenure.
    [[nodiscard]] RowVersion epochVersion() const { return epochVersion_; }

    /// \brief Condition that fails a transaction once another process has acquired the lease.
    [[nodiscard]] platform::Condition fence() const { return {epochKey(domain_), epochVersion_}; }

    /// \brief True once the lease is released and no store operation is pending.
    [[nodiscard]] bool isReleased() const { return !isWanted() && machine_.isIn("resting"); }

    [[nodiscard]] std::string_view state() const { return machine_.state(); }
    [[nodiscard]] const FabricDomain &domain() const { return domain_; }
    [[nodiscard]] const LeaseSettings &settings() const { return settings_; }
    /// \}

private:
    /// Newest version of the lease row read so far.
    struct ObservedRow
    {
        LeaseRow row_;
        RowVersion version_;
        TimePoint firstSeenAt_{}; ///< When this version was first read.
    };

    void handle(std::string_view event);
    void updateContention();
    [[nodiscard]] bool isWanted() const { return isStarted_ && rank_.has_value(); }

    /// \name Actions and guards of charts/lease.toml
    /// \{
    void readRow();
    void scheduleRead();
    [[nodiscard]] bool canAcquire() const;
    void acquire();
    void becomeHolder();
    void renew();
    void extend();
    void retryRenewal();
    void sendRelease();
    void retryRelease();
    void endTenure();
    /// \}

    void recordRow(const std::vector<platform::Row> &rows);
    [[nodiscard]] Duration timeUntilTakeover() const;
    [[nodiscard]] TimePoint earliestTakeoverAfterRestore() const;
    void write(LeaseRow row);
    void onCommitted(const Result<platform::CommitReceipt> &result);
    void scheduleEvent(Duration delay, std::string_view event);
    void cancelEvent();
    void scheduleExpiry();
    void notifyIfChanged();
    [[nodiscard]] Duration withJitter(Duration delay);
    [[nodiscard]] Duration nextBackoff();

    Clock &clock_;
    platform::TableStore &store_;
    Random random_;
    LeaseSettings settings_;
    EntryId self_;
    Incarnation incarnation_;
    FabricDomain domain_;
    platform::WriterTokens tokens_;
    platform::ReliableCommit commits_;
    chart::Machine<LeaseKeeper> machine_;
    std::function<void()> onChange_;

    bool isStarted_ = false;
    bool isHolder_ = false; ///< The row names this process according to its last commit.
    bool wasHeldAtLastNotification_ = false;
    std::optional<std::uint32_t> rank_;
    std::optional<ObservedRow> observedRow_;
    LeaseRow written_; ///< Row content of the last write.
    TimePoint sentAt_{};
    Epoch epoch_;
    RowVersion epochVersion_;
    RowVersion leaseVersion_;
    TimePoint heldUntil_{};
    TimePoint previousOrdersUntil_{};
    StoreTimeline timeline_;
    std::optional<TimePoint> restoredAt_;
    Duration backoff_{};
    TimerId timer_ = TimerId::None;
    TimerId expiryTimer_ = TimerId::None;
    std::shared_ptr<bool> isAlive_ = std::make_shared<bool>(true);
};

} // namespace cardamombay::leases
