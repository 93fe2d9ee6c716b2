#include <traffic/session.hpp>

#include <cardamombay/log/events.hpp>
#include <cardamombay/log/log.hpp>
#include <traffic/session_problems.hpp>

#include <utility>

namespace cardamombay::traffic::impl {

namespace {

constexpr std::uint32_t resumeLimit = 8; ///< Resumptions of one stream that do not cost budget.
constexpr Duration groupPatience = std::chrono::seconds(10);  ///< Of a stream that has begun.
constexpr Duration longestSilence = std::chrono::seconds(10); ///< Of a stream that has begun.
constexpr Duration groupPoll = std::chrono::milliseconds(50);

} // namespace

Session::Session(TrafficContext &context, ParsedRequest request,
                 std::shared_ptr<net::ServerExchange> exchange,
                 std::function<void(Session *)> closed)
    : context_(context)
    , request_(std::move(request))
    , answer_(std::move(exchange), request_.id_, request_.needsClaim())
    , closed_(std::move(closed))
    , startedAt_(context.clock_.now())
{
}

std::function<void()> Session::guarded(void (Session::*step)())
{
    return [weak = weak_from_this(), step] {
        const auto self = weak.lock();
        if (self && !self->isClosed_)
            (self.get()->*step)();
    };
}

void Session::start()
{
    span_ = context_.tracer_.start("request", request_.traceparent_);
    span_.setTag("request", request_.id_.text());
    span_.setTag("service", request_.service_.text());
    span_.setTag("team", request_.team_.text());
    context_.metrics_.inFlightChanged(1);
    answer_.onLost(guarded(&Session::callerGone));
    deadlineTimer_ = context_.clock_.schedule(request_.deadline_ - startedAt_,
                                              guarded(&Session::deadlinePassed));
    if (request_.needsClaim())
        claim();
    else
        admit();
}

void Session::claim()
{
    stepSpan_ = span_.child("claim");
    ClaimRequest claim{request_.team_, request_.key_, request_.service_, request_.id_,
                       contentHash(request_)};
    // The session is kept until the answer is there, since a granted claim has to be completed.
    context_.control_.claim(std::move(claim), [self = shared_from_this()](ClaimAnswer answer) {
        self->context_.post_([self, answer = std::move(answer)] { self->takeClaim(answer); });
    });
}

void Session::takeClaim(const ClaimAnswer &answer)
{
    hasClaim_ = answer.verdict_ == ClaimVerdict::Granted;
    if (hasClaim_)
        handOverBefore_ = answer.handOverBefore_;
    if (isClosed_) {
        // The deadline passed meanwhile, so the claim is given back: nothing was handed over.
        completeClaim();
        return;
    }
    stepSpan_.finish();
    note(log::event::requestClaimed, nameOf(answer.verdict_), {});
    if (hasClaim_) {
        admit();
        return;
    }
    if (answer.verdict_ != ClaimVerdict::Finished) {
        mayHaveRun_ = answer.verdict_ == ClaimVerdict::Pending;
        fail(claimProblem(answer));
        return;
    }
    hasRun_ = true;
    net::HttpResponse response;
    response.status_ = answer.stored_.status_;
    response.fields_ = {{"Content-Type", answer.stored_.contentType_}};
    response.body_ = answer.stored_.body_;
    answer_.respond(std::move(response), outcomes::Outcome::Ran);
    close();
}

void Session::admit()
{
    stepSpan_ = span_.child("admission");
    limits::AdmissionRequest request;
    request.request_ = request_.id_;
    request.service_ = request_.service_;
    request.team_ = request_.team_;
    request.priority_ = request_.priority_;
    request.deadline_ = request_.deadline_;
    request.isNonIdempotent_ = !request_.isIdempotent_;
    auto answered = [weak = weak_from_this(), &context = context_](AdmissionAnswer answer) {
        context.post_([weak, answer] {
            const auto self = weak.lock();
            if (self && !self->isClosed_)
                self->takeAdmission(answer);
        });
    };
    isAdmitted_ = true;
    const auto decision = context_.dispatcher_.offer(request, *context_.control_.snapshot(), now(),
                                                     std::move(answered));
    if (std::holds_alternative<limits::Admitted>(decision))
        takeAdmission(limits::Admitted{});
    else if (const auto *shed = std::get_if<limits::Shed>(&decision))
        takeAdmission(*shed);
}

void Session::takeAdmission(const AdmissionAnswer &answer)
{
    stepSpan_.finish();
    if (const auto *shed = std::get_if<limits::Shed>(&answer)) {
        isAdmitted_ = false;
        context_.metrics_.requestRefused(limits::nameOf(shed->reason_));
        const auto load = context_.dispatcher_.load(request_.service_);
        isEventful_ = true;
        note(log::event::requestRefused, limits::nameOf(shed->reason_),
             {{"capacity", std::to_string(load.capacity_)},
              {"share", std::to_string(load.share_)},
              {"running", std::to_string(load.running_)},
              {"waiting", std::to_string(load.waiting_)}});
        fail(shedProblem(*shed));
        return;
    }
    const auto waited = toMilliseconds(now() - startedAt_);
    note(log::event::requestAdmitted, "admitted", {{"waited_ms", std::to_string(waited)}});
    context_.dispatcher_.freshRequest(request_.service_, now());
    attempt();
}

void Session::attempt()
{
    retryTimer_ = TimerId::None;
    if (now() >= handOverBefore_) {
        fail(lateClaimProblem(overallOutcome()));
        return;
    }
    auto routeSpan = span_.child("route");
    RouteQuery query;
    query.service_ = request_.service_;
    query.prefixHashes_ = request_.prefixHashes_;
    query.tried_ = tried_;
    query.subject_ = request_.id_.text();
    if (answer_.hasStreamStarted())
        query.requiredModel_ = &model_;
    const auto snapshot = context_.control_.snapshot();
    auto choice = context_.dispatcher_.startAttempt(*snapshot, query, now());
    if (choice.group_ || decisions_.empty() || decisions_.back().choice_ != choice.record_.choice_)
        decisions_.push_back(std::move(choice.record_));
    routeSpan.setTag("reason", routing::nameOf(choice.reason_));
    routeSpan.finish();
    if (choice.group_)
        startAttempt(*choice.group_);
    else
        endWithoutGroup(choice);
}

void Session::startAttempt(const routing::SnapshotGroup &group)
{
    groupMissingSince_ = TimePoint::max();
    if (!answer_.hasStreamStarted()) {
        model_ = group.model_;
        relay_.emplace(request_.id_, outcomes::StreamTraits{request_.isIdempotent_, model_, true});
    }
    ++attempts_;
    AttemptPlan plan;
    plan.id_ = outcomes::makeAttemptId(request_.id_, attempts_, context_.incarnation_);
    plan.group_ = group;
    plan.resumeFrom_ = relay_->continuity().nextIndex();
    plan.handOverBefore_ = handOverBefore_;
    stepSpan_ = span_.child("attempt");
    stepSpan_.setTag("attempt", plan.id_.text());
    stepSpan_.setTag("group", group.group_.text());
    stepSpan_.setTag("address", group.address_.text());
    stepSpan_.setTag("resume_from", plan.resumeFrom_);
    run_ = std::make_shared<AttemptRun>(context_, request_, std::move(plan), answer_, *relay_,
                                        *this);
    if (isCallerGone_)
        run_->goOnUnheard();
    run_->start(stepSpan_.traceparent());
}

/// A stream that has begun waits a while, since its group may be replaced; a caller that has got
/// nothing yet is told at once.
void Session::endWithoutGroup(const RouteChoice &choice)
{
    if (groupMissingSince_ == TimePoint::max())
        groupMissingSince_ = now();
    const bool isPatient = now() - groupMissingSince_ < groupPatience;
    if (answer_.hasStreamStarted() && isPatient) {
        retryLater(groupPoll);
        return;
    }
    isEventful_ = true;
    if (mayHaveRun_ || answer_.hasStreamStarted())
        giveUp(lastVerdict_, Duration::zero());
    else
        fail(noGroupProblem(choice.reason_));
}

void Session::onAttemptOver()
{
    const auto verdict = run_->attempt().verdict();
    if (run_->isTooLate() && !endProblem_)
        endProblem_ = lateClaimProblem(overallOutcome());
    accountAttempt(verdict);
    if (endProblem_) {
        endProblem_->outcome_ = overallOutcome();
        fail(*endProblem_);
    } else if (answer_.isAnswered() || verdict.cause_ == outcomes::Cause::CallerGone) {
        close();
    } else {
        decideNext(verdict);
    }
}

bool Session::canResume(const outcomes::AttemptResult &verdict) const
{
    const bool hasRunNothing = verdict.outcome_ == outcomes::Outcome::NotRun;
    const auto next = relay_->continuity().continuation(model_, hasRunNothing);
    return next == outcomes::Continuation::Resume;
}

void Session::decideNext(const outcomes::AttemptResult &verdict)
{
    tried_.push_back(run_->plan().group_.group_);
    if (!verdict.mayRetry_) {
        giveUp(verdict, run_->retryAfter());
        return;
    }
    // An attempt that brought tokens is progress and no repetition, so going on behind them does
    // not cost retry budget; an outage gives no tokens and so no free attempts.
    const bool hasProgress = run_->tokens() != 0 && resumes_ < resumeLimit;
    if (answer_.hasStreamStarted() && hasProgress && canResume(verdict)) {
        ++resumes_;
        note(log::event::streamResumed, "resume",
             {{"tokens", std::to_string(relay_->continuity().nextIndex())}});
        context_.metrics_.streamResumed();
        log::info(log::event::streamResumed,
                  {{"request", request_.id_.text()},
                   {"from", run_->plan().group_.group_.text()},
                   {"tokens", std::to_string(relay_->continuity().nextIndex())}});
        retryLater(Duration::zero());
        return;
    }
    retry(verdict);
}

void Session::retry(const outcomes::AttemptResult &verdict)
{
    retries::FailedAttempt failed;
    failed.service_ = request_.service_;
    failed.isNonIdempotent_ = !request_.isIdempotent_;
    failed.hasAnswerStarted_ = answer_.hasStreamStarted();
    failed.isResumable_ = failed.hasAnswerStarted_ && canResume(verdict);
    failed.attempts_ = attempts_ - resumes_;
    failed.deadline_ = request_.deadline_;
    // The time an endpoint asks for concerns itself; another one may take the request at once.
    failed.retryAfter_ = attempts_ > 1 ? run_->retryAfter() : Duration::zero();
    failed.outcome_ = verdict.outcome_;
    const auto decision = context_.dispatcher_.retry(failed, now());
    if (const auto *again = std::get_if<retries::Retry>(&decision)) {
        const auto delay = toMilliseconds(again->delay_);
        note(log::event::requestRetried, "retry", {{"delay_ms", std::to_string(delay)}});
        retryLater(again->delay_);
        return;
    }
    giveUp(verdict, std::get<retries::GiveUp>(decision).retryAfter_);
}

void Session::retryLater(Duration delay)
{
    retryTimer_ = context_.clock_.schedule(delay, guarded(&Session::attempt));
}

void Session::checkGroup(const GroupWatch &watch, TimePoint now)
{
    const bool isModel = request_.kind_ == config::ServiceKind::Model;
    if (!run_ || isClosed_ || !isModel || run_->attempt().isSettled())
        return;
    const auto &plan = run_->plan();
    const auto standing = watch.standing(plan.group_, now);
    const bool isStalled = run_->silence(now) > longestSilence;
    if (standing != GroupStanding::NotWhole && !isStalled)
        return;
    log::warning(log::event::attemptStopped,
                 {{"request", request_.id_.text()},
                  {"group", plan.group_.group_.text()},
                  {"reason", isStalled ? "stream-stalled" : "group-not-whole"}});
    run_->stop(isStalled ? StopReason::TimedOut : StopReason::GroupLost);
}

void Session::callerGone()
{
    isCallerGone_ = true;
    // What may not be repeated is not cut off half way: its answer is kept for the next caller
    // with the key.
    if (!request_.isIdempotent_ && run_) {
        run_->goOnUnheard();
        return;
    }
    if (run_ && !run_->attempt().isSettled())
        run_->stop(StopReason::CallerGone);
    else
        close();
}

void Session::deadlinePassed()
{
    deadlineTimer_ = TimerId::None;
    endNow(StopReason::TimedOut, failureProblem(overallOutcome(), outcomes::Cause::TimedOut,
                                                request_.safety(), Duration::zero()));
}

void Session::cut()
{
    if (!isClosed_)
        endNow(StopReason::TimedOut, drainProblem());
}

void Session::endNow(StopReason reason, const Problem &problem)
{
    if (run_ && !run_->attempt().isSettled()) {
        endProblem_ = problem;
        run_->stop(reason);
        return;
    }
    Problem last = problem;
    last.outcome_ = overallOutcome();
    fail(last);
}

} // namespace cardamombay::traffic::impl
