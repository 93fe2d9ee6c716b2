// Relay part of Session: requests that another entry VM carries to an endpoint.
#include "serving/session.hpp"

#include "serving/caller_status.hpp"
#include "serving/relay_fields.hpp"

#include <cardamombay/serving/gateway.hpp>

#include <algorithm>
#include <utility>

namespace cardamombay::serving {

using namespace impl;

namespace {

/// Entry VMs that a request is relayed to, one after the other.
constexpr std::size_t maxRelays = 3;
/// Including those that turn out to reach no endpoint either, which do not count above.
constexpr std::size_t maxRelayAttempts = 8;

constexpr std::string_view noPathsReason = "no entry VM that is known reaches the endpoints";

/// By then other entry VMs have told whether they reach the endpoints.
constexpr Duration maxRelayWait = std::chrono::milliseconds(600);

} // namespace

/// True if the request has begun, no endpoint is left to try, and this entry VM may turn out to be
/// partitioned. The caller of one that has not begun can soon try another entry VM.
bool Session::mayAwaitRelay(TimePoint now) const
{
    const bool hasBegun = events_ > 0 || possibleRuns_ > 0;
    return hasBegun && !origin_.isRelayed_ && service_->engine_ && isSafeToRetry() && mayHold(now)
           && now - attemptAt_ <= maxRelayWait && gateway_.carriers().hasAny();
}

/// A relayed request is never relayed again, so that requests cannot circulate.
bool Session::mayRelay() const
{
    if (origin_.isRelayed_ || relays_ >= maxRelays || triedPeers_.size() >= maxRelayAttempts)
        return false;
    return gateway_.paths().isPartitionedFrom(service_->name_);
}

/// Relays the request if this entry VM cannot reach the endpoints and another one can.
/// \returns false if the request was not sent.
bool Session::relay(TimePoint now)
{
    if (!mayRelay() || (relays_ > 0 && !mayHold(now)))
        return false;
    const auto peer = gateway_.carriers().choose(triedPeers_);
    if (!peer || !acquireRetry())
        return false;
    relayTo(*peer, now);
    return true;
}

void Session::relayTo(const Carrier &peer, TimePoint now)
{
    target_ = {};
    limit_.reset();
    reservation_.reset();
    isReserved_ = false;
    carrier_ = peer;
    triedPeers_.push_back(peer.entry_);
    ++relays_;
    beginAttempt(now);
    RelayHead head;
    head.patience_ = timeLeft(now);
    head.lastEvent_ = lastEventId_;
    net::UpstreamRequest upstream;
    upstream.address_ = peer.address_;
    upstream.method_ = request_.method_;
    upstream.target_ = request_.target_;
    upstream.fields_ = gateway_.parts().dialect_.relayFields(request_.fields_, head);
    setPriorRuns(upstream.fields_, possibleRuns_);
    upstream.body_ = body_;
    startCall(std::move(upstream));
    gateway_.carriers().started(peer.entry_);
    gateway_.parts().metrics_.relayed_.increment();
}

/// The carrier answers 503 only if the request has not run there. All other answers are those of
/// the endpoint, or the carrier's final ones.
void Session::onRelayedHead(net::HttpResponse head)
{
    const auto answer = gateway_.parts().dialect_.parseResponseHead(head);
    const auto runs = takeRuns(head.fields_);
    if (answer.isSealed_ || head.status_ != statusUnavailable) {
        // One was counted when the request was written.
        possibleRuns_ += std::max<std::size_t>(runs, 1) - 1;
        recordProgress(gateway_.parts().clock_.now());
        takeHead(std::move(head), answer.isSealed_);
        return;
    }
    --possibleRuns_;
    retryAfter_ = answer.notices_.cooldown_;
    if (hasLostPaths(head)) {
        gateway_.carriers().failed(carrier_->entry_);
        --relays_;
    }
    gateway_.parts().metrics_.relaysRefused_.increment();
    // An endpoint may have received the request and refused it.
    needsRetryBudget_ = needsRetryBudget_ || !hasLostPaths(head);
    attemptFailed(Failure::NotSent, "refused by " + carrier_->entry_.text());
}

void Session::relayFailed(const net::UpstreamFailure &failure)
{
    gateway_.carriers().failed(carrier_->entry_);
    gateway_.parts().metrics_.relaysBroken_.increment();
    attemptFailed(failure.mayHaveLeft_ ? Failure::Unknown : Failure::NotSent, failure.detail_);
}

/// Refuses a request that has not begun, if neither this entry VM nor a known carrier reaches the
/// endpoints. A carrier marks its refusal, so that the sender tries another one.
bool Session::refuseWithoutPaths()
{
    const bool canBeCarried = !origin_.isRelayed_ && gateway_.carriers().hasAny();
    const bool hasBegun = possibleRuns_ > 0 || events_ > 0;
    if (hasBegun || canBeCarried || !gateway_.paths().isPartitionedFrom(service_->name_))
        return false;
    if (!origin_.isRelayed_) {
        refuse(statusUnavailable, noPathsReason, otherEntryRetryDelay);
        return true;
    }
    auto response
        = gateway_.parts().dialect_.failure(statusUnavailable, noPathsReason, otherEntryRetryDelay);
    markPathsLost(response);
    std::exchange(exchange_, nullptr)->respond(std::move(response));
    finish("refused", noPathsReason);
    return true;
}

} // namespace cardamombay::serving
