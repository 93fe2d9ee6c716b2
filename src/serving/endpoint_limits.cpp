#include <cardamombay/serving/endpoint_limits.hpp>

#include "serving/log_events.hpp"

#include <cardamombay/log/log.hpp>

#include <algorithm>
#include <cmath>
#include <cstdio>

namespace cardamombay::serving {

namespace {

/// Change of a limit, as a share of the one before, from which on it is logged.
constexpr double loggedChange = 0.25;

/// A limit that no answer names any more is dropped after that time.
constexpr Duration heardWithin = std::chrono::seconds(30);
/// The end of a limit is remembered for that long, so that older words do not bring it back.
constexpr Duration endedKeptFor = std::chrono::seconds(5);
/// What an endpoint said stays in several digests, so that one that is lost does no harm.
constexpr Duration toldFor = std::chrono::milliseconds(1200);
/// A word that comes back through peers seems younger by its way.
constexpr Duration sameWord = std::chrono::milliseconds(50);

/// Endpoints that one digest tells of.
constexpr std::size_t mostTold = 24;
/// Limits that are taken from peers.
constexpr std::size_t mostLimits = 4096;

/// Endpoints whose unreadable limits are remembered as logged.
constexpr std::size_t mostUnreadable = 256;

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

void EndpointLimits::stated(const EndpointIncarnation &endpoint, double perSecond, TimePoint now)
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
    if (isNew || std::abs(perSecond - before) > before * loggedChange)
        logLimit(endpoint, before, limit, now);
}

void EndpointLimits::notStated(const EndpointIncarnation &endpoint, TimePoint sentAt, TimePoint now)
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
        const bool isOlder = known != limits_.end() && at - known->second.statedAt_ < sameWord;
        const auto ended = ended_.find(one.endpoint_);
        const bool hasEnded = ended != ended_.end() && at - ended->second.at_ < sameWord;
        if (isOlder || hasEnded || one.age_ > heardWithin)
            continue;
        if (!one.perSecond_ && known != limits_.end())
            end(one.endpoint_, at, LimitSource::Peer, now);
        else if (one.perSecond_ && limits_.size() < mostLimits)
            set(one.endpoint_, *one.perSecond_, at, LimitSource::Peer, now);
    }
}

std::vector<LimitUpdate>
EndpointLimits::updates(TimePoint now,
                        const std::function<bool(const EndpointIncarnation &)> &isTold)
{
    std::vector<LimitUpdate> all;
    for (const auto &[endpoint, limit] : limits_) {
        const bool isFresh
            = limit.source_ == LimitSource::Answer && now - limit.statedAt_ < toldFor;
        if (isFresh || isTold(endpoint))
            all.push_back({endpoint, limit.perSecond_, now - limit.statedAt_});
    }
    for (const auto &[endpoint, ended] : ended_) {
        if (ended.source_ == LimitSource::Answer && now - ended.at_ < toldFor)
            all.push_back({endpoint, std::nullopt, now - ended.at_});
    }
    if (all.size() <= mostTold)
        return all;
    // All of them in turn.
    const auto next = std::find_if(all.begin(), all.end(), [this](const LimitUpdate &one) {
        return lastTold_ && *lastTold_ < one.endpoint_;
    });
    std::rotate(all.begin(), next == all.end() ? all.begin() : next, all.end());
    all.resize(mostTold);
    lastTold_ = all.back().endpoint_;
    return all;
}

void EndpointLimits::expire(TimePoint now)
{
    std::erase_if(ended_, [now](const auto &one) { return now - one.second.at_ > endedKeptFor; });
    std::erase_if(limits_, [now](const auto &one) {
        const auto &[endpoint, limit] = one;
        const bool isOver = now - limit.statedAt_ > heardWithin;
        if (isOver)
            log::info(event::endpointLimitEnded,
                      {{"endpoint", endpoint.text()},
                       {"per-second", textOf(limit.perSecond_)},
                       {"lasted-ms", std::to_string(toMilliseconds(now - limit.since_))},
                       {"from", "silence"}});
        return isOver;
    });
}

void EndpointLimits::unreadable(const EndpointIncarnation &endpoint)
{
    if (unreadable_.size() >= mostUnreadable || !unreadable_.insert(endpoint).second)
        return;
    const auto found = limits_.find(endpoint);
    log::warning(event::endpointLimitUnreadable,
                 {{"endpoint", endpoint.text()},
                  {"in-force", found == limits_.end() ? "none" : textOf(found->second.perSecond_)},
                  {"remedy", "the endpoint must name one decimal number"}});
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
