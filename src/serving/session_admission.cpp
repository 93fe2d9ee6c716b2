// The first half of Session: whether a request may be served at all, by what is known here.
#include "serving/session.hpp"

#include "serving/caller_status.hpp"

#include <cardamombay/serving/gateway.hpp>
#include <cardamombay/serving/servable.hpp>

#include <utility>

namespace cardamombay::serving {

using namespace impl;

namespace {

/// What the control side lacks comes within about a second.
constexpr Duration comeBackLater = std::chrono::milliseconds(400);

/// Share of its time that a request waits for what the process learns at its start: a refusal costs
/// its caller one of few tries, and the rest is enough for the answer and another try elsewhere.
constexpr double learningShare = 0.25;

constexpr std::string_view poisonReason = "the request ends the endpoints that run it";

} // namespace

void Session::start()
{
    exchange_->onLost([weak = weak_from_this()] {
        if (const auto self = weak.lock())
            self->callerLeft();
    });
    // A refusal costs its caller one of its few tries; what is missing comes within some 30 ms.
    isWaiting_ = gateway_.isLearning() && !gateway_.isRefusing();
    if (!isWaiting_)
        begin();
}

void Session::beginWaiting()
{
    if (!isDone_ && std::exchange(isWaiting_, false)) {
        routes_ = gateway_.routes();
        begin();
    }
}

void Session::begin()
{
    if (!admit())
        return;
    gateway_.countRequest(*service_, head_);
    dispatch();
}

bool Session::admit()
{
    if (gateway_.isRefusing()) {
        refuse(statusUnavailable, "the entry VM stops", comeBackElsewhere);
        return false;
    }
    if (!routes_) {
        refuse(statusUnavailable, "no configuration yet", comeBackLater);
        return false;
    }
    route_ = routes_->route(head_.host_, request_.target_);
    if (route_ == nullptr) {
        refuse(statusUnknownRoute, "no route", std::nullopt);
        return false;
    }
    const auto allowed = std::min(route_->timeout_, head_.patience_.value_or(route_->timeout_));
    until_ = arrivedAt_ + allowed;
    regions_.ofRoute_ = route_->regions_;
    priority_ = route_->priority_;
    if (route_->needsKey_ && !routes_->configuration().teams_.empty()) {
        if (gateway_.unconfirmedFor() > gateway_.bounds().longestUnconfirmed_) {
            refuse(statusUnavailable, "keys not confirmed lately", comeBackLater);
            return false;
        }
        const auto *team = routes_->team(head_.key_);
        if (team == nullptr) {
            refuse(statusUnauthorized, "unknown key", std::nullopt);
            return false;
        }
        team_ = team->name_;
        regions_.ofTeam_ = team->regions_;
        priority_ = team->priority_.value_or(priority_);
    }
    const auto *backend = chooseBackend(*route_, gateway_.draw());
    service_ = backend == nullptr ? nullptr : routes_->service(backend->service_);
    if (service_ == nullptr) {
        refuse(statusUnavailable, "the route leads to no known service", comeBackLater);
        return false;
    }
    fingerprint_
        = fingerprintOf({request_.method_, head_.host_, request_.target_, team_, request_.body_});
    if (refuseQuarantined())
        return false;
    if (const auto reason = hopeless(gateway_.parts().clock_.now())) {
        refuse(statusUnavailable, *reason, std::nullopt);
        return false;
    }
    return true;
}

/// True if a request has waited its share for what the process learns.
bool Session::hasWaitedEnough(TimePoint now) const
{
    const auto allowed = toSeconds(head_.patience_.value_or(leastCallerPatience)) * learningShare;
    return toSeconds(now - arrivedAt_) >= allowed;
}

/// It has not run here, and will not before the time that its caller is told: a status that forbids
/// callers to come back would outlast a verdict that an operator lifts.
bool Session::refuseQuarantined()
{
    const auto left
        = gateway_.poisonPills().quarantinedFor(fingerprint_, gateway_.parts().clock_.now());
    if (!left)
        return false;
    gateway_.parts().metrics_.quarantined_.increment();
    refuse(statusUnavailable, poisonReason, *left);
    return true;
}

/// One that an endpoint is answering has begun without ending it, and goes on there.
void Session::quarantined(const PoisonVerdict &verdict)
{
    const bool isAdmitted = !isDone_ && !isWaiting_ && service_ != nullptr;
    const bool isAnswered = isStreamEnded_ || (call_ && hasProgress_);
    if (!isAdmitted || isAnswered || fingerprint_ != verdict.request_)
        return;
    isHeld_ = false;
    dropAttempt();
    if (mayHaveRun_ > 0 || events_ > 0)
        giveUp(poisonReason);
    else
        (void)refuseQuarantined();
}

/// Why no group could serve the request any more, whatever becomes free; absent if one may.
std::optional<std::string_view> Session::hopeless(TimePoint now) const
{
    return unservableReason(*service_, {head_.model_, head_.promptTokens_, timeLeft(now)});
}

} // namespace cardamombay::serving
