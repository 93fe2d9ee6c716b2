#include <cardamombay/serving/endpoint_limits.hpp>

#include "serving/log_events.hpp"

#include <cardamombay/log/log.hpp>

#include <algorithm>
#include <cmath>
#include <cstdio>

namespace cardamombay::serving {

namespace {

/// Minimum change of a limit that is logged, as a share of the previous limit.
constexpr double loggedChangeShare = 0.25;

/// A limit that is no longer announced expires after this time.
constexpr Duration limitLifetime = std::chrono::seconds(30);
/// How long an ended limit is remembered so that older updates do not restore it.
constexpr Duration endedRetention = std::chrono::seconds(5);
/// Updates are repeated in several digests to tolerate the loss of one.
constexpr Duration reportWindow = std::chrono::milliseconds(1200);
/// An update echoed by peers appears more recent by its transmission delay.
constexpr Duration echoTolerance = std::chrono::milliseconds(50);

/// Maximum number of endpoints per digest.
constexpr std::size_t maxReported = 24;
/// Maximum number of limits while accepting updates from peers.
constexpr std::size_t maxLimits = 4096;

/// Maximum number of endpoints remembered as logged for malformed limits.
constexpr std::size_t maxUnreadableLogged = 256;

void logLimit(const EndpointIncarnation &endpoint, double before, const EndpointLimit &limit,
              TimePoint now)
{
    log::info(event::endpointLimited,
              {{"endpoint", endpoint.text()},
               {"per-second", textOf(limit.perSecond_)},
               {"before", before > 0 ? textOf(before) : "none"},
               {"from", std::string(nameOf(limit.source_))},
               {"age-ms", std::to_string(toMilliseconds(now - limit.statedAt_))}});
}

} // namespace

std::string_view nameOf(LimitSource source)
{
    return source == LimitSource::Answer ? "answer" : "peer";
}

std::string textOf(double perSecond)
{
    char text[32];
    std::snprintf(text, sizeof text, "%.3g", perSecond);
    return text;
}

void mergeUpdates(std::vector<LimitUpdate> &into, const std::vector<LimitUpdate> &from)
{
    for (const auto &one : from) {
        const auto known = std::find_if(into.begin(), into.end(), [&one](const LimitUpdate &other) {
            return other.endpoint_ == one.endpoint_;
        });
        if (known == into.end())
            into.push_back(one);
        else if (one.age_ < known->age_)
            *known = one;
    }
}

void EndpointLimits::recordLimit(const EndpointIncarnation &endpoint, double perSecond,
                                 TimePoint now)
{
    set(endpoint, perSecond, now, LimitSource::Answer, now);
}

void EndpointLimits::set(const EndpointIncarnation &endpoint, double perSecond, TimePoint statedAt,
                         LimitSource source, TimePoint now)
{
    ended_.erase(endpoint);
    const auto [place, isNew] = limits_.try_emplace(endpoint);
    auto &limit = place->second;
    const auto before = limit.perSecond_;
    if (isNew)
        limit.since_ = statedAt;
    limit.perSecond_ = perSecond;
    limit.statedAt_ = statedAt;
    limit.source_ = source;
    if (isNew || std::abs(perSecond - before) > before * loggedChangeShare)
        logLimit(endpoint, before, limit, now);
}

void EndpointLimits::recordNoLimit(const EndpointIncarnation &endpoint, TimePoint sentAt,
                                   TimePoint now)
{
    const auto found = limits_.find(endpoint);
    if (found != limits_.end() && found->second.statedAt_ < sentAt)
        end(endpoint, sentAt, LimitSource::Answer, now);
}

void EndpointLimits::end(const EndpointIncarnation &endpoint, TimePoint at, LimitSource source,
                         TimePoint now)
{
    const auto node = limits_.extract(endpoint);
    ended_[endpoint] = {at, source};
    log::info(event::endpointLimitEnded,
              {{"endpoint", endpoint.text()},
               {"per-second", textOf(node.mapped().perSecond_)},
               {"lasted-ms", std::to_string(toMilliseconds(now - node.mapped().since_))},
               {"from", std::string(nameOf(source))}});
}

void EndpointLimits::take(const std::vector<LimitUpdate> &updates, TimePoint now)
{
    for (const auto &one : updates) {
        const auto at = now - one.age_;
        const auto known = limits_.find(one.endpoint_);
        const bool isOlder = known != limits_.end() && at - known->second.statedAt_ < echoTolerance;
        const auto ended = ended_.find(one.endpoint_);
        const bool hasEnded = ended != ended_.end() && at - ended->second.at_ < echoTolerance;
        if (isOlder || hasEnded || one.age_ > limitLifetime)
            continue;
        if (!one.perSecond_ && known != limits_.end())
            end(one.endpoint_, at, LimitSource::Peer, now);
        else if (one.perSecond_ && limits_.size() < maxLimits)
            set(one.endpoint_, *one.perSecond_, at, LimitSource::Peer, now);
    }
}

std::vector<LimitUpdate>
EndpointLimits::updates(TimePoint now,
                        const std::function<bool(const EndpointIncarnation &)> &isReported)
{
    std::vector<LimitUpdate> all;
    for (const auto &[endpoint, limit] : limits_) {
        const bool isFresh
            = limit.source_ == LimitSource::Answer && now - limit.statedAt_ < reportWindow;
        if (isFresh || isReported(endpoint))
            all.push_back({endpoint, limit.perSecond_, now - limit.statedAt_});
    }
    for (const auto &[endpoint, ended] : ended_) {
        if (ended.source_ == LimitSource::Answer && now - ended.at_ < reportWindow)
            all.push_back({endpoint, std::nullopt, now - ended.at_});
    }
    if (all.size() <= maxReported)
        return all;
    // Rotates through all endpoints over successive digests.
    const auto next = std::find_if(all.begin(), all.end(), [this](const LimitUpdate &one) {
        return lastReported_ && *lastReported_ < one.endpoint_;
    });
    std::rotate(all.begin(), next == all.end() ? all.begin() : next, all.end());
    all.resize(maxReported);
    lastReported_ = all.back().endpoint_;
    return all;
}

void EndpointLimits::expire(TimePoint now)
{
    std::erase_if(ended_, [now](const auto &one) { return now - one.second.at_ > endedRetention; });
    std::erase_if(limits_, [now](const auto &one) {
        const auto &[endpoint, limit] = one;
        const bool isOver = now - limit.statedAt_ > limitLifetime;
        if (isOver)
            log::info(event::endpointLimitEnded,
                      {{"endpoint", endpoint.text()},
                       {"per-second", textOf(limit.perSecond_)},
                       {"lasted-ms", std::to_string(toMilliseconds(now - limit.since_))},
                       {"from", "silence"}});
        return isOver;
    });
}

void EndpointLimits::recordUnreadable(const EndpointIncarnation &endpoint)
{
    if (unreadable_.size() >= maxUnreadableLogged || !unreadable_.insert(endpoint).second)
        return;
    const auto found = limits_.find(endpoint);
    log::warning(event::endpointLimitUnreadable,
                 {{"endpoint", endpoint.text()},
                  {"in-force", found == limits_.end() ? "none" : textOf(found->second.perSecond_)},
                  {"remedy", "the endpoint must send a single decimal number"}});
}

std::optional<EndpointLimit> EndpointLimits::find(const EndpointIncarnation &endpoint) const
{
    const auto found = limits_.find(endpoint);
    return found == limits_.end() ? std::nullopt : std::optional(found->second);
}

std::optional<double> EndpointLimits::perSecond(const EndpointIncarnation &endpoint) const
{
    const auto limit = find(endpoint);
    return limit ? std::optional(limit->perSecond_) : std::nullopt;
}

} // namespace cardamombay::serving
