#include <cardamombay/serving/endpoint_notices.hpp>

#include "serving/log_events.hpp"

#include <cardamombay/log/log.hpp>

#include <algorithm>
#include <chrono>
#include <string>
#include <utility>

namespace cardamombay::serving {

namespace {

/// Longer cooldowns are capped: an endpoint that requested a year would never be used again.
constexpr Duration maxCooldown = std::chrono::hours(1);

/// How long a shutdown notice is kept. The endpoint is gone long before; if it still responds, it
/// repeats the notice.
constexpr Duration leavingRetention = std::chrono::hours(1);

/// Updates are repeated in several digests to tolerate the loss of one.
constexpr Duration reportWindow = std::chrono::milliseconds(1200);
/// Maximum number of endpoints per digest.
constexpr std::size_t maxReported = 24;

/// Maximum number of endpoints per kind of notice; bounds memory.
constexpr std::size_t maxRecords = 8192;

/// Maximum number of endpoints remembered as logged for malformed cooldowns.
constexpr std::size_t maxUnreadableLogged = 256;

std::string milliseconds(Duration duration)
{
    return std::to_string(toMilliseconds(duration));
}

} // namespace

void mergeUpdates(std::vector<CooldownUpdate> &into, const std::vector<CooldownUpdate> &from,
                  Duration age)
{
    for (const auto &one : from) {
        const auto left = one.left_ - age;
        const auto known = std::find_if(into.begin(), into.end(), [&one](const auto &other) {
            return other.endpoint_ == one.endpoint_;
        });
        if (known != into.end())
            known->left_ = std::max(known->left_, left);
        else if (left > Duration::zero() && into.size() < maxReported)
            into.push_back({one.endpoint_, left});
    }
}

EndpointNotices::EndpointNotices(GatewayMetrics &metrics)
    : metrics_(metrics)
{
}

void EndpointNotices::take(const AnswerOrigin &origin, const AnswerNotices &notices, TimePoint now)
{
    takeLimit(origin, notices, now);
    takeCooldown(origin, notices, now);
    if (notices.isLeaving_)
        takeLeaving(origin.endpoint_, now);
}

void EndpointNotices::takeLimit(const AnswerOrigin &origin, const AnswerNotices &notices,
                                TimePoint now)
{
    if (notices.requestsPerSecond_) {
        limits_.recordLimit(origin.endpoint_, *notices.requestsPerSecond_, now);
    } else if (notices.isLimitUnreadable_) {
        metrics_.unreadableLimits_.increment();
        limits_.recordUnreadable(origin.endpoint_);
    } else if (!origin.mayOmitLimit_) {
        limits_.recordNoLimit(origin.endpoint_, origin.sentAt_, now);
    }
}

/// A shorter cooldown does not shorten one already in force.
void EndpointNotices::takeCooldown(const AnswerOrigin &origin, const AnswerNotices &notices,
                                   TimePoint now)
{
    const auto &endpoint = origin.endpoint_;
    if (notices.isCooldownUnreadable_) {
        metrics_.unreadableCooldowns_.increment();
        if (unreadable_.size() < maxUnreadableLogged && unreadable_.insert(endpoint).second)
            log::warning(event::cooldownUnreadable,
                         {{"endpoint", endpoint.text()},
                          {"remedy", "the endpoint must send a single number of seconds"}});
        return;
    }
    if (!notices.cooldown_ || *notices.cooldown_ <= Duration::zero())
        return;
    const auto known = cooldowns_.find(endpoint);
    const bool isInForce
        = known != cooldowns_.end() && known->second.cooldown_.left(now) > Duration::zero();
    if (known == cooldowns_.end() && cooldowns_.size() >= maxRecords)
        return;
    if (known != cooldowns_.end() && !isInForce)
        logCooldownEnd(endpoint, std::exchange(known->second, {}), now);
    auto &record = cooldowns_[endpoint];
    ++record.refusals_;
    record.lastNamedAt_ = now;
    if (isInForce) {
        metrics_.refusalsInCooldown_.increment();
    } else {
        metrics_.cooldowns_.increment();
        record.cooldown_.since_ = now;
    }
    const auto until = now + std::min(*notices.cooldown_, maxCooldown);
    const bool isLonger = until > record.cooldown_.until_;
    if (isLonger)
        record.cooldown_.until_ = until;
    if (!isInForce)
        log::info(event::endpointCooldown, {{"endpoint", endpoint.text()},
                                            {"for-ms", milliseconds(until - now)},
                                            {"from", "answer"}});
}

void EndpointNotices::takeLeaving(const EndpointIncarnation &endpoint, TimePoint now)
{
    if (!leaving_.contains(endpoint) && leaving_.size() >= maxRecords)
        return;
    if (!leaving_.insert_or_assign(endpoint, now).second)
        return;
    log::info(event::endpointSaysLeaving, {{"endpoint", endpoint.text()}});
    if (leavingCallback_)
        leavingCallback_(endpoint);
}

std::vector<CooldownUpdate> EndpointNotices::updates(TimePoint now) const
{
    std::vector<CooldownUpdate> result;
    for (const auto &[endpoint, record] : cooldowns_) {
        const auto left = record.cooldown_.left(now);
        const bool isFresh = now - record.lastNamedAt_ < reportWindow;
        if (isFresh && left > Duration::zero() && result.size() < maxReported)
            result.push_back({endpoint, left});
    }
    return result;
}

void EndpointNotices::take(const std::vector<CooldownUpdate> &updates, TimePoint now)
{
    for (const auto &one : updates) {
        const bool isKnown = deprioritizedUntil_.contains(one.endpoint_);
        if (!isKnown && deprioritizedUntil_.size() >= maxRecords)
            continue;
        auto &until = deprioritizedUntil_[one.endpoint_];
        until = std::max(until, now + std::min(one.left_, maxCooldown));
        if (!isKnown && !cooldowns_.contains(one.endpoint_))
            log::info(event::endpointCooldown, {{"endpoint", one.endpoint_.text()},
                                                {"for-ms", milliseconds(one.left_)},
                                                {"from", "peer"}});
    }
}

void EndpointNotices::countWithheld(const EndpointIncarnation &endpoint)
{
    metrics_.withheldSends_.increment();
    const auto found = cooldowns_.find(endpoint);
    if (found != cooldowns_.end())
        ++found->second.withheld_;
}

void EndpointNotices::logCooldownEnd(const EndpointIncarnation &endpoint, const Record &record,
                                     TimePoint now) const
{
    log::info(event::endpointCooldownEnded,
              {{"endpoint", endpoint.text()},
               {"lasted-ms",
                milliseconds(std::min(record.cooldown_.until_, now) - record.cooldown_.since_)},
               {"refusals", std::to_string(record.refusals_)},
               {"withheld", std::to_string(record.withheld_)}});
}

void EndpointNotices::expire(TimePoint now)
{
    limits_.expire(now);
    for (auto place = cooldowns_.begin(); place != cooldowns_.end();) {
        const bool isOver = place->second.cooldown_.left(now) <= Duration::zero();
        if (isOver)
            logCooldownEnd(place->first, place->second, now);
        place = isOver ? cooldowns_.erase(place) : std::next(place);
    }
    metrics_.cooldownsInForce_.set(static_cast<double>(cooldowns_.size()));
    std::erase_if(deprioritizedUntil_, [now](const auto &one) { return one.second <= now; });
    std::erase_if(leaving_, [now](const auto &one) { return now - one.second > leavingRetention; });
}

std::optional<Cooldown> EndpointNotices::cooldown(const EndpointIncarnation &endpoint,
                                                  TimePoint now) const
{
    const auto found = cooldowns_.find(endpoint);
    if (found == cooldowns_.end() || found->second.cooldown_.left(now) <= Duration::zero())
        return std::nullopt;
    return found->second.cooldown_;
}

bool EndpointNotices::isLeaving(const EndpointIncarnation &endpoint) const
{
    return leaving_.contains(endpoint);
}

bool EndpointNotices::isDeprioritized(const EndpointIncarnation &endpoint, TimePoint now) const
{
    const auto found = deprioritizedUntil_.find(endpoint);
    return found != deprioritizedUntil_.end() && found->second > now;
}

} // namespace cardamombay::serving
