#include "claim_adapter.hpp"

#include <utility>

namespace cardamombay::control::impl {

using traffic::ClaimVerdict;

namespace {

constexpr Duration retryAfterOutage = std::chrono::seconds(2);

/// Converts answers of the claim book to traffic answers.
struct AnswerConverter
{
    traffic::ClaimAnswer operator()(const claims::Granted &granted) const
    {
        traffic::ClaimAnswer answer;
        answer.verdict_ = ClaimVerdict::Granted;
        answer.handOverBefore_ = granted.handOverBefore_;
        return answer;
    }

    traffic::ClaimAnswer operator()(const claims::Duplicate &duplicate) const
    {
        traffic::ClaimAnswer answer;
        const auto &stored = duplicate.stored_;
        const bool isKept = stored.outcome_ == outcomes::Outcome::Ran && stored.hasAnswer_;
        answer.verdict_ = isKept ? ClaimVerdict::Finished : ClaimVerdict::Pending;
        if (isKept)
            answer.stored_ = {stored.status_, stored.contentType_, stored.body_};
        return answer;
    }

    traffic::ClaimAnswer operator()(const claims::InProgress &progress) const
    {
        traffic::ClaimAnswer answer;
        answer.verdict_ = ClaimVerdict::Pending;
        answer.retryAfter_ = progress.retryAfter_;
        return answer;
    }

    traffic::ClaimAnswer operator()(const claims::OutcomeUnknown &) const
    {
        traffic::ClaimAnswer answer;
        answer.verdict_ = ClaimVerdict::Pending;
        return answer;
    }

    traffic::ClaimAnswer operator()(const claims::KeyMismatch &) const
    {
        traffic::ClaimAnswer answer;
        answer.verdict_ = ClaimVerdict::Mismatch;
        return answer;
    }
};

claims::StoredOutcome storedOf(const traffic::ClaimCompletion &completion)
{
    auto stored = claims::StoredOutcome::withoutAnswer(completion.outcome_);
    stored.hasAnswer_ = completion.answer_.status_ != 0;
    stored.status_ = completion.answer_.status_;
    stored.contentType_ = completion.answer_.contentType_;
    stored.body_ = completion.answer_.body_;
    return stored;
}

} // namespace

void ClaimAdapter::claim(const traffic::ClaimRequest &request, traffic::ClaimCallback done)
{
    claims::ClaimRequest wanted;
    wanted.team_ = request.team_;
    wanted.key_ = request.key_;
    wanted.requestHash_ = request.service_.text() + ":" + std::to_string(request.bodyHash_);
    book_.claim(std::move(wanted),
                [this, id = request.request_, done = std::move(done)](
                    const Result<claims::ClaimAnswer> &result) { done(answerOf(id, result)); });
}

traffic::ClaimAnswer ClaimAdapter::answerOf(const RequestId &request,
                                            const Result<claims::ClaimAnswer> &result)
{
    if (!isOk(result)) {
        traffic::ClaimAnswer answer;
        answer.retryAfter_ = retryAfterOutage;
        return answer;
    }
    if (const auto *granted = std::get_if<claims::Granted>(&valueOf(result)))
        granted_[request] = granted->claim_;
    return std::visit(AnswerConverter{}, valueOf(result));
}

void ClaimAdapter::complete(const traffic::ClaimCompletion &completion)
{
    const auto found = granted_.find(completion.request_);
    if (found == granted_.end())
        return;
    const claims::ClaimNumber claim = found->second;
    granted_.erase(found);
    if (completion.outcome_ == outcomes::Outcome::NotRun)
        book_.release(claim);
    else
        book_.complete(claim, storedOf(completion));
}

} // namespace cardamombay::control::impl
