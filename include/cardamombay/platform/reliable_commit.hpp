/// \file
/// \brief Commits whose effect is known: resolves lost answers by the writer token.
/// \details Decides whether a transaction took effect, by reading back its unique writer token; it
/// never assumes. It guards the promises that rest on transactions: one group for each VM, at most
/// one hand-over, one winner among configurations.
#pragma once

#include <cardamombay/core/clock.hpp>
#include <cardamombay/core/random.hpp>
#include <cardamombay/platform/table_store.hpp>

#include <cstdint>
#include <memory>

namespace cardamombay::platform {

/// \brief Makes writer tokens "entry.incarnation.number", each unique.
/// \details The incarnation must differ between two starts of one entry VM.
class WriterTokens
{
public:
    WriterTokens(EntryId entry, Incarnation incarnation)
        : entry_(std::move(entry))
        , incarnation_(incarnation)
    {
    }

    /// \brief A token that was never given out before.
    [[nodiscard]] WriterToken next();

private:
    EntryId entry_;
    Incarnation incarnation_;
    std::uint64_t number_ = 0;
};

/// \brief Bounds of the retries of one commit.
struct CommitPolicy
{
    Duration firstDelay_ = std::chrono::milliseconds(20); ///< Doubles with each retry.
    Duration longestDelay_ = std::chrono::seconds(1);
    Duration deadline_ = std::chrono::seconds(10); ///< No try starts later than this.
    /// \brief Rows, once written by a writer, are changed by that writer only; then a conflict on
    /// a row of another writer proves that the transaction never took effect.
    bool isWriterSoleOwner_ = false;
};

/// \brief Counts, for metrics.
struct CommitCounts
{
    std::uint64_t tries_ = 0;
    std::uint64_t lostAnswers_ = 0;
    std::uint64_t provenByToken_ = 0; ///< Lost answers resolved as "took effect".
    std::uint64_t unresolved_ = 0;    ///< Given back as StoreAnswerLost.
};

/// \brief Commits a transaction and finds out whether it took effect.
/// \details A lost answer is followed by the same transaction with the same writer token. If that
/// conflicts on a row that carries the token, the earlier try took effect. If it conflicts on a
/// row of another writer, the rows it puts are read: one with the token proves the effect, too.
/// Without proof the answer stays StoreAnswerLost: another writer may have replaced the row after
/// the commit, and a read may be stale, so absence of the token proves nothing.
///
/// Errors: StoreConflict, StoreUnavailable and StoreThrottled mean that nothing was written;
/// StoreAnswerLost that the effect is unknown: read the rows and decide anew.
///
/// A condition "absent" does not protect against a late copy of the request if the row can be
/// deleted meanwhile; write a marker in place of a deletion where that matters.
///
/// \code
/// ReliableCommit commit(clock, store, random);
/// commit.commit({tokens.next(), {{key, seen}}, {{key, value}}}, [](Result<CommitReceipt> result) {
///     ...
/// });
/// \endcode
class ReliableCommit
{
public:
    ReliableCommit(Clock &clock, TableStore &store, Random &random, CommitPolicy policy = {});
    ~ReliableCommit();
    ReliableCommit(const ReliableCommit &) = delete;
    ReliableCommit &operator=(const ReliableCommit &) = delete;

    /// \brief Commits \p transaction.
    /// \param transaction needs a unique writer token and a condition on a row it writes, so
    /// that it cannot take effect twice; without these the answer is InvalidInput.
    /// \param done receives the result; not called after this object is gone.
    void commit(Transaction transaction, Callback<CommitReceipt> done);

    /// \overload
    /// \param deadline replaces that of the policy.
    void commit(Transaction transaction, Duration deadline, Callback<CommitReceipt> done);

    [[nodiscard]] const CommitCounts &counts() const { return counts_; }

private:
    struct Operation;
    using OperationPtr = std::shared_ptr<Operation>;

    void attempt(const OperationPtr &operation);
    void judge(const OperationPtr &operation, Result<CommitReceipt> result);
    void judgeConflict(const OperationPtr &operation, const StoreConflict &conflict);
    [[nodiscard]] bool provesNoEffect(const StoreConflict &conflict) const;
    void searchToken(const OperationPtr &operation);
    void retry(const OperationPtr &operation, Duration atLeast, Error error);
    void giveUp(const OperationPtr &operation, Error error);
    [[nodiscard]] Duration nextDelay(Operation &operation);

    Clock &clock_;
    TableStore &store_;
    Random &random_;
    CommitPolicy policy_;
    CommitCounts counts_;
    std::shared_ptr<char> alive_; ///< Callbacks hold it weakly.
};

} // namespace cardamombay::platform
