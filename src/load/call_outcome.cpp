#include <cardamombay/load/call_outcome.hpp>

#include <boost/json.hpp>

#include <algorithm>

namespace cardamombay::load {

namespace json = boost::json;

namespace {

constexpr std::uint32_t firstError = 300;
constexpr std::string_view endMarker = "[DONE]";

} // namespace

std::string_view nameOf(CallOutcome outcome)
{
    switch (outcome) {
    case CallOutcome::Complete:
        return "complete";
    case CallOutcome::NotRun:
        return "not-run";
    case CallOutcome::Unknown:
        return "unknown";
    case CallOutcome::Broken:
        return "broken";
    case CallOutcome::NoAnswer:
        return "no-answer";
    }
    return "unknown";
}

CallOutcome classify(const CallResult &result, bool isStream)
{
    if (result.status_ == 0)
        return CallOutcome::NoAnswer;
    if (result.status_ >= firstError) {
        const bool isNotRun = statedOutcome(result) == "not-run";
        return isNotRun ? CallOutcome::NotRun : CallOutcome::Unknown;
    }
    if (!result.isWhole_)
        return CallOutcome::Broken;
    if (!isStream)
        return CallOutcome::Complete;
    const auto events = eventsOf(result.body_);
    const bool hasEnd = std::find(events.begin(), events.end(), endMarker) != events.end();
    return hasEnd ? CallOutcome::Complete : CallOutcome::Broken;
}

std::string statedOutcome(const CallResult &result)
{
    std::string header = result.field("X-Outcome");
    if (!header.empty())
        return header;
    json::error_code error;
    const auto body = json::parse(result.body_, error);
    if (error || !body.is_object())
        return "";
    const auto *outcome = body.as_object().if_contains("outcome");
    return outcome && outcome->is_string() ? std::string(outcome->as_string()) : "";
}

} // namespace cardamombay::load
