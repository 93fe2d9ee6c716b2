#include <cardamombay/serving/avoidance_log.hpp>

#include "serving/log_events.hpp"

#include <string>

namespace cardamombay::serving {

namespace {

/// Senders can be forged; only so many are remembered, and logged.
constexpr std::size_t maxIgnoredSenders = 64;

std::string joined(const std::vector<std::string> &names)
{
    std::string result;
    for (const auto &name : names)
        result += (result.empty() ? "" : ",") + name;
    return result.empty() ? "none" : result;
}

AvoidanceLine beginLine(const VmId &endpoint, const LoadTracker::Breaking &breaking)
{
    return {event::endpointAvoided,
            {{"endpoint", endpoint.text()},
             {"breaks", std::to_string(breaking.breaks_)},
             {"reports", std::to_string(breaking.reports_)},
             {"from", breaking.isOwn_ ? "own" : "peer"},
             {"told-by", joined(breaking.toldBy_)}}};
}

} // namespace

std::vector<AvoidanceLine>
AvoidanceLog::update(const std::map<VmId, LoadTracker::Breaking> &breaking,
                     const std::function<bool(const VmId &)> &isListed, TimePoint now)
{
    std::vector<AvoidanceLine> result;
    for (const auto &[endpoint, one] : breaking) {
        if (isListed(endpoint) && avoided_.emplace(endpoint, now).second)
            result.push_back(beginLine(endpoint, one));
    }
    std::erase_if(avoided_, [&](const auto &known) {
        const auto &[endpoint, since] = known;
        const bool isListedNow = isListed(endpoint);
        if (isListedNow && breaking.contains(endpoint))
            return false;
        result.push_back({event::endpointUsedAgain,
                          {{"endpoint", endpoint.text()},
                           {"avoided-ms", std::to_string(toMilliseconds(now - since))},
                           {"listed", isListedNow ? "yes" : "no"}}});
        return true;
    });
    return result;
}

std::optional<AvoidanceLine> AvoidanceLog::ignored(const EntryId &from, std::size_t reports)
{
    if (reports == 0 || ignoredSenders_.size() >= maxIgnoredSenders
        || !ignoredSenders_.insert(from).second)
        return std::nullopt;
    return AvoidanceLine{event::breakReportIgnored,
                         {{"from", from.text()}, {"endpoints", std::to_string(reports)}}};
}

} // namespace cardamombay::serving
