#include "serving/session.hpp"

#include <cardamombay/serving/gateway.hpp>

#include <utility>

namespace cardamombay::serving {

namespace {

/// When a caller that found no room is asked to come back, as a share of its goal; those that come
/// back later have less time left for their answers.
constexpr double comeBackShare = 0.2;
/// Sends of one request, refused ones included; each counts against the fleet's budget.
constexpr std::size_t mostSends = 4;

/// An unused connection that is older may have been dropped by the endpoint without notice. What
/// may not run twice takes a fresh one then: a reset could not be told from a run.
constexpr Duration longestIdleOnce = std::chrono::milliseconds(300);
/// What may run again takes older ones, as long as the endpoint keeps them.
constexpr Duration longestIdle = std::chrono::seconds(10);

/// A plain endpoint that has not answered an idempotent request after so many goals is left for
/// another one: at one goal it is late, and a slow answer often comes soon after.
constexpr int plainPatienceGoals = 2;

/// Share of the time after which the caller of a stream leaves; one that has not begun by then is
/// tried elsewhere, whatever holds it up, and has the other half for it.
constexpr double waitingShare = 0.5;

/// Share of the caller's patience for which a request is held for room; the rest is for its first
/// event.
constexpr double longestHoldShare = 0.65;

constexpr Duration connectPatience = std::chrono::milliseconds(250);

} // namespace

Session::Session(Gateway &gateway, net::ServerRequest request,
                 std::shared_ptr<net::ServerExchange> exchange)
    : gateway_(gateway)
    , request_(std::move(request))
    , exchange_(std::move(exchange))
    , head_(gateway.parts().dialect_.callerHead(request_.fields_))
    , arrivedAt_(gateway.parts().clock_.now())
    , until_(TimePoint::max())
    , routes_(gateway.routes())
{
}

Session::~Session() = default;

/// \returns false if no endpoint has room, also for others that ask for the same model.
bool Session::dispatch()
{
    const auto now = gateway_.parts().clock_.now();
    // A VM that was suspended may learn of a failure before it sees that the time is over.
    if (now >= until_) {
        giveUp("time-out");
        return true;
    }
    dropBarredReservation(now);
    auto choice = choose(now);
    while (const auto *needed = std::get_if<NeedsReservation>(&choice)) {
        if (awaitsReservation(now) || !reserve(*needed, now))
            break;
        choice = choose(now);
    }
    const auto *target = std::get_if<Target>(&choice);
    if (target != nullptr && takeRepeat()) {
        send(*target);
        return true;
    }
    if (awaitsReservation(now) && mayHold(now)) {
        isHeld_ = true;
        return true;
    }
    // What has begun has more to lose, and another endpoint may become free.
    const bool hasBegun = events_ > 0 || mayHaveRun_ > 0;
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
        isHeld_ = true;
        wasHeld_ = true;
        return target != nullptr;
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
    demand.goal_ = route_->goal_;
    demand.wasQueued_ = wasHeld_;
    demand.hasPartialAnswer_ = events_ > 0;
    if (gateway_.poisonPills().isSuspect(fingerprint_))
        demand.suspect_ = fingerprint_;
    demand.gate_ = &gateway_.gate();
    demand.maxWait_ = holdLeft(now);
    if (reservation_ && reservation_->isOpen(now))
        demand.reserved_ = reservation_->endpoint();
    return gateway_.parts().balancer_.choose(demand, now);
}

/// An attempt after one that may have reached an endpoint draws on the fleet's budget.
bool Session::takeRepeat()
{
    if (!isRepeat_)
        return true;
    isRepeat_ = !gateway_.mayRepeat(service_->name_);
    return !isRepeat_;
}

/// Leaves the present attempt for another endpoint if one has room now. Otherwise the attempt goes
/// on: an endpoint that is only slow still answers.
bool Session::moveElsewhere(std::string_view why, TimePoint now)
{
    if (!mayGoOn(Failure::Unknown))
        return false;
    const auto choice = choose(now);
    const auto *target = std::get_if<Target>(&choice);
    if (target == nullptr || !gateway_.mayRepeat(service_->name_))
        return false;
    logFailure(why);
    dropAttempt();
    forgetAnswer();
    send(*target);
    return true;
}

/// Forgets a head whose answer will not come; events that the caller has stay counted.
void Session::forgetAnswer()
{
    if (phase_ != Phase::Whole)
        return;
    phase_ = Phase::Waiting;
    answer_ = {};
}

/// Some places of a full group are free by then, and the caller may still be on time.
Duration Session::comeBack() const
{
    if (retryAfter_)
        return *retryAfter_;
    return route_ == nullptr ? comeBackElsewhere
                             : fromSeconds(toSeconds(route_->goal_) * comeBackShare);
}

/// A caller of a stream leaves after that long without an event.
Duration Session::callerPatience() const
{
    return std::max({leastCallerPatience, 4 * route_->goal_, 8 * route_->pauseGoal_});
}

/// Groups are mostly back within a second or two. Who is held in vain gets word before it leaves.
bool Session::mayHold(TimePoint now) const
{
    return holdLeft(now) > Duration::zero();
}

Duration Session::holdLeft(TimePoint now) const
{
    const auto allowed
        = toSeconds(std::min(callerPatience(), until_ - arrivedAt_)) * longestHoldShare;
    // What counts for the caller is the pause since the last event that it got.
    const auto since = events_ > 0 ? progressAt_ : arrivedAt_;
    return fromSeconds(allowed) - (now - since);
}

bool Session::retryHeld()
{
    isHeld_ = false;
    return dispatch();
}

std::size_t Session::tokensToRead() const
{
    return head_.promptTokens_ + events_ * service_->engine_->stride_;
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
    isConnected_ = false;
    hasProgress_ = false;
    attemptAt_ = now;
    progressAt_ = now;
    AttemptHead attempt;
    attempt.endpoint_ = target.endpoint_;
    attempt.team_ = team_;
    attempt.patience_ = timeLeft(now);
    attempt.lastEvent_ = lastEvent_;
    net::UpstreamRequest upstream;
    upstream.address_ = target.address_;
    upstream.method_ = request_.method_;
    upstream.target_ = request_.target_;
    upstream.fields_ = gateway_.parts().dialect_.attemptFields(request_.fields_, attempt);
    upstream.body_ = request_.body_;
    upstream.connectTimeout_ = std::min(connectPatience, timeLeft(now));
    upstream.longestIdle_ = mayRunAgain() ? longestIdle : longestIdleOnce;
    gateway_.parts().loadTracker_.started(target.endpoint_, service_->engine_ ? tokensToRead() : 0,
                                          now);
    call_ = gateway_.parts().upstream_.start(std::move(upstream), *this);
}

void Session::dropAttempt()
{
    if (!call_)
        return;
    call_.reset();
    gateway_.parts().loadTracker_.ended(target_.endpoint_);
}

/// The choice is as old as the connection took, or as long as the process was suspended meanwhile.
bool Session::onConnected()
{
    const auto now = gateway_.parts().clock_.now();
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
    ++mayHaveRun_;
    return true;
}

void Session::onFailure(net::UpstreamFailure failure)
{
    const auto now = gateway_.parts().clock_.now();
    if (!failure.mayHaveLeft_)
        gateway_.parts().loadTracker_.failed(target_.endpoint_, now);
    else if (!failure.isTimeout_)
        noteBroken();
    attemptFailed(failure.mayHaveLeft_ ? Failure::Unknown : Failure::NotSent, failure.detail_);
}

bool Session::mayRunAgain() const
{
    return route_->kind_ == RequestKind::Idempotent || (isStream() && route_->isResumable_);
}

bool Session::mayGoOn(Failure failure) const
{
    if (sends_ >= mostSends
        || gateway_.poisonPills().quarantinedFor(fingerprint_, gateway_.parts().clock_.now()))
        return false;
    if (failure != Failure::Unknown)
        return true;
    // An endpoint that has sent nothing may have begun all the same.
    return mayRunAgain() && mayHaveRun_ < route_->mostTries_;
}

/// The endpoint may have ended with the connection; which requests it had then is worth knowing.
void Session::noteBroken()
{
    gateway_.attemptBroke(target_, {fingerprint_, hasProgress_});
}

void Session::attemptFailed(Failure failure, std::string_view detail)
{
    dropAttempt();
    logFailure(detail);
    forgetAnswer();
    isRepeat_ = isRepeat_ || failure != Failure::NotSent;
    if (mayGoOn(failure))
        dispatch();
    else
        giveUp(detail);
}

void Session::noteProgress(TimePoint now)
{
    progressAt_ = now;
    hasProgress_ = true;
}

/// A stream that has begun never pauses for long at a healthy endpoint. One that waits may stand in
/// the endpoint's queue: it is moved early only if others there have stalled.
bool Session::isStalled(TimePoint now) const
{
    const auto silent = now - progressAt_;
    if (!service_->engine_)
        return phase_ == Phase::Waiting && silent > plainPatienceGoals * route_->goal_;
    if (target_.stallTimeout_ == Duration::zero() || silent <= target_.stallTimeout_)
        return false;
    // A request that the endpoint has put off lets the others pass; a group that stands still
    // doesn't.
    const auto waitingPatience = fromSeconds(toSeconds(callerPatience()) * waitingShare);
    const auto heard = now - gateway_.parts().loadTracker_.lastProgressAt(target_.endpoint_);
    if (heard <= target_.stallTimeout_)
        return !hasProgress_ && silent > waitingPatience;
    if (hasProgress_ || silent > waitingPatience)
        return true;
    return !gateway_.parts().loadTracker_.isUsable(target_.endpoint_, now);
}

void Session::check(TimePoint now)
{
    if (isDone_)
        return;
    if (isWaiting_ && hasWaitedEnough(now)) {
        beginWaiting();
        return;
    }
    if (now >= until_) {
        if (isStreamEnded_)
            return; // Only the caller's reading is missing.
        dropAttempt();
        giveUp("time-out");
        return;
    }
    if (isHeld_ && !mayHold(now)) {
        isHeld_ = false;
        giveUp("no room in time");
        return;
    }
    if (const auto reason = isHeld_ ? hopeless(now) : std::nullopt) {
        isHeld_ = false;
        giveUp(*reason);
        return;
    }
    if (!call_ || !isStalled(now))
        return;
    gateway_.parts().loadTracker_.stalled(target_.endpoint_, now);
    if (moveElsewhere("the endpoint is silent", now))
        gateway_.parts().metrics_.stalls_.increment();
}

void Session::cut()
{
    if (isDone_ || !exchange_)
        return;
    isWaiting_ = false;
    dropAttempt();
    giveUp("the entry VM stops");
}

void Session::endpointRestarted(const VmId &endpoint)
{
    if (isDone_ || !call_ || target_.endpoint_ != endpoint)
        return;
    noteBroken();
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
