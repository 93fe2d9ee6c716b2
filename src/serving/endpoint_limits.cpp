#include <cardamombay/serving/endpoint_limits.hpp>

#include "serving/log_events.hpp"

#include <cardamombay/log/log.hpp>

#include <cmath>
#include <cstdio>

namespace cardamombay::serving {

namespace {

/// Change of a limit, as a share of the one before, from which on it is logged.
constexpr double loggedChange = 0.25;

/// Endpoints whose unreadable limits are remembered as logged.
constexpr std::size_t mostUnreadable = 256;

void logLimit(const EndpointLife &endpoint, double before, const EndpointLimit &limit,
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

void EndpointLimits::stated(const EndpointLife &endpoint, double perSecond, TimePoint now)
{
    const auto [place, isNew] = limits_.try_emplace(endpoint);
    auto &limit = place->second;
    const auto before = limit.perSecond_;
    if (isNew)
        limit.since_ = now;
    limit.perSecond_ = perSecond;
    limit.statedAt_ = now;
    limit.source_ = LimitSource::Answer;
    if (isNew || std::abs(perSecond - before) > before * loggedChange)
        logLimit(endpoint, before, limit, now);
}

void EndpointLimits::notStated(const EndpointLife &endpoint, TimePoint sentAt, TimePoint now)
{
    const auto found = limits_.find(endpoint);
    if (found == limits_.end() || found->second.statedAt_ >= sentAt)
        return;
    log::info(event::endpointLimitEnded,
              {{"endpoint", endpoint.text()},
               {"per-second", textOf(found->second.perSecond_)},
               {"lasted-ms", std::to_string(toMilliseconds(now - found->second.since_))}});
    limits_.erase(found);
}

void EndpointLimits::unreadable(const EndpointLife &endpoint)
{
    if (unreadable_.size() >= mostUnreadable || !unreadable_.insert(endpoint).second)
        return;
    const auto found = limits_.find(endpoint);
    log::warning(event::endpointLimitUnreadable,
                 {{"endpoint", endpoint.text()},
                  {"in-force", found == limits_.end() ? "none" : textOf(found->second.perSecond_)},
                  {"remedy", "the endpoint must name one decimal number"}});
}

std::optional<EndpointLimit> EndpointLimits::find(const EndpointLife &endpoint) const
{
    const auto found = limits_.find(endpoint);
    return found == limits_.end() ? std::nullopt : std::optional(found->second);
}

} // namespace cardamombay::serving
