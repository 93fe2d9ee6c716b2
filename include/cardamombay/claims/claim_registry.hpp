/// \file
/// \brief At-most-once execution of non-idempotent requests with an idempotency key.
/// \details A request with an idempotency key may be handed over only after its claim was written
/// to the table service. A request whose claim was written but not completed or released is not
/// run again, even if its entry VM has failed. The registry only decides; it sends no requests.
/// The state machine is defined in charts/claim.toml.
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

/// \brief The claim state machine, with its actions and guards bound.
using ClaimProgramPtr = chart::ProgramPtr<ClaimRecord>;

/// \brief Binds actions and guards to charts/claim.toml; called once at startup.
[[nodiscard]] Result<ClaimProgramPtr> makeClaimProgram(const chart::Chart &chart);

/// \brief Reports whether the entry VM that holds a claim is still running.
class EntryLiveness
{
public:
    EntryLiveness() = default;
    EntryLiveness(const EntryLiveness &) = delete;
    EntryLiveness &operator=(const EntryLiveness &) = delete;
    virtual ~EntryLiveness() = default;

    /// \brief Returns true if that incarnation of \p entry is believed to be alive.
    [[nodiscard]] virtual bool isAlive(const EntryId &entry, Incarnation incarnation) const = 0;
};

/// \brief Claims of one entry VM. Used on the control thread only.
/// \code
/// registry.claim({team, key, hash}, [&](Result<ClaimAnswer> answer) {
///     // Error: nothing was handed over; report not-run with Retry-After to the caller.
///     // Granted: hand over if mayHandOver(now), then call complete() or release().
/// });
/// \endcode
class ClaimRegistry
{
public:
    /// \brief Services that the registry uses, and the identity of its entry VM.
    struct Dependencies
    {
        Clock &clock_;
        platform::TableStore &table_;
        platform::ObjectStore &objects_;
        Random &random_;
        ClaimProgramPtr program_;
        EntryId self_;
        Incarnation incarnation_; ///< Must differ between restarts of an entry VM.
    };

    explicit ClaimRegistry(Dependencies dependencies, ClaimPolicy policy = {},
                           BatchPolicy batches = {});
    ~ClaimRegistry();
    ClaimRegistry(const ClaimRegistry &) = delete;
    ClaimRegistry &operator=(const ClaimRegistry &) = delete;

    /// \brief Claims the key of \p request.
    /// \param request the request and its key.
    /// \param done receives the answer, never synchronously. An error means that the request was
    /// not handed over and may be reported as not-run.
    void claim(ClaimRequest request, Callback<ClaimAnswer> done);

    /// \brief Completes a granted claim whose request ran or may have run.
    void complete(ClaimNumber claim, StoredOutcome stored);

    /// \brief Releases a granted claim whose request was not run, so that its key can be reused.
    /// \param claim the claim.
    /// \param done called once the key is free, or cannot be freed. Report not-run to the caller
    /// then, or after a short wait.
    void release(ClaimNumber claim, std::function<void()> done = {});

    /// \brief Sets the number of entry VMs that share the store's write budget.
    void setEntryCount(std::uint32_t count) { batcher_.setEntryCount(count); }

    /// \brief Sets the liveness source; without one, all other entry VMs count as failed.
    void setLiveness(const EntryLiveness *liveness) { liveness_ = liveness; }

    /// \brief Number of claims that are not done. Graceful shutdown does not wait for them.
    [[nodiscard]] std::size_t openClaims() const { return records_.size(); }

    [[nodiscard]] const ClaimCounts &counts() const { return counts_; }
    [[nodiscard]] const BatchCounts &batchCounts() const { return batcher_.counts(); }

private:
    friend class ClaimRecord;
    using RecordPtr = std::shared_ptr<ClaimRecord>;

    void answerLater(Callback<ClaimAnswer> done, Result<ClaimAnswer> answer);
    void answerFromRecord(ClaimRecord &record, const ClaimRequest &request,
                          Callback<ClaimAnswer> done);
    void answerFromRow(const ClaimRequest &request, const platform::Row &row,
                       const Callback<ClaimAnswer> &done);
    void answerFromOutcome(ClaimRow row, const Callback<ClaimAnswer> &done);
    [[nodiscard]] ClaimAnswer answerUnfinished(const ClaimOwner &owner);
    void removeRecord(ClaimRecord &record);
    [[nodiscard]] RecordPtr find(ClaimNumber claim) const;

    Dependencies dependencies_;
    ClaimPolicy policy_;
    RowBatcher batcher_;
    const EntryLiveness *liveness_ = nullptr;
    ClaimNumber lastClaim_;
    std::unordered_map<std::string, RecordPtr> records_; ///< By row key.
    std::unordered_map<ClaimNumber, std::string> keys_;
    ClaimCounts counts_;
    std::shared_ptr<char> alive_; ///< Callbacks hold a weak_ptr to detect destruction.
};

} // namespace cardamombay::claims
