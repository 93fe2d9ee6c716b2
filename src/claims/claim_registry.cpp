#include <cardamombay/claims/claim_registry.hpp>

#include "claims/claim_record.hpp"

#include <utility>

namespace cardamombay::claims {

ClaimRegistry::ClaimRegistry(Dependencies dependencies, ClaimPolicy policy, BatchPolicy batches)
    : dependencies_(std::move(dependencies))
    , policy_(policy)
    , batcher_(dependencies_.clock_, dependencies_.table_, dependencies_.random_,
               platform::WriterTokens(dependencies_.self_, dependencies_.incarnation_), batches)
    , alive_(std::make_shared<char>())
{
}

ClaimRegistry::~ClaimRegistry() = default;

void ClaimRegistry::claim(ClaimRequest request, Callback<ClaimAnswer> done)
{
    const auto key = rowKeyOf(request.team_, request.key_).key_;
    if (const auto found = records_.find(key); found != records_.end()) {
        answerFromRecord(*found->second, request, std::move(done));
        return;
    }
    lastClaim_ = lastClaim_.next();
    auto record
        = std::make_shared<ClaimRecord>(*this, lastClaim_, std::move(request), std::move(done));
    records_.emplace(key, record);
    keys_.emplace(lastClaim_, key);
    record->start();
}

void ClaimRegistry::complete(ClaimNumber claim, StoredOutcome stored)
{
    if (const auto record = find(claim))
        record->complete(std::move(stored));
}

void ClaimRegistry::release(ClaimNumber claim, std::function<void()> done)
{
    if (const auto record = find(claim))
        record->release(std::move(done));
    else if (done)
        dependencies_.clock_.schedule(Duration::zero(), std::move(done));
}

void ClaimRegistry::answerLater(Callback<ClaimAnswer> done, Result<ClaimAnswer> answer)
{
    dependencies_.clock_.schedule(
        Duration::zero(), [done = std::move(done), answer = std::move(answer)] { done(answer); });
}

/// Answers from a claim of this entry VM that is not yet done.
void ClaimRegistry::answerFromRecord(ClaimRecord &record, const ClaimRequest &request,
                                     Callback<ClaimAnswer> done)
{
    if (record.isIn("storing") || record.isIn("held") || record.isIn("claiming")) {
        const bool isSame = record.request().key_ == request.key_
                            && record.request().requestHash_ == request.requestHash_;
        if (!isSame) {
            ++counts_.mismatches_;
            answerLater(std::move(done), ClaimAnswer(KeyMismatch{}));
        } else if (record.isIn("storing")) {
            ++counts_.duplicates_;
            answerLater(std::move(done), ClaimAnswer(Duplicate{record.stored()}));
        } else {
            ++counts_.inProgress_;
            answerLater(std::move(done), ClaimAnswer(InProgress{}));
        }
        return;
    }
    record.addWaiter(request, std::move(done));
}

/// Answers from a row that was written for another claim.
void ClaimRegistry::answerFromRow(const ClaimRequest &request, const platform::Row &row,
                                  const Callback<ClaimAnswer> &done)
{
    if (row.version_.isNone()) {
        ++counts_.refused_;
        done(Error(StoreUnavailable{"claim", "the row changes too fast"}));
        return;
    }
    auto decoded = decodeClaimRow(row.value_);
    if (!isOk(decoded)) {
        ++counts_.refused_;
        done(errorOf(decoded));
        return;
    }
    auto &content = valueOf(decoded);
    if (content.key_ != request.key_ || content.requestHash_ != request.requestHash_) {
        ++counts_.mismatches_;
        done(ClaimAnswer(KeyMismatch{}));
    } else if (content.isFinished_) {
        answerFromOutcome(std::move(content), done);
    } else {
        done(answerUnfinished(content.owner_));
    }
}

void ClaimRegistry::answerFromOutcome(ClaimRow row, const Callback<ClaimAnswer> &done)
{
    ++counts_.duplicates_;
    if (row.objectName_.empty()) {
        done(ClaimAnswer(Duplicate{std::move(row.stored_)}));
        return;
    }
    dependencies_.objects_.fetch(
        row.objectName_, [stored = row.stored_, done](const Result<std::string> &body) mutable {
            if (isOk(body))
                stored.body_ = valueOf(body);
            else
                stored = StoredOutcome::withoutAnswer(stored.outcome_);
            done(ClaimAnswer(Duplicate{std::move(stored)}));
        });
}

ClaimAnswer ClaimRegistry::answerUnfinished(const ClaimOwner &owner)
{
    const bool isSelf = owner.entry_ == dependencies_.self_;
    if (!isSelf && liveness_ && liveness_->isAlive(owner.entry_, owner.incarnation_)) {
        ++counts_.inProgress_;
        return InProgress{};
    }
    ++counts_.unknown_;
    return OutcomeUnknown{};
}

void ClaimRegistry::removeRecord(ClaimRecord &record)
{
    const auto waiters = record.takeWaiters();
    const auto releaseCallbacks = record.takeReleaseCallbacks();
    keys_.erase(record.number());
    records_.erase(record.key().key_);
    for (const auto &done : releaseCallbacks)
        done();
    for (const auto &waiter : waiters) {
        if (std::exchange(waiter->isAnswered_, true))
            continue;
        claim(waiter->request_, waiter->done_);
    }
}

ClaimRegistry::RecordPtr ClaimRegistry::find(ClaimNumber claim) const
{
    const auto key = keys_.find(claim);
    return key == keys_.end() ? nullptr : records_.at(key->second);
}

} // namespace cardamombay::claims
