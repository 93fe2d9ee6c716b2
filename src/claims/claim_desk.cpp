#include <cardamombay/claims/claim_desk.hpp>

#include <utility>

namespace cardamombay::claims {

namespace {

traffic::ClaimAnswer makeAnswer(traffic::ClaimVerdict verdict)
{
    traffic::ClaimAnswer answer;
    answer.verdict_ = verdict;
    return answer;
}

traffic::ClaimAnswer refusal(const Error &error)
{
    auto answer = makeAnswer(traffic::ClaimVerdict::Unavailable);
    answer.retryAfter_ = std::chrono::seconds(1);
    if (const auto *throttled = std::get_if<StoreThrottled>(&error))
        answer.retryAfter_ = throttled->retryAfter_;
    return answer;
}

/// An end without a kept answer gives later callers nothing to return, so it stays pending.
traffic::ClaimAnswer replay(const StoredOutcome &stored)
{
    const bool isWhole = stored.outcome_ == outcomes::Outcome::Ran && stored.hasAnswer_;
    if (!isWhole)
        return makeAnswer(traffic::ClaimVerdict::Pending);
    auto answer = makeAnswer(traffic::ClaimVerdict::Finished);
    answer.stored_ = {stored.status_, stored.contentType_, stored.body_};
    return answer;
}

traffic::ClaimAnswer translate(const Result<ClaimAnswer> &result)
{
    if (!isOk(result))
        return refusal(errorOf(result));
    const auto &answer = valueOf(result);
    if (std::holds_alternative<Granted>(answer))
        return makeAnswer(traffic::ClaimVerdict::Granted);
    if (const auto *duplicate = std::get_if<Duplicate>(&answer))
        return replay(duplicate->stored_);
    if (std::holds_alternative<KeyMismatch>(answer))
        return makeAnswer(traffic::ClaimVerdict::Mismatch);
    return makeAnswer(traffic::ClaimVerdict::Pending);
}

} // namespace

void ClaimDesk::claim(const traffic::ClaimRequest &request, traffic::ClaimCallback done)
{
    const std::string hash = request.service_.text() + "/" + std::to_string(request.bodyHash_);
    book_.claim(
        {request.team_, request.key_, hash},
        [this, id = request.request_, done = std::move(done)](const Result<ClaimAnswer> &result) {
            if (isOk(result)) {
                if (const auto *granted = std::get_if<Granted>(&valueOf(result)))
                    granted_.emplace(id, granted->claim_);
            }
            done(translate(result));
        });
}

void ClaimDesk::complete(traffic::ClaimCompletion completion)
{
    const auto found = granted_.find(completion.request_);
    if (found == granted_.end())
        return;
    const auto claim = found->second;
    granted_.erase(found);
    if (completion.outcome_ == outcomes::Outcome::NotRun) {
        book_.release(claim);
        return;
    }
    auto stored = StoredOutcome::withoutAnswer(completion.outcome_);
    if (completion.outcome_ == outcomes::Outcome::Ran && completion.answer_.status_ != 0) {
        stored.hasAnswer_ = true;
        stored.status_ = completion.answer_.status_;
        stored.contentType_ = std::move(completion.answer_.contentType_);
        stored.body_ = std::move(completion.answer_.body_);
    }
    book_.complete(claim, std::move(stored));
}

} // namespace cardamombay::claims
