#include "serving/session.hpp"

#include <cardamombay/serving/gateway.hpp>

#include <utility>

namespace cardamombay::serving {

namespace {

/// Retry delay for callers that found no capacity, as a share of the latency goal. A longer delay
/// leaves less time for the answer.
constexpr double retryDelayShare = 0.2;
/// Maximum number of sends per request, including refused ones; each retry consumes the fleet's
/// budget.
constexpr std::size_t maxSends = 4;

/// Maximum idle time of a reused connection for requests that must not run twice. The endpoint may
/// have silently closed an older one, and a reset does not tell whether the request has run.
constexpr Duration maxIdleUnsafeToRetry = std::chrono::milliseconds(300);
/// Maximum idle time for requests that are safe to retry; as long as endpoints keep connections
/// open.
constexpr Duration maxIdleSafeToRetry = std::chrono::seconds(10);

/// Number of latency goals after which an idempotent request is moved away from a plain endpoint
/// that has not answered. One would be too early, since a late answer often arrives soon after the
/// goal.
constexpr int plainStallGoals = 2;

/// Share of the caller's patience after which a stream without a first event is moved to another
/// endpoint regardless of the cause; the rest is left for the other endpoint.
constexpr double firstEventShare = 0.5;

/// Share of the caller's patience after which a silent carrier is given up: longer than it may hold
/// the request for room.
constexpr double carrierShare = 0.75;

/// Share of the caller's patience for which a request waits for capacity; the rest is left for the
/// first event.
constexpr double maxHoldShare = 0.65;

/// Engines accept priorities up to this one; less urgent ranks share it.
constexpr std::uint32_t maxRequestPriority = 9;

constexpr Duration connectTimeout = std::chrono::milliseconds(250);

} // namespace

Session::Session(Gateway &gateway, std::uint64_t number, net::ServerRequest request,
                 std::shared_ptr<net::ServerExchange> exchange, RequestOrigin origin)
    : gateway_(gateway)
    , number_(number)
    , request_(std::move(request))
    , body_(std::exchange(request_.body_, {}))
    , exchange_(std::move(exchange))
    , origin_(origin)
    , head_(gateway.parts().dialect_.parseRequestHead(request_.fields_))
    , arrivedAt_(gateway.parts().clock_.now())
    , deadline_(TimePoint::max())
    , routes_(gateway.routes())
{
}

Session::~Session() = default;

/// \returns false if no endpoint has capacity, which applies to other requests of the model too.
bool Session::dispatch()
{
    const auto now = gateway_.parts().clock_.now();
    // After the VM was suspended, a failure may be reported before the time-out is noticed.
    if (now >= deadline_) {
        giveUp("time-out");
        return true;
    }
    if (gateway_.poisonPills().awaitsVerdict(fingerprints_) && mayHold(now)) {
        isHeld_ = true;
        return true;
    }
    dropUnusableReservation(now);
    auto choice = sends_ < maxSends ? choose(now) : Choice(NoTarget::NoEndpoint);
    while (const auto *needed = std::get_if<NeedsReservation>(&choice)) {
        if (awaitsReservation(now) || !reserve(*needed, now))
            break;
        choice = choose(now);
    }
    const auto *target = std::get_if<Target>(&choice);
    if (target != nullptr && acquireRetry()) {
        send(*target);
        return true;
    }
    if (awaitsReservation(now) && mayHold(now)) {
        isHeld_ = true;
        return true;
    }
    if (target == nullptr && (relay(now) || refuseWithoutPaths()))
        return true;
    // A started request loses more by giving up, and another endpoint may become available.
    const bool hasBegun = events_ > 0 || possibleRuns_ > 0;
    if (const auto *later = std::get_if<NoEndpointInTime>(&choice); later != nullptr && !hasBegun) {
        retryAfter_ = later->retryAfter_;
        giveUp(later->reason_);
        return false;
    }
    const auto *none = std::get_if<NoTarget>(&choice);
    if (none != nullptr && *none == NoTarget::NoRegion && !hasBegun) {
        giveUp("no endpoint in the regions of the request");
        return false;
    }
    const bool endsCooldown = none != nullptr && *none == NoTarget::Cooldown;
    if ((service_->engine_ || endsCooldown) && mayHold(now)) {
        (void)holdForRoom(now);
        return target != nullptr;
    }
    if (target != nullptr && gateway_.retries().awaitsQuota(service_->name_) && mayHold(now)) {
        isHeld_ = true;
        return true;
    }
    if (target != nullptr) {
        giveUp("the fleet's repeats are used up");
        return true;
    }
    const bool isFull = none == nullptr || *none == NoTarget::Full;
    giveUp(isFull ? "all endpoints are full" : "no endpoint serves");
    return false;
}

Choice Session::choose(TimePoint now)
{
    RoutingRequest demand;
    demand.service_ = service_;
    demand.model_ = head_.model_;
    demand.tried_ = tried_;
    demand.regions_ = regions_;
    demand.promptTokens_ = head_.promptTokens_;
    demand.latencyGoal_ = route_->latencyGoal_;
    demand.wasQueued_ = wasHeld_;
    demand.hasPartialAnswer_ = events_ > 0;
    demand.suspect_ = gateway_.poisonPills().mainSuspect(fingerprints_);
    demand.gate_ = &gateway_.gate();
    demand.maxWait_ = holdLeft(now);
    demand.hasRanks_ = routes_->hasRanks(service_->name_);
    if (reservation_ && reservation_->isOpen(now))
        demand.reserved_ = reservation_->endpoint();
    return gateway_.parts().balancer_.choose(demand, now);
}

/// An attempt consumes the fleet's budget if an earlier one may have reached an endpoint.
bool Session::acquireRetry()
{
    if (!needsRetryBudget_)
        return true;
    needsRetryBudget_ = !gateway_.retries().take(service_->name_, head_.request_);
    return !needsRetryBudget_;
}

/// Abandons the current attempt if another endpoint has capacity now. Otherwise the attempt
/// continues, since a slow endpoint may still answer.
bool Session::moveToOtherEndpoint(std::string_view why, TimePoint now)
{
    if (!mayRetry(Failure::Unknown) || gateway_.poisonPills().awaitsVerdict(fingerprints_))
        return false;
    const auto choice = sends_ < maxSends ? choose(now) : Choice(NoTarget::NoEndpoint);
    const auto *target = std::get_if<Target>(&choice);
    const auto peer
        = target == nullptr && mayRelay() ? gateway_.carriers().choose(triedPeers_) : std::nullopt;
    if ((target == nullptr && !peer) || !gateway_.retries().take(service_->name_, head_.request_))
        return false;
    logFailure(why);
    dropAttempt();
    discardAnswer();
    if (target != nullptr)
        send(*target);
    else
        relayTo(*peer, now);
    return true;
}

/// Discards a buffered answer that will not be completed. Events already sent remain counted.
void Session::discardAnswer()
{
    if (phase_ != Phase::Buffered)
        return;
    phase_ = Phase::Waiting;
    answer_ = {};
}

/// By then some slots of a full group are free, and the caller can still meet its goal.
Duration Session::retryDelay() const
{
    if (retryAfter_)
        return *retryAfter_;
    return route_ == nullptr ? otherEntryRetryDelay
                             : fromSeconds(toSeconds(route_->latencyGoal_) * retryDelayShare);
}

/// Time without an event after which the caller of a stream is expected to disconnect.
Duration Session::callerPatience() const
{
    return std::max({minCallerPatience, 4 * route_->latencyGoal_, 8 * route_->eventGapGoal_});
}

/// Lost groups usually recover within 1 to 2 s. A caller held without success is answered before it
/// disconnects.
bool Session::mayHold(TimePoint now) const
{
    return holdLeft(now) > Duration::zero();
}

Duration Session::holdLeft(TimePoint now) const
{
    const auto allowed
        = toSeconds(std::min(callerPatience(), deadline_ - arrivedAt_)) * maxHoldShare;
    // The caller measures its patience from the last event that it received.
    const auto since = events_ > 0 ? progressAt_ : arrivedAt_;
    return fromSeconds(allowed) - (now - since);
}

bool Session::retryHeld()
{
    isHeld_ = false;
    return dispatch();
}

std::size_t Session::prefillTokens() const
{
    return head_.promptTokens_ + events_ * service_->engine_->tokensPerEvent_;
}

void Session::send(const Target &target)
{
    const auto now = gateway_.parts().clock_.now();
    target_ = target;
    viewAge_ = now - gateway_.endpointsConfirmedAt();
    gateway_.parts().metrics_.endpointsAge_.observe(toSeconds(viewAge_));
    isReserved_ = reservation_ && reservation_->endpoint() == target.incarnation();
    if (isReserved_)
        reservation_->use();
    reservation_.reset();
    limit_ = gateway_.limits().find(target.incarnation());
    if (limit_)
        gateway_.parts().metrics_.limitedSends_.increment();
    tried_.push_back(target.endpoint_);
    ++sends_;
    carrier_.reset();
    beginAttempt(now);
    AttemptHead attempt;
    attempt.endpoint_ = target.endpoint_;
    attempt.team_ = team_;
    attempt.patience_ = timeLeft(now);
    attempt.lastEvent_ = lastEventId_;
    if (routes_->hasRanks(service_->name_))
        attempt.requestPriority_ = std::min(priority_, maxRequestPriority);
    net::UpstreamRequest upstream;
    upstream.address_ = target.address_;
    upstream.method_ = request_.method_;
    upstream.target_ = request_.target_;
    upstream.fields_ = gateway_.parts().dialect_.attemptFields(request_.fields_, attempt);
    upstream.body_ = body_;
    send_ = gateway_.parts().loadTracker_.started(target.endpoint_,
                                                  service_->engine_ ? prefillTokens() : 0, now);
    startCall(std::move(upstream));
}

void Session::beginAttempt(TimePoint now)
{
    isConnected_ = false;
    hasProgress_ = false;
    hasHead_ = false;
    isAnswerReported_ = false;
    attemptAt_ = now;
    progressAt_ = now;
}

void Session::startCall(net::UpstreamRequest upstream)
{
    upstream.connectTimeout_ = std::min(connectTimeout, timeLeft(attemptAt_));
    upstream.longestIdle_ = isSafeToRetry() ? maxIdleSafeToRetry : maxIdleUnsafeToRetry;
    call_ = gateway_.parts().upstream_.start(std::move(upstream), *this);
}

void Session::dropAttempt()
{
    if (!call_)
        return;
    call_.reset();
    answerShare_.reset();
    isReadingPaused_ = false;
    unconsumed_ = 0;
    if (carrier_)
        gateway_.carriers().ended(carrier_->entry_);
    else
        gateway_.parts().loadTracker_.ended(target_.endpoint_, send_);
}

/// The endpoint was chosen before the connection was established, and the process may have been
/// suspended since, so its state is checked again.
bool Session::onConnected()
{
    const auto now = gateway_.parts().clock_.now();
    if (carrier_) {
        isConnected_ = true;
        ++possibleRuns_;
        return true;
    }
    switch (gateway_.gate().checkSend(target_.incarnation(), isReserved_, now)) {
    case SendDecision::Leaving:
        attemptFailed(Failure::NotSent, "the endpoint leaves");
        return false;
    case SendDecision::Evacuated:
        attemptFailed(Failure::NotSent, "the endpoint's availability zone is evacuated");
        return false;
    case SendDecision::Cooldown:
        tried_.pop_back();
        attemptFailed(Failure::NotSent, "the endpoint asks to be left alone");
        return false;
    case SendDecision::Limited:
        tried_.pop_back();
        attemptFailed(Failure::NotSent, "the endpoint takes few requests, and none is reserved");
        return false;
    case SendDecision::Send:
        break;
    }
    isConnected_ = true;
    ++possibleRuns_;
    return true;
}

void Session::onFailure(net::UpstreamFailure failure)
{
    if (failure.defect_)
        gateway_.parts().metrics_.brokenAnswers_.at(*failure.defect_).increment();
    if (carrier_) {
        relayFailed(failure);
        return;
    }
    const auto now = gateway_.parts().clock_.now();
    if (!failure.mayHaveLeft_) {
        gateway_.parts().loadTracker_.failed(target_.endpoint_, now);
        gateway_.paths().connectFailed(pathTarget(), attemptAt_, now);
    } else if (!failure.isTimeout_) {
        recordBrokenAttempt(now);
        gateway_.paths().connectionBroke(pathTarget(), now);
    }
    attemptFailed(failure.mayHaveLeft_ ? Failure::Unknown : Failure::NotSent, failure.detail_);
}

bool Session::isSafeToRetry() const
{
    return route_->kind_ == RequestKind::Idempotent || (isStream() && route_->isResumable_);
}

bool Session::mayRetry(Failure failure) const
{
    if ((sends_ >= maxSends && !mayRelay()) || quarantineLeft())
        return false;
    if (failure != Failure::Unknown)
        return true;
    // An endpoint that has sent nothing may still have started to run the request.
    return isSafeToRetry() && origin_.priorRuns_ + possibleRuns_ < route_->maxAttempts_;
}

PathTarget Session::pathTarget() const
{
    return {service_->name_, target_.endpoint_, target_.address_};
}

/// The endpoint may have crashed; the crash detector needs the requests that were in flight there.
void Session::reportBrokenAttempt()
{
    gateway_.onAttemptBroken(target_, {fingerprint_, hasProgress_, hasHead_}, head_.sharedParts_);
}

/// Counts against the endpoint unless attempts of the request have broken at other endpoints too.
void Session::recordBrokenAttempt(TimePoint now)
{
    if (carrier_)
        return;
    reportBrokenAttempt();
    if (gateway_.blamesEndpointForBreak(fingerprints_, target_.endpoint_))
        gateway_.parts().loadTracker_.broke(target_.endpoint_, send_, now);
}

void Session::attemptFailed(Failure failure, std::string_view detail)
{
    dropAttempt();
    logFailure(detail);
    discardAnswer();
    needsRetryBudget_ = needsRetryBudget_ || failure != Failure::NotSent;
    if (mayRetry(failure))
        dispatch();
    else if (failure == Failure::NotSent && mayAwaitRelay(gateway_.parts().clock_.now()))
        isHeld_ = true;
    else
        giveUp(detail);
}

void Session::recordProgress(TimePoint now)
{
    progressAt_ = now;
    hasProgress_ = true;
}

/// A healthy endpoint never pauses a started stream for long. A stream without events may be
/// waiting in the endpoint's queue, so it is moved early only if other requests there have stalled.
bool Session::isStalled(TimePoint now) const
{
    if (isReadingPaused_)
        return false;
    const auto silent = now - progressAt_;
    const auto firstEventPatience = fromSeconds(toSeconds(callerPatience()) * firstEventShare);
    // The carrier moves the request away from a silent endpoint, so only its own silence counts.
    if (carrier_)
        return silent > fromSeconds(toSeconds(callerPatience()) * carrierShare);
    if (!service_->engine_)
        return phase_ == Phase::Waiting && silent > plainStallGoals * route_->latencyGoal_;
    if (target_.stallTimeout_ == Duration::zero() || silent <= target_.stallTimeout_)
        return false;
    // If the endpoint only delays this request, others there make progress; on a stalled group none
    // do.
    const auto heard = now - gateway_.parts().loadTracker_.lastProgressAt(target_.endpoint_);
    if (heard <= target_.stallTimeout_)
        return !hasProgress_ && silent > firstEventPatience;
    if (hasProgress_ || silent > firstEventPatience)
        return true;
    return !gateway_.parts().loadTracker_.isUsable(target_.endpoint_, now)
           || !gateway_.paths().isReachable(target_.endpoint_);
}

void Session::check(TimePoint now)
{
    if (isDone_)
        return;
    if (awaitsStartup_ && isStartupWaitOver(now)) {
        resumeAfterStartup();
        return;
    }
    if (now >= deadline_) {
        if (isStreamEnded_)
            return; // The caller only has to read the rest.
        dropAttempt();
        giveUp("time-out");
        return;
    }
    const bool isExhausted = isHeld_ && sends_ >= maxSends && !mayRelay();
    if (isHeld_ && (!mayHold(now) || (isExhausted && !mayAwaitRelay(now)))) {
        isHeld_ = false;
        giveUp("no room in time");
        return;
    }
    if (isHeld_ && waitsInVain(now)) {
        refuseForLoad("no room before the goal has passed");
        return;
    }
    if (const auto reason = isHeld_ ? rejectionReason(now) : std::nullopt) {
        isHeld_ = false;
        giveUp(*reason);
        return;
    }
    resumeReading();
    if (!call_ || !isStalled(now))
        return;
    if (!carrier_) {
        gateway_.parts().loadTracker_.stalled(target_.endpoint_, now);
        gateway_.paths().stalled(pathTarget(), now);
    }
    if (moveToOtherEndpoint("the endpoint is silent", now))
        gateway_.parts().metrics_.stalls_.increment();
}

void Session::terminate()
{
    if (isDone_ || !exchange_)
        return;
    awaitsStartup_ = false;
    dropAttempt();
    giveUp("the entry VM stops");
}

void Session::endpointRestarted(const VmId &endpoint)
{
    if (isDone_ || !call_ || carrier_ || target_.endpoint_ != endpoint)
        return;
    reportBrokenAttempt();
    attemptFailed(Failure::Unknown, "the endpoint has started again");
}

void Session::callerLeft()
{
    if (isDone_)
        return;
    exchange_.reset();
    dropAttempt();
    finish("caller-left", "");
}

} // namespace cardamombay::serving
