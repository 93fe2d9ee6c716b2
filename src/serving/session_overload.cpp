// Overload part of Session: admission by rank and team, waits with a forecast, and returns.
#include "serving/session.hpp"

#include "serving/caller_status.hpp"

#include <cardamombay/serving/gateway.hpp>

#include <algorithm>

namespace cardamombay::serving {

using namespace impl;

namespace {

constexpr std::string_view overloadReason = "more work is asked for than the groups can do";
constexpr std::string_view waitReason = "no room before the goal has passed";
constexpr std::string_view displacedReason = "more urgent requests fill the queue";

} // namespace

/// \returns true if the request may be sent now; otherwise it has been refused or awaits the answer
/// about its return.
bool Session::admitUnderLoad()
{
    auto &overload = gateway_.overload();
    if (!overload.controls(*service_))
        return true;
    controlled_ = overload.describe(*service_, head_, priority_, team_, fingerprint_,
                                    toSeconds(gateway_.workOf(*service_, head_)));
    if (origin_.isRelayed_)
        return true;
    if (overload.admits(*service_, *controlled_)) {
        overload.count(*controlled_);
        return true;
    }
    refuseForLoad(overloadReason);
    return false;
}

/// Refuses a request of which no attempt can have run, and tells its caller when to come back.
/// Before that, asks whether its caller has come back when told to: it will not come a third time.
void Session::refuseForLoad(std::string_view reason)
{
    isHeld_ = false;
    auto &overload = gateway_.overload();
    if (origin_.isRelayed_) {
        refuseNow(reason);
        return;
    }
    const bool maybeReturned
        = !wasClaimAsked_ && overload.expectsReturns(controlled_->admission_.model_);
    if (!maybeReturned) {
        overload.count(*controlled_);
        refuseNow(reason);
        return;
    }
    wasClaimAsked_ = true;
    awaitsClaim_ = true;
    overload.returns().claim(fingerprint_, claimWait(route_->latencyGoal_),
                             [weak = weak_from_this(), reason](bool isGranted) {
                                 if (const auto self = weak.lock())
                                     self->claimAnswered(isGranted, reason);
                             });
}

/// \param reason why the request is refused if its caller has not come back.
void Session::claimAnswered(bool isGranted, std::string_view reason)
{
    if (isDone_ || !std::exchange(awaitsClaim_, false))
        return;
    controlled_->hasReturned_ = isGranted;
    gateway_.overload().count(*controlled_);
    if (isGranted)
        dispatch();
    else
        refuseNow(reason);
}

void Session::refuseNow(std::string_view reason)
{
    const auto now = gateway_.parts().clock_.now();
    retryAfter_ = gateway_.overload().returnTime(*controlled_, timeLeft(now));
    auto &metrics = gateway_.parts().metrics_;
    metrics.refusedForLoad_.increment();
    metrics.overload_.refused(controlled_->admission_.model_, reason);
    refuse(statusUnavailable, reason, retryAfter_);
}

bool Session::mayRefuseForLoad() const
{
    return controlled_ && possibleRuns_ == 0 && events_ == 0;
}

overload::HeldRequest Session::heldRequest() const
{
    return {controlled_ ? controlled_->admission_.rank_ : priority_,
            controlled_ && controlled_->hasReturned_,
            !mayRefuseForLoad(),
            arrivedAt_,
            head_.request_,
            controlled_ ? controlled_->work_ : 0};
}

/// Time for which waiting for room is of use to the caller.
Duration Session::usefulWait(TimePoint now) const
{
    RoutingRequest request;
    request.service_ = service_;
    request.model_ = head_.model_;
    request.promptTokens_ = head_.promptTokens_;
    const auto first = gateway_.parts().balancer_.firstEventTime(request);
    return overload::usefulWait({route_->latencyGoal_,
                                 std::min(callerPatience(), deadline_ - arrivedAt_),
                                 now - arrivedAt_, first, controlled_->hasReturned_});
}

/// True if the request is forecast to find room too late to be of use.
bool Session::waitsInVain(TimePoint now)
{
    if (!mayRefuseForLoad())
        return false;
    // Without work ahead the forecast is zero, however long the request has waited.
    const auto useful = usefulWait(now);
    if (useful <= Duration::zero())
        return true;
    const auto held = gateway_.heldRequests(head_.model_);
    forecast_ = {gateway_.overload().forecast(heldRequest(), held, head_.model_), useful};
    return forecast_->wait_ > useful;
}

/// Holds the request if that is of use, or refuses it.
/// \returns false if it was refused.
bool Session::holdForRoom(TimePoint now)
{
    if (waitsInVain(now)) {
        refuseForLoad(waitReason);
        return false;
    }
    isHeld_ = true;
    wasHeld_ = true;
    if (mayRefuseForLoad())
        gateway_.displaceHeld(*this);
    return !isDone_;
}

void Session::displace()
{
    gateway_.parts().metrics_.displaced_.increment();
    refuseForLoad(displacedReason);
}

} // namespace cardamombay::serving
