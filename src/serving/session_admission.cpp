// Admission part of Session: decides whether a request may be served.
#include "serving/session.hpp"

#include "serving/caller_status.hpp"

#include <cardamombay/serving/gateway.hpp>
#include <cardamombay/serving/servable.hpp>

#include <utility>

namespace cardamombay::serving {

using namespace impl;

namespace {

/// Retry delay while control plane state is missing, which arrives within about a second.
constexpr Duration controlStateRetryDelay = std::chrono::milliseconds(400);

/// Share of the caller's patience for which a request waits for the startup of the process. A
/// refusal would use up one of the caller's few attempts; the remaining time suffices for the
/// answer and another attempt elsewhere.
constexpr double startupWaitShare = 0.25;

constexpr std::string_view poisonReason = "the request ends the endpoints that run it";

} // namespace

void Session::start()
{
    exchange_->onLost([weak = weak_from_this()] {
        if (const auto self = weak.lock())
            self->callerLeft();
    });
    // A refusal would use up one of the caller's few attempts; missing state arrives in about 30
    // ms.
    awaitsStartup_ = gateway_.isLearning() && !gateway_.isRefusing();
    if (!awaitsStartup_)
        begin();
}

void Session::resumeAfterStartup()
{
    if (!isDone_ && std::exchange(awaitsStartup_, false)) {
        routes_ = gateway_.routes();
        begin();
    }
}

void Session::begin()
{
    if (!admit())
        return;
    if (!origin_.isRelayed_)
        gateway_.countRequest(*service_, head_);
    if (admitUnderLoad())
        dispatch();
}

bool Session::admit()
{
    if (gateway_.isRefusing()) {
        refuse(statusUnavailable, "the entry VM stops", otherEntryRetryDelay);
        return false;
    }
    if (!routes_) {
        refuse(statusUnavailable, "no configuration yet", controlStateRetryDelay);
        return false;
    }
    route_ = routes_->route(head_.host_, request_.target_);
    if (route_ == nullptr) {
        refuse(statusUnknownRoute, "no route", std::nullopt);
        return false;
    }
    const auto allowed = std::min(route_->timeout_, head_.patience_.value_or(route_->timeout_));
    deadline_ = arrivedAt_ + allowed;
    regions_.ofRoute_ = &route_->regions_;
    priority_ = route_->priority_;
    if (route_->needsKey_ && !admitKey())
        return false;
    const auto *backend = chooseBackend(*route_, gateway_.randomUnit());
    service_ = backend == nullptr ? nullptr : routes_->service(backend->service_);
    if (service_ == nullptr) {
        refuse(statusUnavailable, "the route leads to no known service", controlStateRetryDelay);
        return false;
    }
    if (head_.arePartsIncomplete_)
        gateway_.parts().metrics_.incompleteParts_.increment();
    fingerprint_
        = fingerprintOf({request_.method_, head_.host_, request_.target_, team_, body_.view()});
    fingerprints_ = {fingerprint_};
    fingerprints_.insert(fingerprints_.end(), head_.sharedParts_.begin(), head_.sharedParts_.end());
    if (refuseQuarantined())
        return false;
    if (const auto reason = rejectionReason(gateway_.parts().clock_.now())) {
        refuse(statusUnavailable, *reason, std::nullopt);
        return false;
    }
    return !isStream() || openBufferShare();
}

/// Sets what depends on the team of the request's key.
/// \returns false if the request was refused.
bool Session::admitKey()
{
    const auto policy = routes_->configuration().keyPolicy_;
    if (policy == KeyPolicy::NotRequired)
        return true;
    if (policy == KeyPolicy::Unreadable) {
        refuse(statusUnavailable, "keys of the configuration unreadable", controlStateRetryDelay);
        return false;
    }
    if (gateway_.unconfirmedFor() > gateway_.bounds().longestUnconfirmed_) {
        refuse(statusUnavailable, "keys not confirmed lately", controlStateRetryDelay);
        return false;
    }
    const auto *team = routes_->team(head_.key_);
    if (team == nullptr) {
        refuse(statusUnauthorized, "unknown key", std::nullopt);
        return false;
    }
    team_ = team->name_;
    regions_.ofTeam_ = &team->regions_;
    priority_ = team->priority_.value_or(priority_);
    return true;
}

/// \returns false if the stream was refused, since other callers have too much left to read.
bool Session::openBufferShare()
{
    auto &buffers = gateway_.callerBuffers();
    if (!buffers.acceptsStreams()) {
        gateway_.parts().metrics_.callerBufferRefusals_.increment();
        refuse(statusUnavailable, "callers read too slowly", retryDelay());
        return false;
    }
    bufferShare_.emplace(buffers);
    return true;
}

/// True if the request has used up its share of waiting for startup.
bool Session::isStartupWaitOver(TimePoint now) const
{
    const auto allowed = toSeconds(head_.patience_.value_or(minCallerPatience)) * startupWaitShare;
    return toSeconds(now - arrivedAt_) >= allowed;
}

std::optional<Duration> Session::quarantineLeft() const
{
    return gateway_.poisonPills().quarantinedFor(fingerprints_, gateway_.parts().clock_.now());
}

/// Answers 503 with a retry delay: the request has not run and will not until then. A status that
/// forbids retries would stay in effect after an operator has lifted the quarantine.
bool Session::refuseQuarantined()
{
    const auto left = quarantineLeft();
    if (!left)
        return false;
    gateway_.parts().metrics_.quarantined_.increment();
    refuse(statusUnavailable, poisonReason, *left);
    return true;
}

/// A request that is being answered has started without crashing the endpoint, and continues.
void Session::endIfQuarantined()
{
    const bool isAdmitted = !isDone_ && !awaitsStartup_ && service_ != nullptr;
    const bool isAnswered = isStreamEnded_ || (call_ && hasProgress_);
    if (!isAdmitted || isAnswered || !quarantineLeft())
        return;
    isHeld_ = false;
    dropAttempt();
    if (possibleRuns_ > 0 || events_ > 0)
        giveUp(poisonReason);
    else
        (void)refuseQuarantined();
}

/// Reason why no group can serve the request even if capacity becomes free; std::nullopt if one
/// can.
std::optional<std::string_view> Session::rejectionReason(TimePoint now) const
{
    return unservableReason(*service_, {head_.model_, head_.promptTokens_, timeLeft(now)});
}

} // namespace cardamombay::serving
