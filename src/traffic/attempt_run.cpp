#include <traffic/attempt_run.hpp>

#include <cardamombay/net/http_status.hpp>
#include <traffic/group_watch.hpp>

#include <charconv>
#include <utility>

namespace cardamombay::traffic::impl {

namespace {

constexpr std::string_view eventStreamType = "text/event-stream";
constexpr std::size_t mostHeldBytes = std::size_t{256} * 1024;
constexpr std::uint32_t leastTimedTokens = 4;
constexpr std::uint32_t leastErrorStatus = 500;
constexpr auto cancelTimeout = std::chrono::seconds(2);

Duration secondsIn(const std::string &text)
{
    std::uint32_t seconds = 0;
    std::from_chars(text.data(), text.data() + text.size(), seconds);
    return std::chrono::seconds(seconds);
}

/// Fields of an endpoint's answer that concern its connection or that the entry VM sets.
bool isOwnField(const std::string &name)
{
    const net::HttpResponse probe{0, {{name, "1"}}, {}};
    for (const auto *own :
         {"Connection", "Content-Length", "Keep-Alive", "Transfer-Encoding", "Trailer", "Upgrade",
          "X-Attempt-Id", "X-Not-Run", "X-Outcome", "X-Request-Id"}) {
        if (!probe.field(own).empty())
            return true;
    }
    return false;
}

net::HttpResponse headForCaller(net::HttpResponse head)
{
    std::erase_if(head.fields_, [](const auto &field) { return isOwnField(field.name_); });
    return head;
}

} // namespace

AttemptRun::AttemptRun(TrafficContext &context, const ParsedRequest &request, AttemptPlan plan,
                       CallerAnswer &answer, StreamRelay &relay, AttemptOwner &owner)
    : context_(context)
    , request_(request)
    , plan_(std::move(plan))
    , answer_(answer)
    , relay_(relay)
    , owner_(owner)
    , attempt_(context.attemptProgram_, plan_.id_, request.safety())
{
}

void AttemptRun::start(std::string traceparent)
{
    startedAt_ = context_.clock_.now();
    relay_.begin(plan_.id_);
    attempt_.connectStarted();
    call_ = context_.upstream_.start(makeRequest(std::move(traceparent)), *this);
}

net::UpstreamRequest AttemptRun::makeRequest(std::string traceparent) const
{
    net::UpstreamRequest request;
    request.address_ = plan_.group_.address_;
    request.method_ = request_.method_;
    request.target_ = request_.target_;
    request.fields_ = request_.forwarded_;
    request.fields_.push_back({"X-Attempt-Id", plan_.id_.text()});
    request.fields_.push_back({"X-Request-Id", request_.id_.text()});
    if (!traceparent.empty())
        request.fields_.push_back({"traceparent", std::move(traceparent)});
    if (request_.kind_ == config::ServiceKind::Model) {
        request.fields_.push_back({"X-Group", plan_.group_.group_.text()});
        request.fields_.push_back(
            {"X-Generation", std::to_string(plan_.group_.generation_.value())});
    }
    request.body_ = attemptBody(request_, plan_.resumeFrom_);
    return request;
}

/// The group may have been vetoed, or lost a member, while the connection was made.
bool AttemptRun::onConnected()
{
    const auto self = shared_from_this();
    const auto now = context_.clock_.now();
    const auto snapshot = context_.control_.snapshot();
    const auto standing = standingOf(plan_.group_, request_.service_, *snapshot, now);
    // Read last: this thread may have been paused up to here, and the claim's row may by now be
    // decided without this attempt.
    isTooLate_ = context_.clock_.now() >= plan_.handOverBefore_;
    if (standing == GroupStanding::Usable && !isTooLate_)
        return attempt_.startSending();
    attempt_.groupLost();
    over();
    return false;
}

Duration AttemptRun::silence(TimePoint now) const
{
    const bool isWaiting = lastDataAt_ != TimePoint{} && !isWriting_;
    return isWaiting ? now - lastDataAt_ : Duration::zero();
}

void AttemptRun::onHead(net::HttpResponse head)
{
    const auto self = shared_from_this();
    const auto id = head.field("X-Attempt-Id");
    const bool isNotRun = head.field("X-Not-Run") == "true";
    retryAfter_ = secondsIn(head.field("Retry-After"));
    if (!attempt_.takeHead({head.status_, id, isNotRun})) {
        over();
        return;
    }
    if (head.status_ < leastErrorStatus)
        context_.dispatcher_.attemptAnswered(plan_.group_.group_, context_.clock_.now());
    const bool isEventStream = head.field("Content-Type").starts_with(eventStreamType);
    isEventStream_ = request_.isStream_ && head.status_ == net::statusOk && isEventStream;
    head_ = headForCaller(std::move(head));
}

void AttemptRun::onData(std::string_view data)
{
    const auto self = shared_from_this();
    if (isOver_)
        return;
    if (isEventStream_) {
        relayEvents(data);
        return;
    }
    if (!attempt_.takeData()) {
        over();
        return;
    }
    const bool isPlain = request_.kind_ == config::ServiceKind::Plain;
    isPassedThrough_ = isPassedThrough_ || (isPlain && data.size() > mostHeldBytes);
    if (isPassedThrough_)
        passThrough(data);
    else
        call_->consume(0);
}

/// A large answer is not held until it is whole; if it breaks, the caller's connection does too.
void AttemptRun::passThrough(std::string_view data)
{
    step_ = {};
    step_.consumed_ = data.size();
    step_.parts_ = {data};
    writeStep();
}

void AttemptRun::relayEvents(std::string_view data)
{
    step_ = relay_.take(data, attempt_);
    if (step_.tokens_ != 0)
        noteTokens(context_.clock_.now());
    lastDataAt_ = context_.clock_.now();
    if (step_.parts_.empty()) {
        afterWrite();
        return;
    }
    writeStep();
}

void AttemptRun::writeStep()
{
    isWriting_ = true;
    answer_.writeStream(head_, step_.parts_, [self = shared_from_this()] {
        if (!self->isOver_ && self->isWriting_)
            self->afterWrite();
    });
    // Nobody tells a write to a caller that is gone that it is done.
    if (isUnheard_)
        goOnUnheard();
}

void AttemptRun::goOnUnheard()
{
    isUnheard_ = true;
    if (!isWriting_)
        return;
    context_.post_([self = shared_from_this()] {
        if (!self->isOver_ && self->isWriting_)
            self->afterWrite();
    });
}

void AttemptRun::afterWrite()
{
    isWriting_ = false;
    lastDataAt_ = context_.clock_.now();
    context_.metrics_.tokensRelayed(step_.tokens_);
    if (step_.isWhole_) {
        answer_.finishStream();
        over();
        return;
    }
    if (hasConnectionEnded_ && isPassedThrough_) {
        endPassThrough();
        return;
    }
    if (hasConnectionEnded_)
        attempt_.closed();
    if (attempt_.isSettled())
        over();
    else
        call_->consume(step_.consumed_);
}

void AttemptRun::onEnd(std::string_view rest)
{
    const auto self = shared_from_this();
    if (isOver_)
        return;
    if (!isEventStream_ && !isPassedThrough_) {
        takeWholeAnswer(rest);
        return;
    }
    hasConnectionEnded_ = true;
    if (isWriting_)
        return;
    if (isPassedThrough_) {
        endPassThrough();
        return;
    }
    attempt_.closed();
    over();
}

void AttemptRun::endPassThrough()
{
    attempt_.endMarker();
    answer_.finishStream();
    over();
}

void AttemptRun::takeWholeAnswer(std::string_view body)
{
    // A completion names its attempt in the body as well; another name is another one's answer.
    const bool isCompletion
        = request_.kind_ == config::ServiceKind::Model && attempt_.status() == net::statusOk;
    const auto at = body.find(plan_.id_.text());
    if (isCompletion && at == std::string_view::npos) {
        (void)attempt_.takeEvent({});
        over();
        return;
    }
    attempt_.endMarker();
    if (request_.kind_ == config::ServiceKind::Plain)
        noteFirstToken();
    net::HttpResponse response = std::move(head_);
    response.body_ = std::string(body);
    if (isCompletion)
        response.body_.replace(at, plan_.id_.text().size(), request_.id_.text());
    answer_.respond(std::move(response), attempt_.outcome());
    over();
}

void AttemptRun::onFailure(net::UpstreamFailure failure)
{
    const auto self = shared_from_this();
    if (!failure.mayHaveLeft_)
        attempt_.connectFailed();
    else if (failure.isTimeout_)
        attempt_.timedOut();
    else
        attempt_.closed();
    over();
}

void AttemptRun::stop(StopReason reason)
{
    if (isOver_ || attempt_.isSettled())
        return;
    const auto self = shared_from_this();
    switch (reason) {
    case StopReason::CallerGone:
        attempt_.callerGone();
        break;
    case StopReason::GroupLost:
        attempt_.groupLost();
        break;
    case StopReason::TimedOut:
        attempt_.timedOut();
        break;
    }
    cancelAtEngine();
    // The end of a write under way is reported, unless its caller is gone.
    if (!isWriting_ || reason == StopReason::CallerGone)
        over();
}

void AttemptRun::noteFirstToken()
{
    if (timeToFirstToken_ == Duration::zero())
        timeToFirstToken_ = context_.clock_.now() - startedAt_;
}

/// Time is counted from the end of a write, so a slow caller does not make its group look slow.
void AttemptRun::noteTokens(TimePoint now)
{
    if (tokens_ == 0) {
        noteFirstToken();
    } else {
        tokenTime_ += now - lastDataAt_;
        timedTokens_ += step_.tokens_;
    }
    tokens_ += step_.tokens_;
}

Duration AttemptRun::timePerToken() const
{
    return timedTokens_ < leastTimedTokens ? Duration::zero() : tokenTime_ / timedTokens_;
}

void AttemptRun::cancelAtEngine()
{
    const bool isModel = request_.kind_ == config::ServiceKind::Model;
    if (!isModel || !attempt_.verdict().needsCancel_ || std::exchange(isCancelled_, true))
        return;
    net::HttpRequest cancel;
    cancel.address_ = plan_.group_.address_;
    cancel.method_ = "DELETE";
    cancel.target_ = "/v1/attempts/" + plan_.id_.text();
    cancel.timeout_ = cancelTimeout;
    context_.cancels_.send(std::move(cancel), [](const net::HttpResult &) {});
}

void AttemptRun::over()
{
    if (std::exchange(isOver_, true))
        return;
    cancelAtEngine();
    // A write under way still needs the call's data.
    if (!isWriting_)
        call_.reset();
    owner_.onAttemptOver();
}

} // namespace cardamombay::traffic::impl
