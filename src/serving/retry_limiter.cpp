#include <cardamombay/serving/retry_limiter.hpp>

#include "serving/log_events.hpp"

#include <cardamombay/log/log.hpp>

#include <algorithm>
#include <cmath>
#include <utility>

namespace cardamombay::serving {

namespace {

/// Share of the budget that is divided. Endpoints count requests and arrivals at other moments than
/// entry VMs, so both may fall into different windows.
constexpr double dividedShare = 0.9;

/// Held requests ask for a retry at each sweep.
constexpr Duration refusalLogInterval = std::chrono::seconds(1);

std::string rounded(double figure)
{
    return std::to_string(std::lround(figure));
}

} // namespace

RetryLimiter::RetryLimiter(Clock &clock, GatewayMetrics &metrics, Random random)
    : clock_(clock)
    , metrics_(metrics)
    , exchange_(clock, *this, random)
{
}

void RetryLimiter::setBound(const RetryBound &fleet)
{
    fleet_ = fleet;
}

RetryBound RetryLimiter::ownBound() const
{
    if (isBlocked_)
        return {0, 0, fleet_.window_};
    const auto part = isLeaving_ ? 0 : reservePart_;
    return {fleet_.share_ * dividedShare, fleet_.reserve_ * dividedShare * part, fleet_.window_};
}

void RetryLimiter::countRequest(const ServiceName &service)
{
    quotas_[service].countRequest(ownBound(), clock_.now());
}

bool RetryLimiter::take(const ServiceName &service, const RequestId &request)
{
    const auto now = clock_.now();
    const auto bound = ownBound();
    auto &quota = quotas_[service];
    const bool isTaken = quota.take(bound, now);
    if (isTaken) {
        metrics_.retries_.increment();
        ++unreported_;
    } else
        refused_[service] += 1;
    const auto left = std::max(0.0, quota.unused(bound, now)) + quota.received(now);
    const auto wanted = refused_[service] + quota.expectedNeed(bound, now);
    if (left < wanted)
        exchange_.need(service, wanted - left);
    logDecision(service, request, isTaken);
    return isTaken;
}

void RetryLimiter::inherit(const QuotaReport &report, Duration age)
{
    for (const auto &[service, use] : report.services_)
        quotas_[service].inherit(fleet_, use, age, clock_.now());
}

QuotaReport RetryLimiter::report()
{
    unreported_ = 0;
    QuotaReport result;
    result.reservePart_ = reservePart_;
    for (const auto &[service, quota] : quotas_) {
        if (auto use = quota.use(fleet_, clock_.now()); !use.spent_.empty())
            result.services_.emplace(service, std::move(use));
    }
    return result;
}

std::map<ServiceName, RetryCounts> RetryLimiter::counts() const
{
    std::map<ServiceName, RetryCounts> result;
    for (const auto &[service, quota] : quotas_)
        result.emplace(service, quota.counts(fleet_, clock_.now()));
    return result;
}

void RetryLimiter::setPeerCounts(std::map<ServiceName, RetryCounts> counts, TimePoint oldestAt)
{
    peerCounts_ = std::move(counts);
    peerCountsAt_ = oldestAt;
    metrics_.retryBudgetUsed_.set(usedShare());
}

/// Largest share of a service's budget that the fleet has used in the last window, as far as known.
double RetryLimiter::usedShare() const
{
    double result = 0;
    for (const auto &[service, own] : counts()) {
        const auto found = peerCounts_.find(service);
        const auto others = found == peerCounts_.end() ? RetryCounts() : found->second;
        const auto budget = (own.requests_ + others.requests_) * fleet_.share_ + fleet_.reserve_;
        if (budget > 0)
            result = std::max(result, (own.retries_ + others.retries_) / budget);
    }
    return result;
}

void RetryLimiter::sweep()
{
    refused_.clear();
    exchange_.sweep();
}

double RetryLimiter::giveQuota(const ServiceName &service, double wanted)
{
    const auto found = quotas_.find(service);
    if (found == quotas_.end())
        return 0;
    const auto given = found->second.transferOut(ownBound(), wanted, clock_.now());
    metrics_.quotaGiven_.increment(given);
    return given;
}

void RetryLimiter::takeQuota(const ServiceName &service, double amount, TimePoint until)
{
    metrics_.quotaReceived_.increment(amount);
    quotas_[service].transferIn(amount, until, clock_.now());
}

void RetryLimiter::logDecision(const ServiceName &service, const RequestId &request, bool isTaken)
{
    const auto now = clock_.now();
    if (!isTaken) {
        const auto [place, isNew] = refusalLoggedAt_.try_emplace(service, now);
        if (!isNew && now - place->second < refusalLogInterval)
            return;
        place->second = now;
    }
    const auto &quota = quotas_[service];
    const auto bound = ownBound();
    const auto own = quota.counts(bound, now);
    const auto found = peerCounts_.find(service);
    const bool isKnown = found != peerCounts_.end();
    log::info(isTaken ? event::retryTaken : event::retryRefused,
              {{"request", request.text()},
               {"service", service.text()},
               {"own-requests", rounded(own.requests_)},
               {"own-retries", rounded(own.retries_)},
               {"reserve", std::to_string(bound.reserve_)},
               {"unused", std::to_string(quota.unused(bound, now))},
               {"received", std::to_string(quota.received(now))},
               {"peer-requests", isKnown ? rounded(found->second.requests_) : "unknown"},
               {"peer-retries", isKnown ? rounded(found->second.retries_) : "unknown"},
               {"peers-age-ms",
                isKnown ? std::to_string(toMilliseconds(now - peerCountsAt_)) : "unknown"}});
}

} // namespace cardamombay::serving
