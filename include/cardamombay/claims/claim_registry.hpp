/// \file
/// \brief At-most-once for keyed non-idempotent requests.
/// \details Decides whether a request with an idempotency key may be handed over: only if its
/// claim was written to the table service first. A claim that was written and not ended is never
/// run again, whatever became of its entry VM. It guards that a non-idempotent request runs at
/// most once; it never hands anything over itself. The transitions stand in charts/claim.toml.
#pragma once

#include <cardamombay/chart/machine.hpp>
#include <cardamombay/claims/claim.hpp>
#include <cardamombay/claims/claim_row.hpp>
#include <cardamombay/claims/row_batcher.hpp>
#include <cardamombay/core/result.hpp>
#include <cardamombay/platform/object_store.hpp>

#include <memory>
#include <string>
#include <unordered_map>
#include <vector>

namespace cardamombay::claims {

class ClaimRecord;

/// \brief The chart of claims with its code.
using ClaimProgramPtr = chart::ProgramPtr<ClaimRecord>;

/// \brief Binds charts/claim.toml; done once at start.
[[nodiscard]] Result<ClaimProgramPtr> makeClaimProgram(const chart::Chart &chart);

/// \brief Tells whether the entry VM that holds a claim still runs.
class EntryLiveness
{
public:
    EntryLiveness() = default;
    EntryLiveness(const EntryLiveness &) = delete;
    EntryLiveness &operator=(const EntryLiveness &) = delete;
    virtual ~EntryLiveness() = default;

    /// \brief True if \p entry is believed alive in that incarnation.
    [[nodiscard]] virtual bool isAlive(const EntryId &entry, Incarnation incarnation) const = 0;
};

/// \brief Claims of one entry VM; lives on the control thread.
/// \code
/// book.claim({team, key, hash}, [&](Result<ClaimAnswer> answer) {
///     // Any error: nothing was handed over; tell the caller not-run with Retry-After.
///     // Granted: hand over if mayHandOver(now), then complete() or release().
/// });
/// \endcode
class ClaimRegistry
{
public:
    /// \brief Where the book runs and whom it claims for.
    struct Dependencies
    {
        Clock &clock_;
        platform::TableStore &table_;
        platform::ObjectStore &objects_;
        Random &random_;
        ClaimProgramPtr program_;
        EntryId self_;
        Incarnation incarnation_; ///< Must differ between two starts of one entry VM.
    };

    explicit ClaimRegistry(Dependencies setting, ClaimPolicy policy = {}, BatchPolicy batches = {});
    ~ClaimRegistry();
    ClaimRegistry(const ClaimRegistry &) = delete;
    ClaimRegistry &operator=(const ClaimRegistry &) = delete;

    /// \brief Claims the key of \p request.
    /// \param request the request and its key.
    /// \param done receives the answer, never inline. An error means that the request was not
    /// handed over and may be told not-run.
    void claim(ClaimRequest request, Callback<ClaimAnswer> done);

    /// \brief Ends a granted claim whose request ran or may have run.
    void complete(ClaimNumber claim, StoredOutcome stored);

    /// \brief Ends a granted claim whose request was not run; the key may then be used again.
    /// \param claim the claim.
    /// \param done runs once the key is free or cannot be freed; tell the caller not-run then, or
    /// after a short wait.
    void release(ClaimNumber claim, std::function<void()> done = {});

    /// \brief Sets the number of entry VMs that share the store's write budget.
    void setEntryCount(std::uint32_t count) { batcher_.setEntryCount(count); }

    /// \brief Sets who knows the entry VMs; without one every other holder counts as gone.
    void setLiveness(const EntryLiveness *liveness) { liveness_ = liveness; }

    /// \brief Claims that are not ended; a graceful shutdown waits for none.
    [[nodiscard]] std::size_t openClaims() const { return records_.size(); }

    [[nodiscard]] const ClaimCounts &counts() const { return counts_; }
    [[nodiscard]] const BatchCounts &batchCounts() const { return batcher_.counts(); }

private:
    friend class ClaimRecord;
    using RecordPtr = std::shared_ptr<ClaimRecord>;

    void answerLater(Callback<ClaimAnswer> done, Result<ClaimAnswer> answer);
    void answerLocal(ClaimRecord &record, const ClaimRequest &request, Callback<ClaimAnswer> done);
    void answerRow(const ClaimRequest &request, const platform::Row &row,
                   const Callback<ClaimAnswer> &done);
    void answerStored(ClaimRow row, const Callback<ClaimAnswer> &done);
    [[nodiscard]] ClaimAnswer judgeOwner(const ClaimOwner &owner);
    void finish(ClaimRecord &record);
    [[nodiscard]] RecordPtr find(ClaimNumber claim) const;

    Dependencies setting_;
    ClaimPolicy policy_;
    RowBatcher batcher_;
    const EntryLiveness *liveness_ = nullptr;
    ClaimNumber lastClaim_;
    std::unordered_map<std::string, RecordPtr> records_; ///< By the key of the row.
    std::unordered_map<ClaimNumber, std::string> keys_;
    ClaimCounts counts_;
    std::shared_ptr<char> alive_; ///< Callbacks hold it weakly.
};

} // namespace cardamombay::claims
