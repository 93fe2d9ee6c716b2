#include <cardamombay/serving/peer_digests.hpp>

#include "serving/demand_json.hpp"
#include "serving/notice_json.hpp"
#include "serving/notification.hpp"
#include "serving/peer_info_json.hpp"
#include "serving/poison_updates.hpp"
#include "serving/quota_report_json.hpp"

#include <cardamombay/config/address_text.hpp>

#include <algorithm>

namespace cardamombay::serving {

namespace json = boost::json;
using namespace impl;

namespace {

constexpr std::string_view loadMethod = "load";
constexpr std::string_view summaryMethod = "summary";
constexpr std::string_view relayMethod = "endpoints";
constexpr std::string_view alarmMethod = "silence";

/// Entries of endpoints per datagram; at 170 bytes each they fit into a packet of 1,500 bytes.
constexpr std::size_t maxEntriesPerDatagram = 7;

/// In microseconds.
constexpr std::uint64_t maxColdMicroseconds = 3'600'000'000;

void readDemand(const json::value *value, std::map<ModelName, double> &demand)
{
    const auto *object = value == nullptr ? nullptr : value->if_object();
    if (object == nullptr)
        return;
    for (const auto &member : *object) {
        const std::string name(member.key().data(), member.key().size());
        if (const auto figure = figureIn(member.value()))
            demand.emplace(name, *figure);
    }
}

/// One array per endpoint with requests, tokens and the number of entry VMs that hear from it,
/// since names are most of the text: 36 groups take 0.9 KB instead of 1.6.
json::object loadsOf(const LoadDigest &digest)
{
    json::object result;
    for (const auto &[endpoint, count] : digest.underWay_)
        result[endpoint.text()] = json::array{count};
    for (const auto &[endpoint, tokens] : digest.sent_) {
        auto &load = result[endpoint.text()];
        if (load.is_null())
            load = json::array{0};
        load.as_array().emplace_back(tokens);
    }
    for (const auto &[endpoint, count] : digest.heard_) {
        auto &load = result[endpoint.text()];
        if (load.is_null())
            load = json::array{0};
        auto &parts = load.as_array();
        if (parts.size() == 1)
            parts.emplace_back(nullptr);
        parts.emplace_back(count);
    }
    return result;
}

void readLoads(const json::value *value, LoadDigest &digest)
{
    const auto *object = value == nullptr ? nullptr : value->if_object();
    if (object == nullptr)
        return;
    for (const auto &member : *object) {
        const auto *load = member.value().if_array();
        const auto count = load == nullptr || load->empty() ? std::nullopt : countIn(load->front());
        if (!count)
            continue;
        const VmId endpoint(std::string_view(member.key().data(), member.key().size()));
        if (*count > 0)
            digest.underWay_.emplace(endpoint, *count);
        const auto sent = load->size() > 1 ? countIn(load->at(1)) : std::nullopt;
        if (sent)
            digest.sent_.emplace(endpoint, *sent);
        const auto heard = load->size() > 2 ? countIn(load->at(2)) : std::nullopt;
        if (heard)
            digest.heard_.emplace(endpoint, *heard);
    }
}

json::object countsObject(const std::unordered_map<VmId, std::size_t> &counts)
{
    json::object result;
    for (const auto &[endpoint, count] : counts)
        result[endpoint.text()] = count;
    return result;
}

void readCounts(const json::value *value, std::unordered_map<VmId, std::size_t> &counts)
{
    const auto *object = value == nullptr ? nullptr : value->if_object();
    if (object == nullptr)
        return;
    for (const auto &member : *object) {
        if (const auto count = countIn(member.value()))
            counts.emplace(std::string_view(member.key().data(), member.key().size()), *count);
    }
}

template<typename Id>
json::array namesOf(const std::vector<Id> &ids)
{
    json::array result;
    for (const auto &id : ids)
        result.emplace_back(id.text());
    return result;
}

template<typename Id>
std::vector<Id> idsIn(const json::value *value)
{
    std::vector<Id> result;
    if (value == nullptr || !value->is_array())
        return result;
    for (const auto &one : value->get_array()) {
        if (one.is_string())
            result.emplace_back(textOf(one.get_string()));
    }
    return result;
}

std::vector<VmId> endpointsIn(const json::value *value)
{
    return idsIn<VmId>(value);
}

json::object relayObject(const RelayState &relay)
{
    json::object result{{"config", relay.config_.value()},
                        {"config_age", microsecondsOf(relay.configAge_)},
                        {"endpoints", relay.endpoints_.value()},
                        {"endpoints_age", microsecondsOf(relay.endpointsAge_)}};
    if (!relay.evacuations_.version_.isNone())
        result["evacuated"] = evacuationsArray(relay.evacuations_);
    return result;
}

std::optional<RelayState> relayIn(const json::object &params)
{
    const auto *value = params.if_contains("relay");
    const auto *object = value == nullptr ? nullptr : value->if_object();
    if (object == nullptr)
        return std::nullopt;
    RelayState relay;
    relay.config_ = ConfigVersion(numberIn(*object, "config"));
    relay.configAge_ = microsecondsIn(*object, "config_age");
    relay.endpoints_ = RowVersion(numberIn(*object, "endpoints"));
    relay.endpointsAge_ = microsecondsIn(*object, "endpoints_age");
    relay.evacuations_ = evacuationsIn(object->if_contains("evacuated"));
    return relay;
}

json::object retriesObject(const std::map<ServiceName, RetryCounts> &retries)
{
    json::object result;
    for (const auto &[service, counts] : retries)
        result[service.text()] = json::array{counts.requests_, counts.retries_};
    return result;
}

std::map<ServiceName, RetryCounts> retriesIn(const json::value *value)
{
    std::map<ServiceName, RetryCounts> result;
    const auto *object = value == nullptr ? nullptr : value->if_object();
    if (object == nullptr)
        return result;
    for (const auto &member : *object) {
        const auto *pair = member.value().if_array();
        if (pair == nullptr || pair->size() != 2)
            continue;
        const auto requests = figureIn(pair->at(0));
        const auto retries = figureIn(pair->at(1));
        const std::string name(member.key().data(), member.key().size());
        if (requests && retries)
            result[ServiceName(name)] = {*requests, *retries};
    }
    return result;
}

json::object digestObject(const LoadDigest &digest)
{
    json::object demand;
    for (const auto &[model, rate] : digest.demand_)
        demand[model.text()] = rate;
    json::object params{{"from", digest.from_.text()},
                        {"address", digest.address_.text()},
                        {"zone", digest.zone_.text()},
                        {"capacity", digest.capacity_},
                        {"since", digest.stamp_.since_.value()},
                        {"sent_at", microsecondsOf(digest.stamp_.reading_)},
                        {"loads", loadsOf(digest)},
                        {"silent", namesOf(digest.silent_)},
                        {"demand", std::move(demand)},
                        {"repeats", retriesObject(digest.retries_)},
                        {"draining", digest.isDraining_},
                        {"endpoints", digest.endpoints_.value()}};
    if (digest.quota_)
        params["quota"] = quotaReportObject(*digest.quota_);
    if (!digest.poison_.isEmpty())
        params["poison"] = poisonObject(digest.poison_);
    writeDemand(params, digest.overload_);
    if (!digest.failing_.empty())
        params["failing"] = countsObject(digest.failing_);
    if (!digest.partitioned_.empty())
        params["partitioned"] = namesOf(digest.partitioned_);
    if (!digest.inquired_.empty())
        params["inquired"] = namesOf(digest.inquired_);
    if (!digest.witnessed_.empty())
        params["witnessed"] = namesOf(digest.witnessed_);
    if (!digest.limits_.empty())
        params["limits"] = limitsArray(digest.limits_);
    if (!digest.cooldowns_.empty())
        params["cooldowns"] = cooldownsArray(digest.cooldowns_);
    if (digest.relay_)
        params["relay"] = relayObject(*digest.relay_);
    return params;
}

std::optional<LoadDigest> digestIn(const json::object &params)
{
    if (textIn(params, "from").empty())
        return std::nullopt;
    LoadDigest digest;
    digest.from_ = EntryId(textIn(params, "from"));
    digest.address_ = config::addressOf(textIn(params, "address")).value_or(Address());
    digest.zone_ = AvailabilityZone(textIn(params, "zone"));
    digest.capacity_ = realIn(params, "capacity");
    digest.stamp_ = {Incarnation(numberIn(params, "since")), microsecondsIn(params, "sent_at")};
    digest.relay_ = relayIn(params);
    digest.endpoints_ = RowVersion(numberIn(params, "endpoints"));
    readLoads(params.if_contains("loads"), digest);
    readDemand(params.if_contains("demand"), digest.demand_);
    digest.retries_ = retriesIn(params.if_contains("repeats"));
    if (const auto *quota = params.if_contains("quota"))
        digest.quota_ = quotaReportIn(quota);
    digest.silent_ = endpointsIn(params.if_contains("silent"));
    digest.poison_ = poisonIn(params.if_contains("poison"));
    digest.overload_ = readDemandFields(params);
    readCounts(params.if_contains("failing"), digest.failing_);
    digest.partitioned_ = idsIn<EntryId>(params.if_contains("partitioned"));
    digest.inquired_ = endpointsIn(params.if_contains("inquired"));
    digest.witnessed_ = endpointsIn(params.if_contains("witnessed"));
    digest.limits_ = limitsIn(params.if_contains("limits"));
    digest.cooldowns_ = cooldownsIn(params.if_contains("cooldowns"));
    digest.isDraining_ = flagIn(params, "draining");
    return digest;
}

/// Positions in the array that encodes an entry; an object with names would be twice the size.
enum EntryPart : std::size_t {
    IdPart,
    VersionPart,
    EndParts, ///< Size of the entry of an endpoint that is no longer listed.
    ServicePart = EndParts,
    AddressPart,
    ZonePart,
    DomainPart,
    SlotsPart,
    DrainingPart,
    ModelPart,
    StagedPart,
    GroupPart,
    EpochPart,
    RankPart,
    StatePart,
    BornPart,
    EntryParts,
    ColdPart = EntryParts, ///< In microseconds; only present if the endpoint is cold.
    ColdEntryParts
};

json::array entryOf(const EndpointChange &change)
{
    json::array entry{change.id_.text(), change.version_.value()};
    if (!change.endpoint_)
        return entry;
    const auto &endpoint = *change.endpoint_;
    json::array staged;
    for (const auto &model : endpoint.staged_)
        staged.emplace_back(model.text());
    const auto membership = endpoint.membership_.value_or(Membership());
    entry.emplace_back(endpoint.service_.text());
    entry.emplace_back(endpoint.address_.text());
    entry.emplace_back(endpoint.zone_.text());
    entry.emplace_back(endpoint.domain_.text());
    entry.emplace_back(endpoint.slots_);
    entry.emplace_back(endpoint.isDraining_);
    entry.emplace_back(endpoint.model_.text());
    entry.emplace_back(std::move(staged));
    entry.emplace_back(membership.group_.text());
    entry.emplace_back(membership.epoch_);
    entry.emplace_back(membership.rank_);
    entry.emplace_back(static_cast<int>(membership.state_));
    entry.emplace_back(endpoint.startedAt_);
    if (endpoint.coldFor_ > Duration::zero())
        entry.emplace_back(microsecondsOf(endpoint.coldFor_));
    return entry;
}

template<typename Id>
Id idAt(const json::array &entry, std::size_t part)
{
    return Id(textOf(entry.at(part).as_string()));
}

template<typename Number>
Number numberAt(const json::array &entry, std::size_t part)
{
    return entry.at(part).to_number<Number>();
}

Endpoint endpointIn(const json::array &entry)
{
    Endpoint endpoint;
    endpoint.id_ = idAt<VmId>(entry, IdPart);
    endpoint.service_ = idAt<ServiceName>(entry, ServicePart);
    endpoint.address_
        = config::addressOf(textOf(entry.at(AddressPart).as_string())).value_or(Address());
    endpoint.zone_ = idAt<AvailabilityZone>(entry, ZonePart);
    endpoint.domain_ = idAt<FabricDomain>(entry, DomainPart);
    endpoint.slots_ = numberAt<std::uint32_t>(entry, SlotsPart);
    endpoint.isDraining_ = entry.at(DrainingPart).as_bool();
    endpoint.model_ = idAt<ModelName>(entry, ModelPart);
    for (const auto &model : entry.at(StagedPart).as_array())
        endpoint.staged_.emplace_back(textOf(model.as_string()));
    endpoint.startedAt_ = numberAt<std::uint64_t>(entry, BornPart);
    if (entry.size() == ColdEntryParts)
        endpoint.coldFor_ = std::chrono::microseconds(
            std::min(numberAt<std::uint64_t>(entry, ColdPart), maxColdMicroseconds));
    const auto state = numberAt<int>(entry, StatePart);
    const bool isMember = !entry.at(GroupPart).as_string().empty();
    if (isMember && state >= 0 && state <= static_cast<int>(MemberState::Broken))
        endpoint.membership_
            = {idAt<GroupName>(entry, GroupPart), numberAt<std::uint64_t>(entry, EpochPart),
               numberAt<std::uint32_t>(entry, RankPart), static_cast<MemberState>(state)};
    return endpoint;
}

/// \returns nothing if a part is missing or of another type.
std::optional<EndpointChange> changeIn(const json::value &value)
{
    try {
        const auto &entry = value.as_array();
        EndpointChange change;
        change.id_ = idAt<VmId>(entry, IdPart);
        change.version_ = RowVersion(numberAt<std::uint64_t>(entry, VersionPart));
        if (entry.size() == EndParts)
            return change;
        // An entry from another version of this program must not be mistaken for the removal of an
        // endpoint.
        if (entry.size() != EntryParts && entry.size() != ColdEntryParts)
            return std::nullopt;
        change.endpoint_ = endpointIn(entry);
        return change;
    } catch (const std::exception &) {
        return std::nullopt; // The whole message is discarded, and sent again later.
    }
}

} // namespace

std::string encode(const LoadDigest &digest)
{
    return notification(loadMethod, digestObject(digest));
}

std::optional<LoadDigest> decodeLoadDigest(std::string_view text)
{
    const auto params = paramsOf(text, loadMethod);
    return params ? digestIn(*params) : std::nullopt;
}

std::string encode(const LoadSummary &summary)
{
    return notification(summaryMethod, {{"sum", digestObject(summary.sum_)},
                                        {"since", summary.since_.value()},
                                        {"of_zone", summary.isOfZone_},
                                        {"roster", peerInfoArray(summary.roster_)},
                                        {"roster_total", summary.rosterTotal_}});
}

std::optional<LoadSummary> decodeLoadSummary(std::string_view text)
{
    const auto params = paramsOf(text, summaryMethod);
    const auto *sum = params ? params->if_contains("sum") : nullptr;
    if (sum == nullptr || !sum->is_object())
        return std::nullopt;
    auto digest = digestIn(sum->get_object());
    if (!digest)
        return std::nullopt;
    LoadSummary summary;
    summary.sum_ = *std::move(digest);
    summary.since_ = Incarnation(numberIn(*params, "since"));
    summary.isOfZone_ = flagIn(*params, "of_zone");
    summary.roster_ = peerInfosIn(params->if_contains("roster"));
    summary.rosterTotal_ = numberIn(*params, "roster_total");
    return summary;
}

std::string encode(const EndpointRelay &relay)
{
    json::array entries;
    for (const auto &change : relay.changes_)
        entries.push_back(entryOf(change));
    return notification(relayMethod, json::object{{"after", relay.after_.value()},
                                                  {"to", relay.to_.value()},
                                                  {"entries", std::move(entries)}});
}

std::optional<EndpointRelay> decodeEndpointRelay(std::string_view text)
{
    const auto params = paramsOf(text, relayMethod);
    const auto *entries = params ? params->if_contains("entries") : nullptr;
    if (entries == nullptr || !entries->is_array())
        return std::nullopt;
    EndpointRelay relay;
    relay.after_ = RowVersion(numberIn(*params, "after"));
    relay.to_ = RowVersion(numberIn(*params, "to"));
    for (const auto &entry : entries->get_array()) {
        auto change = changeIn(entry);
        if (!change)
            return std::nullopt;
        relay.changes_.push_back(*std::move(change));
    }
    return relay;
}

std::string encode(const SilenceAlarm &alarm)
{
    return notification(alarmMethod, json::object{{"from", alarm.from_.text()},
                                                  {"silent", namesOf(alarm.silent_)}});
}

std::optional<SilenceAlarm> decodeSilenceAlarm(std::string_view text)
{
    const auto params = paramsOf(text, alarmMethod);
    if (!params || textIn(*params, "from").empty())
        return std::nullopt;
    return SilenceAlarm{EntryId(textIn(*params, "from")),
                        endpointsIn(params->if_contains("silent"))};
}

std::vector<EndpointRelay> splitRelay(EndpointRelay relay)
{
    std::vector<EndpointRelay> result;
    EndpointRelay part;
    part.after_ = relay.after_;
    for (auto &change : relay.changes_) {
        // Entries of one version stay together, since a receiver that has a version must have all
        // of its entries.
        const bool isNewVersion
            = !part.changes_.empty() && part.changes_.back().version_ != change.version_;
        if (isNewVersion && part.changes_.size() >= maxEntriesPerDatagram) {
            part.to_ = part.changes_.back().version_;
            const auto end = part.to_;
            result.push_back(std::exchange(part, {}));
            part.after_ = end;
        }
        part.changes_.push_back(std::move(change));
    }
    part.to_ = relay.to_;
    result.push_back(std::move(part));
    return result;
}

} // namespace cardamombay::serving
