/// \file
/// \brief Many conditional writes of single rows in few transactions.
/// \details Collects row changes of one entry VM and commits them together, paced by its share of
/// the store's write budget: batches grow with the load while the number of transactions does not.
/// Changes that nobody waits for spend only credit that urgent ones leave.
/// A change whose condition fails is split out; the others are committed without it.
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

/// \brief A write of one row on the condition that its version is the expected one.
struct RowChange
{
    platform::RowKey key_;
    RowVersion expected_; ///< None: the row must be absent.
    std::optional<std::string> value_;
    TimePoint startBefore_ = TimePoint::max(); ///< Not submitted later.
    bool isUrgent_ = true; ///< If not, it waits for an urgent change or for spare credit.
};

/// \brief The change took effect.
struct RowWritten
{
    RowVersion version_;
};

/// \brief The condition failed; nothing was written. The row found has no version if it is gone.
struct RowConflict
{
    platform::Row row_;
};

/// \brief Result of a change. Of the errors only StoreAnswerLost may stand for an effect.
using RowChangeResult = std::variant<RowWritten, RowConflict, Error>;

/// \brief Receives the result of a change.
using RowChangeCallback = std::function<void(RowChangeResult)>;

/// \brief Bounds of the batches.
struct BatchPolicy
{
    double writesPerSecond_ = 200; ///< Transactions of all entry VMs together.
    double burst_ = 10;            ///< Transactions of one entry VM after a quiet time.
    std::size_t maxRows_ = 100;    ///< Most changes in a transaction.
    std::uint32_t inFlight_ = 2;   ///< Transactions of one entry VM at once.
    Duration batchDelay_ = std::chrono::milliseconds(2); ///< Wait for company of a first change.
    std::uint32_t conflicts_ = 8; ///< Tries of one change whose conflict cannot be read.
    platform::CommitPolicy commit_{.deadline_ = std::chrono::seconds(2),
                                   .isWriterSoleOwner_ = true};
};

/// \brief Counts, for metrics.
struct BatchCounts
{
    std::uint64_t transactions_ = 0;
    std::uint64_t changes_ = 0; ///< That took effect.
    std::uint64_t conflicts_ = 0;
};

/// \brief Commits row changes in batches. Results arrive by callback, never inline.
/// \details At most one change for a row may be pending. A row is changed by its writer only,
/// until it is deleted.
class RowBatcher
{
public:
    RowBatcher(Clock &clock, platform::TableStore &store, Random &random,
               platform::WriterTokens tokens, BatchPolicy policy = {});

    /// \brief Submits \p change; \p done is not called after this object is gone.
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
    void wake(Duration delay);
    void pump();
    void expire();
    void flush();
    void send(const Batch &batch);
    void judge(const Batch &batch, const Result<platform::CommitReceipt> &result);
    void readConflicts(const Batch &batch, const StoreConflict &conflict);
    void split(const Batch &batch, const StoreConflict &conflict,
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
    std::shared_ptr<char> alive_; ///< Callbacks hold it weakly.
};

} // namespace cardamombay::claims
