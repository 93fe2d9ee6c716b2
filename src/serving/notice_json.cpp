#include "serving/notice_json.hpp"

#include "serving/notification.hpp"

#include <chrono>

namespace cardamombay::serving::impl {

namespace json = boost::json;

namespace {

/// Maximum number of zones per message; a message with more is invalid.
constexpr std::size_t maxEvacuatedZones = 256;

/// Older limits are ignored.
constexpr std::uint64_t maxLimitAgeMicroseconds = 3'600'000'000;
/// Longer cooldowns are ignored.
constexpr std::uint64_t maxCooldownMicroseconds = 3'600'000'000;

std::optional<LimitUpdate> limitIn(const json::value &value)
{
    const auto *parts = value.if_array();
    if (parts == nullptr || parts->size() < 2 || !parts->at(0).is_string())
        return std::nullopt;
    const auto age = countIn(parts->at(1));
    const auto rate = parts->size() > 2 ? figureIn(parts->at(2)) : std::nullopt;
    if (!age || *age > maxLimitAgeMicroseconds || (parts->size() > 2 && !rate))
        return std::nullopt;
    return LimitUpdate{EndpointIncarnation::parse(textOf(parts->at(0).get_string())), rate,
                       std::chrono::microseconds(*age)};
}

std::optional<CooldownUpdate> cooldownIn(const json::value &value)
{
    const auto *parts = value.if_array();
    if (parts == nullptr || parts->size() < 2 || !parts->at(0).is_string())
        return std::nullopt;
    const auto left = countIn(parts->at(1));
    if (!left || *left > maxCooldownMicroseconds)
        return std::nullopt;
    return CooldownUpdate{EndpointIncarnation::parse(textOf(parts->at(0).get_string())),
                          std::chrono::microseconds(*left)};
}

} // namespace

/// Encoded as the version followed by the zones.
json::array evacuationsArray(const EvacuationState &evacuations)
{
    json::array result{evacuations.version_.value()};
    for (const auto &zone : evacuations.zones_)
        result.emplace_back(zone.text());
    return result;
}

/// Returns an empty state if the value is malformed.
EvacuationState evacuationsIn(const json::value *value)
{
    const auto *parts = value == nullptr ? nullptr : value->if_array();
    const auto version
        = parts == nullptr || parts->empty() ? std::nullopt : countIn(parts->front());
    if (!version || parts->size() > maxEvacuatedZones + 1)
        return {};
    EvacuationState result{RowVersion(*version), {}};
    for (auto zone = parts->begin() + 1; zone != parts->end(); ++zone) {
        if (!zone->is_string())
            return {};
        result.zones_.emplace(textOf(zone->get_string()));
    }
    return result;
}

/// Each limit is encoded as endpoint, age and rate; an ended limit has no rate.
json::array limitsArray(const std::vector<LimitUpdate> &limits)
{
    json::array result;
    for (const auto &limit : limits) {
        json::array one{limit.endpoint_.text(), microsecondsOf(limit.age_)};
        if (limit.perSecond_)
            one.emplace_back(*limit.perSecond_);
        result.push_back(std::move(one));
    }
    return result;
}

std::vector<LimitUpdate> limitsIn(const json::value *value)
{
    std::vector<LimitUpdate> result;
    const auto *all = value == nullptr ? nullptr : value->if_array();
    if (all == nullptr)
        return result;
    for (const auto &one : *all) {
        if (auto limit = limitIn(one))
            result.push_back(*std::move(limit));
    }
    return result;
}

/// Each cooldown is encoded as endpoint and remaining time.
json::array cooldownsArray(const std::vector<CooldownUpdate> &cooldowns)
{
    json::array result;
    for (const auto &one : cooldowns)
        result.push_back(json::array{one.endpoint_.text(), microsecondsOf(one.left_)});
    return result;
}

std::vector<CooldownUpdate> cooldownsIn(const json::value *value)
{
    std::vector<CooldownUpdate> result;
    const auto *all = value == nullptr ? nullptr : value->if_array();
    if (all == nullptr)
        return result;
    for (const auto &one : *all) {
        if (auto cooldown = cooldownIn(one))
            result.push_back(*std::move(cooldown));
    }
    return result;
}

} // namespace cardamombay::serving::impl
