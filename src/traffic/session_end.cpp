// How sessions and their attempts end: accounts, records, claims and the caller's last word.
#include <traffic/session.hpp>

#include <cardamombay/log/events.hpp>
#include <cardamombay/log/log.hpp>
#include <traffic/session_problems.hpp>

#include <utility>

namespace cardamombay::traffic::impl {

void Session::accountAttempt(const outcomes::AttemptResult &verdict)
{
    lastVerdict_ = verdict;
    mayHaveRun_ = mayHaveRun_ || verdict.outcome_ == outcomes::Outcome::Unknown;
    hasRun_ = verdict.outcome_ == outcomes::Outcome::Ran;
    const bool isOurDoing = verdict.cause_ == outcomes::Cause::CallerGone
                            || verdict.cause_ == outcomes::Cause::Refused || endProblem_;
    auto result = GroupResult::Failed;
    if (hasRun_)
        result = GroupResult::Succeeded;
    else if (isOurDoing)
        result = GroupResult::Abandoned;
    const auto &plan = run_->plan();
    const AttemptTimes times{run_->timeToFirstToken(), run_->timePerToken()};
    context_.dispatcher_.finishAttempt(plan.group_.group_, result, times, now());
    context_.metrics_.attemptEnded(request_.service_, verdict.cause_);
    context_.metrics_.answersDropped(run_->attempt().dropped());
    if (run_->timeToFirstToken() > Duration::zero())
        context_.metrics_.firstToken(request_.service_, run_->timeToFirstToken());
    stepSpan_.setTag("outcome", outcomes::nameOf(verdict.outcome_));
    stepSpan_.setTag("cause", outcomes::nameOf(verdict.cause_));
    stepSpan_.finish();
    note(hasRun_ ? log::event::attemptFinished : log::event::attemptFailed,
         outcomes::nameOf(verdict.cause_),
         {{"attempt", plan.id_.text()},
          {"group", plan.group_.group_.text()},
          {"outcome", std::string(outcomes::nameOf(verdict.outcome_))},
          {"tokens", std::to_string(run_->tokens())}});
    if (hasRun_)
        return;
    isEventful_ = true;
    log::info(log::event::attemptFailed,
              {{"request", request_.id_.text()},
               {"attempt", plan.id_.text()},
               {"group", plan.group_.group_.text()},
               {"cause", std::string(outcomes::nameOf(verdict.cause_))},
               {"outcome", std::string(outcomes::nameOf(verdict.outcome_))},
               {"tokens", std::to_string(run_->tokens())}});
}

void Session::giveUp(const outcomes::AttemptResult &verdict, Duration retryAfter)
{
    fail(failureProblem(overallOutcome(), verdict.cause_, request_.safety(), retryAfter));
}

void Session::note(std::string_view event, std::string_view choice, std::vector<Detail> inputs)
{
    inputs.push_back({"service", request_.service_.text()});
    inputs.push_back({"team", request_.team_.text()});
    DecisionRecord record;
    record.when_ = now();
    record.event_ = event;
    record.subject_ = request_.id_.text();
    record.choice_ = choice;
    record.inputs_ = std::move(inputs);
    decisions_.push_back(std::move(record));
}

void Session::recordDecisions()
{
    const auto outcome = overallOutcome();
    note(log::event::requestFinished, outcomes::nameOf(outcome),
         {{"status", std::to_string(answer_.status())},
          {"attempts", std::to_string(attempts_)},
          {"ms", std::to_string(toMilliseconds(now() - startedAt_))}});
    const bool isSmooth = !isEventful_ && outcome == outcomes::Outcome::Ran;
    const auto kind = isSmooth ? RecordKind::Smooth : RecordKind::Eventful;
    if (!context_.dispatcher_.mayRecord(kind, now()))
        return;
    for (const auto &decision : decisions_)
        context_.control_.recordDecision(decision);
}

outcomes::Outcome Session::overallOutcome() const
{
    if (hasRun_)
        return outcomes::Outcome::Ran;
    return mayHaveRun_ ? outcomes::Outcome::Unknown : outcomes::Outcome::NotRun;
}

void Session::fail(const Problem &problem)
{
    answer_.fail(problem);
    close();
}

void Session::completeClaim()
{
    if (!std::exchange(hasClaim_, false))
        return;
    ClaimCompletion completion;
    completion.team_ = request_.team_;
    completion.key_ = request_.key_;
    completion.request_ = request_.id_;
    completion.outcome_ = overallOutcome();
    if (hasRun_)
        completion.answer_ = answer_.copy();
    context_.control_.completeClaim(std::move(completion));
}

void Session::close()
{
    if (std::exchange(isClosed_, true))
        return;
    context_.clock_.cancel(deadlineTimer_);
    context_.clock_.cancel(retryTimer_);
    completeClaim();
    recordDecisions();
    if (isAdmitted_)
        context_.dispatcher_.finished(request_.id_, *context_.control_.snapshot(), now());
    const auto took = now() - startedAt_;
    const auto outcome = overallOutcome();
    context_.metrics_.inFlightChanged(-1);
    context_.metrics_.requestFinished(request_.service_, answer_.status(), outcome, took);
    span_.setTag("outcome", outcomes::nameOf(outcome));
    span_.setTag("status", std::uint64_t{answer_.status()});
    span_.finish();
    log::info(log::event::requestFinished, {{"request", request_.id_.text()},
                                            {"team", request_.team_.text()},
                                            {"service", request_.service_.text()},
                                            {"status", std::to_string(answer_.status())},
                                            {"outcome", std::string(outcomes::nameOf(outcome))},
                                            {"attempts", std::to_string(attempts_)},
                                            {"ms", std::to_string(toMilliseconds(took))}});
    context_.post_([weak = weak_from_this()] {
        if (const auto self = weak.lock())
            self->closed_(self.get());
    });
}

} // namespace cardamombay::traffic::impl
