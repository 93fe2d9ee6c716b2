/// \file
/// \brief Batches conditional writes of single rows into few transactions.
/// \details Collects row changes of one entry VM and commits them together. A token bucket with the
/// entry VM's share of the store's write budget limits the rate, so under load the batches grow
/// instead of the number of transactions. Changes that no caller waits for only use credit that
/// urgent changes leave over. A change whose condition fails is removed from its batch, and the
/// other changes are committed without it.
#pragma once

#include <cardamombay/core/clock.hpp>
#include <cardamombay/core/random.hpp>
#include <cardamombay/platform/reliable_commit.hpp>

#include <cstdint>
#include <deque>
#include <functional>
#include <memory>
#include <variant>
#include <vector>

namespace cardamombay::claims {

/// \brief A write of one row, conditional on its current version.
struct RowChange
{
    platform::RowKey key_;
    RowVersion expected_; ///< None if the row must be absent.
    std::optional<std::string> value_;
    TimePoint startBefore_ = TimePoint::max(); ///< Fails if not sent to the store by then.
    bool isUrgent_ = true; ///< If false, it waits for an urgent change or for spare credit.
};

/// \brief The change was committed.
struct RowWritten
{
    RowVersion version_;
};

/// \brief The condition failed and nothing was written. row_ has no version if the row is absent.
struct RowConflict
{
    platform::Row row_;
};

/// \brief Result of a change. Of the errors, only StoreAnswerLost may mean that it was committed.
using RowChangeResult = std::variant<RowWritten, RowConflict, Error>;

/// \brief Callback that receives the result of a change.
using RowChangeCallback = std::function<void(RowChangeResult)>;

/// \brief Rate and size limits of batches.
struct BatchPolicy
{
    double writesPerSecond_ = 200; ///< Transactions per second of all entry VMs together.
    double burst_ = 10;            ///< Transactions of one entry VM after an idle time.
    std::size_t maxRows_ = 100;    ///< Maximum changes per transaction.
    std::uint32_t inFlight_ = 2;   ///< Maximum concurrent transactions of one entry VM.
    Duration batchDelay_ = std::chrono::milliseconds(2); ///< Time to collect further changes.
    std::uint32_t maxConflicts_ = 8; ///< Maximum attempts if the conflicting row cannot be read.
    platform::CommitPolicy commit_{.deadline_ = std::chrono::seconds(2),
                                   .isWriterSoleOwner_ = true};
};

/// \brief Counters for metrics.
struct BatchCounts
{
    std::uint64_t transactions_ = 0;
    std::uint64_t changes_ = 0; ///< Committed changes.
    std::uint64_t conflicts_ = 0;
};

/// \brief Commits row changes in batches. Callbacks are never called synchronously.
/// \details At most one change per row may be pending. Until a row is deleted, only its writer may
/// change it.
class RowBatcher
{
public:
    RowBatcher(Clock &clock, platform::TableStore &store, Random &random,
               platform::WriterTokens tokens, BatchPolicy policy = {});

    /// \brief Submits \p change. \p done is not called after this object is destroyed.
    void submit(RowChange change, RowChangeCallback done);

    /// \brief Sets the number of entry VMs that share the write budget.
    void setEntryCount(std::uint32_t count);

    [[nodiscard]] std::size_t waiting() const { return queue_.size(); }
    [[nodiscard]] const BatchCounts &counts() const { return counts_; }

private:
    struct Item
    {
        RowChange change_;
        RowChangeCallback done_;
        std::uint32_t conflicts_ = 0;
    };
    using Batch = std::shared_ptr<std::vector<Item>>;

    void refill();
    [[nodiscard]] double creditNeeded() const;
    void schedulePump(Duration delay);
    void pump();
    void rejectLateChanges();
    void sendNextBatch();
    void send(const Batch &batch);
    void handleCommitResult(const Batch &batch, const Result<platform::CommitReceipt> &result);
    void readConflicts(const Batch &batch, const StoreConflict &conflict);
    void resolveConflicts(const Batch &batch, const StoreConflict &conflict,
                          const std::vector<platform::Row> &rows);
    void requeue(Item item);

    Clock &clock_;
    platform::TableStore &store_;
    platform::WriterTokens tokens_;
    BatchPolicy policy_;
    platform::ReliableCommit commit_;
    std::deque<Item> queue_;
    std::size_t urgent_ = 0; ///< Urgent items in the queue.
    std::uint32_t entryCount_ = 1;
    std::uint32_t inFlight_ = 0;
    double credit_;
    TimePoint refilledAt_;
    TimerId timer_ = TimerId::None;
    TimePoint timerDue_{};
    BatchCounts counts_;
    std::shared_ptr<char> alive_; ///< Callbacks hold a weak_ptr to detect destruction.
};

} // namespace cardamombay::claims
