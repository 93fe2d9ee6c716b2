#include <cardamombay/admin/admin_event.hpp>

#include "admin/json_fields.hpp"

namespace cardamombay::admin {

using namespace impl;

namespace {

json::object writeDetail(const Detail &detail)
{
    return {{"key", detail.key_}, {"value", detail.value_}};
}

Detail readDetail(const json::object &object)
{
    return {textAt(object, "key"), textAt(object, "value")};
}

json::object writeAlternative(const Alternative &alternative)
{
    return {{"name", alternative.name_}, {"cost", alternative.cost_}};
}

Alternative readAlternative(const json::object &object)
{
    return {textAt(object, "name"), json::value_to<double>(object.at("cost"))};
}

json::object writeEvent(const AdminEvent &event)
{
    return {{"age_ms", toMilliseconds(event.age_)},
            {"event", event.event_},
            {"subject", event.subject_},
            {"choice", event.choice_},
            {"inputs", listOf(std::span(event.inputs_), writeDetail)},
            {"alternatives", listOf(std::span(event.alternatives_), writeAlternative)}};
}

AdminEvent readEvent(const json::object &object)
{
    return {millisecondsAt(object, "age_ms"),
            textAt(object, "event"),
            textAt(object, "subject"),
            textAt(object, "choice"),
            listAt(object, "inputs", readDetail),
            listAt(object, "alternatives", readAlternative)};
}

std::vector<AdminEvent> readEvents(const json::object &object)
{
    return listAt(object, "events", readEvent);
}

} // namespace

AdminEvent eventOf(const DecisionRecord &record, TimePoint now)
{
    return {now - record.when_, record.event_,  record.subject_,
            record.choice_,     record.inputs_, record.alternatives_};
}

std::vector<AdminEvent> eventsOf(std::span<const DecisionRecord> records, TimePoint now)
{
    std::vector<AdminEvent> events;
    events.reserve(records.size());
    for (const auto &record : records)
        events.push_back(eventOf(record, now));
    return events;
}

std::string encode(std::span<const AdminEvent> events)
{
    return json::serialize(json::object{{"events", listOf(events, writeEvent)}});
}

Result<std::vector<AdminEvent>> decodeEvents(std::string_view text)
{
    return decode(text, "/admin/events", readEvents);
}

} // namespace cardamombay::admin
