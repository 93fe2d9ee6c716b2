#include "rpc/digest_json.hpp"

#include <algorithm>
#include <cmath>
#include <memory>
#include <sstream>
#include <stdexcept>

#include <json/reader.h>
#include <json/writer.h>

namespace cardamombay::rpc::impl {

using namespace membership;

namespace {

constexpr int nestingLimit = 16;
constexpr double perMille = 1000.0;
/// Longer ages are cut to this one; it also keeps the arithmetic of durations from overflowing.
constexpr std::int64_t longestMilliseconds = 10LL * 24 * 3600 * 1000;
constexpr unsigned tableFlag = 1;
constexpr unsigned payloadFlag = 2;

// Keys of the digest object; docs/design/peer_protocol.md lists them.
constexpr const char *fromKey = "f";
constexpr const char *toKey = "t";
constexpr const char *sequenceKey = "q";
constexpr const char *echoKey = "e";
constexpr const char *flagsKey = "b";
constexpr const char *newestConfigKey = "v";
constexpr const char *membersKey = "m";
constexpr const char *observationsKey = "o";
constexpr const char *leavingKey = "l";
constexpr const char *demandKey = "d";
constexpr const char *inFlightKey = "i";
constexpr const char *watchKey = "w";
constexpr const char *regionsKey = "r";
constexpr const char *sitesKey = "s";
constexpr const char *reachRequestsKey = "p";
constexpr const char *reachReportsKey = "a";
constexpr const char *loadsKey = "n";
constexpr const char *goneKey = "g";

/// Writes the fields of one JSON array, in order.
class ArrayWriter
{
public:
    ArrayWriter()
        : array_(Json::arrayValue)
    {
    }

    ArrayWriter &add(const std::string &text) { return append(Json::Value(text)); }
    ArrayWriter &add(std::uint64_t number) { return append(Json::Value(Json::UInt64(number))); }
    /// Rounds up: nothing may look younger than it is.
    ArrayWriter &addAge(Duration age)
    {
        const auto whole = std::chrono::ceil<std::chrono::milliseconds>(age).count();
        return add(
            static_cast<std::uint64_t>(std::clamp<std::int64_t>(whole, 0, longestMilliseconds)));
    }
    ArrayWriter &addHold(Duration hold)
    {
        const auto whole = toMilliseconds(hold);
        return add(
            static_cast<std::uint64_t>(std::clamp<std::int64_t>(whole, 0, longestMilliseconds)));
    }
    ArrayWriter &append(Json::Value value)
    {
        array_.append(std::move(value));
        return *this;
    }
    [[nodiscard]] Json::Value take() { return std::move(array_); }

private:
    Json::Value array_;
};

/// Reads the fields of one JSON array, in order; a missing or wrong field throws.
class ArrayReader
{
public:
    explicit ArrayReader(const Json::Value &array)
        : array_(array)
    {
        if (!array.isArray())
            throw std::runtime_error("an array is expected");
    }

    [[nodiscard]] bool isAtEnd() const { return next_ >= array_.size(); }
    const Json::Value &value()
    {
        if (isAtEnd())
            throw std::runtime_error("an array is too short");
        return array_[next_++];
    }
    std::string text()
    {
        const Json::Value &field = value();
        if (!field.isString())
            throw std::runtime_error("a string is expected");
        return field.asString();
    }
    std::uint64_t number(std::uint64_t bound = UINT64_MAX)
    {
        const Json::Value &field = value();
        if (!field.isUInt64() || field.type() == Json::realValue || field.asUInt64() > bound)
            throw std::runtime_error("a whole number in range is expected");
        return field.asUInt64();
    }
    std::uint32_t small() { return static_cast<std::uint32_t>(number(UINT32_MAX)); }
    bool flag() { return number(1) != 0; }
    Duration duration()
    {
        const auto count = std::min<std::uint64_t>(number(), longestMilliseconds);
        return std::chrono::milliseconds(count);
    }
    template<typename Id>
    Id textId()
    {
        return Id(text());
    }
    /// Numbers that rise get one added here and there; the upper half is refused.
    template<typename Id>
    Id numberId()
    {
        return Id(number(INT64_MAX));
    }
    template<typename Enum>
    Enum choice(Enum last)
    {
        return static_cast<Enum>(number(static_cast<std::uint64_t>(last)));
    }

private:
    const Json::Value &array_;
    Json::ArrayIndex next_ = 0;
};

template<typename Enum>
std::uint64_t ordinal(Enum value)
{
    return static_cast<std::uint64_t>(value);
}

Json::Value memberToJson(const MemberEntry &entry)
{
    return ArrayWriter()
        .add(entry.id_.text())
        .add(entry.address_.ip_)
        .add(entry.address_.port_)
        .add(entry.zone_.text())
        .add(entry.region_.text())
        .add(entry.incarnation_.value())
        .add(ordinal(entry.status_))
        .add(entry.isDraining_ ? 1 : 0)
        .add(entry.configVersion_.value())
        .take();
}

Address addressFrom(ArrayReader &reader)
{
    Address address;
    address.ip_ = reader.text();
    address.port_ = static_cast<std::uint16_t>(reader.number(UINT16_MAX));
    return address;
}

MemberEntry memberFrom(const Json::Value &value)
{
    ArrayReader reader(value);
    MemberEntry entry;
    entry.id_ = reader.textId<EntryId>();
    entry.address_ = addressFrom(reader);
    entry.zone_ = reader.textId<AvailabilityZone>();
    entry.region_ = reader.textId<RegionName>();
    entry.incarnation_ = reader.numberId<Incarnation>();
    entry.status_ = reader.choice(MemberStatus::Left);
    entry.isDraining_ = reader.flag();
    entry.configVersion_ = reader.numberId<ConfigVersion>();
    return entry;
}

Json::Value loadToJson(const endpoint::LoadReport &load)
{
    const double kv = std::clamp(load.kvCacheUsed_, 0.0, 1.0) * perMille;
    return ArrayWriter()
        .add(load.running_)
        .add(load.queued_)
        .add(static_cast<std::uint64_t>(std::lround(kv)))
        .addAge(load.lag_)
        .take();
}

endpoint::LoadReport loadFrom(const Json::Value &value)
{
    ArrayReader reader(value);
    endpoint::LoadReport load;
    load.running_ = reader.small();
    load.queued_ = reader.small();
    load.kvCacheUsed_
        = static_cast<double>(reader.number(static_cast<std::uint64_t>(perMille))) / perMille;
    load.lag_ = reader.duration();
    return load;
}

Json::Value loadEntryToJson(const LoadEntry &entry)
{
    return ArrayWriter().add(entry.vm_.text()).append(loadToJson(entry.load_)).take();
}

LoadEntry loadEntryFrom(const Json::Value &value)
{
    ArrayReader reader(value);
    LoadEntry entry;
    entry.vm_ = reader.textId<VmId>();
    entry.load_ = loadFrom(reader.value());
    return entry;
}

Json::Value goneToJson(const GoneEntry &entry)
{
    return ArrayWriter().add(entry.vm_.text()).addAge(entry.age_).take();
}

GoneEntry goneFrom(const Json::Value &value)
{
    ArrayReader reader(value);
    GoneEntry entry;
    entry.vm_ = reader.textId<VmId>();
    entry.age_ = reader.duration();
    return entry;
}

Json::Value observationToJson(const ObservationEntry &entry)
{
    const endpoint::EndpointState &state = entry.state_;
    ArrayWriter writer;
    writer.add(state.vm_.text())
        .add(state.incarnation_.value())
        .add(ordinal(state.phase_))
        .addAge(entry.age_)
        .add(entry.isStraggler_ ? 1 : 0)
        .add(state.highestFencing_.value());
    writer.append(loadToJson(state.load_));
    ArrayWriter model;
    if (!state.model_.name_.isEmpty()) {
        model.add(state.model_.name_.text()).add(state.model_.version_.text());
        for (const std::string &adapter : state.model_.adapters_)
            model.add(adapter);
    }
    writer.append(model.take());
    if (state.assignment_) {
        writer.add(state.assignment_->group_.text())
            .add(state.assignment_->generation_.value())
            .add(state.assignment_->rank_);
    }
    return writer.take();
}

ObservationEntry observationFrom(const Json::Value &value)
{
    ArrayReader reader(value);
    ObservationEntry entry;
    endpoint::EndpointState &state = entry.state_;
    state.vm_ = reader.textId<VmId>();
    state.incarnation_ = reader.numberId<Incarnation>();
    state.phase_ = reader.choice(endpoint::EnginePhase::Failed);
    entry.age_ = reader.duration();
    entry.isStraggler_ = reader.flag();
    state.highestFencing_ = reader.numberId<Epoch>();
    state.load_ = loadFrom(reader.value());
    ArrayReader model(reader.value());
    if (!model.isAtEnd()) {
        state.model_.name_ = model.textId<ModelName>();
        state.model_.version_ = model.textId<ModelVersion>();
    }
    while (!model.isAtEnd())
        state.model_.adapters_.push_back(model.text());
    if (!reader.isAtEnd()) {
        endpoint::Assignment assignment;
        assignment.group_ = reader.textId<GroupId>();
        assignment.generation_ = reader.numberId<Generation>();
        assignment.rank_ = reader.small();
        state.assignment_ = assignment;
    }
    return entry;
}

Json::Value leavingToJson(const LeavingEntry &entry)
{
    return ArrayWriter()
        .add(entry.vm_.text())
        .addAge(entry.age_)
        .add(entry.count_)
        .add(entry.incarnation_.value())
        .take();
}

LeavingEntry leavingFrom(const Json::Value &value)
{
    ArrayReader reader(value);
    LeavingEntry entry;
    entry.vm_ = reader.textId<VmId>();
    entry.age_ = reader.duration();
    entry.count_ = reader.number(INT64_MAX);
    entry.incarnation_ = reader.numberId<Incarnation>();
    return entry;
}

/// One array for each run of the same service: its name, then team, in flight and waiting.
Json::Value demandToJson(const std::vector<routing::DemandReport> &demand)
{
    ArrayWriter services;
    for (std::size_t i = 0; i < demand.size();) {
        const ServiceName &service = demand[i].service_;
        ArrayWriter writer;
        writer.add(service.text());
        for (; i < demand.size() && demand[i].service_ == service; ++i) {
            writer.add(demand[i].team_.text()).add(demand[i].inFlight_).add(demand[i].waiting_);
        }
        services.append(writer.take());
    }
    return services.take();
}

void readDemand(const Json::Value &value, std::vector<routing::DemandReport> &demand)
{
    for (ArrayReader services(value); !services.isAtEnd();) {
        ArrayReader reader(services.value());
        const auto service = reader.textId<ServiceName>();
        while (!reader.isAtEnd()) {
            routing::DemandReport report;
            report.service_ = service;
            report.team_ = reader.textId<TeamName>();
            report.inFlight_ = reader.small();
            report.waiting_ = reader.small();
            demand.push_back(std::move(report));
        }
    }
}

Json::Value inFlightToJson(const InFlightEntry &entry)
{
    return ArrayWriter().add(entry.group_.text()).add(entry.inFlight_).take();
}

InFlightEntry inFlightFrom(const Json::Value &value)
{
    ArrayReader reader(value);
    InFlightEntry entry;
    entry.group_ = reader.textId<GroupId>();
    entry.inFlight_ = reader.small();
    return entry;
}

Json::Value watchToJson(const WatchSummary &summary)
{
    ArrayWriter writer;
    writer.add(summary.revision_).add(summary.applied_).addAge(summary.age_).add(summary.base_);
    for (const VmId &vm : summary.removed_)
        writer.add(vm.text());
    return writer.take();
}

WatchSummary watchFrom(const Json::Value &value)
{
    ArrayReader reader(value);
    WatchSummary summary;
    summary.revision_ = reader.number(INT64_MAX);
    summary.applied_ = reader.number(INT64_MAX);
    summary.age_ = reader.duration();
    summary.base_ = reader.number(INT64_MAX);
    while (!reader.isAtEnd())
        summary.removed_.push_back(reader.textId<VmId>());
    return summary;
}

Json::Value regionToJson(const RegionSummary &summary)
{
    return ArrayWriter().add(summary.region_.text()).add(summary.hash_).take();
}

RegionSummary regionFrom(const Json::Value &value)
{
    ArrayReader reader(value);
    RegionSummary summary;
    summary.region_ = reader.textId<RegionName>();
    summary.hash_ = reader.number();
    return summary;
}

Json::Value siteToJson(const SiteSummary &summary)
{
    return ArrayWriter()
        .add(summary.zone_.text())
        .add(summary.alive_)
        .add(summary.oldest_.value())
        .add(summary.newest_.value())
        .addAge(summary.age_)
        .take();
}

SiteSummary siteFrom(const Json::Value &value)
{
    ArrayReader reader(value);
    SiteSummary summary;
    summary.zone_ = reader.textId<AvailabilityZone>();
    summary.alive_ = reader.small();
    summary.oldest_ = reader.numberId<ConfigVersion>();
    summary.newest_ = reader.numberId<ConfigVersion>();
    summary.age_ = reader.duration();
    return summary;
}

Json::Value reachRequestToJson(const ReachRequest &request)
{
    return ArrayWriter()
        .add(request.target_.text())
        .add(request.address_.ip_)
        .add(request.address_.port_)
        .take();
}

ReachRequest reachRequestFrom(const Json::Value &value)
{
    ArrayReader reader(value);
    ReachRequest request;
    request.target_ = reader.textId<EntryId>();
    request.address_ = addressFrom(reader);
    return request;
}

Json::Value reachReportToJson(const ReachReport &report)
{
    return ArrayWriter()
        .add(report.target_.text())
        .add(report.incarnation_.value())
        .addAge(report.age_)
        .take();
}

ReachReport reachReportFrom(const Json::Value &value)
{
    ArrayReader reader(value);
    ReachReport report;
    report.target_ = reader.textId<EntryId>();
    report.incarnation_ = reader.numberId<Incarnation>();
    report.age_ = reader.duration();
    return report;
}

template<typename Entry>
void writeList(Json::Value &object, const char *key, const std::vector<Entry> &entries,
               Json::Value (*convert)(const Entry &))
{
    if (entries.empty())
        return;
    Json::Value &list = object[key] = Json::Value(Json::arrayValue);
    for (const Entry &entry : entries)
        list.append(convert(entry));
}

template<typename Entry>
void readList(const Json::Value &object, const char *key, std::vector<Entry> &entries,
              Entry (*convert)(const Json::Value &))
{
    const Json::Value &list = object[key];
    if (list.isNull())
        return;
    entries.reserve(list.size());
    for (ArrayReader reader(list); !reader.isAtEnd();)
        entries.push_back(convert(reader.value()));
}

} // namespace

Json::Value toJson(const Digest &digest)
{
    Json::Value object(Json::objectValue);
    object[fromKey] = memberToJson(digest.from_);
    if (!digest.to_.isEmpty())
        object[toKey] = digest.to_.text();
    object[sequenceKey] = Json::UInt64(digest.sequence_);
    if (digest.echo_.sequence_ != 0)
        object[echoKey]
            = ArrayWriter().add(digest.echo_.sequence_).addHold(digest.echo_.hold_).take();
    const unsigned flags
        = (digest.wantsTable_ ? tableFlag : 0U) | (digest.wantsPayload_ ? payloadFlag : 0U);
    if (flags != 0)
        object[flagsKey] = flags;
    if (digest.newestConfig_ > digest.from_.configVersion_)
        object[newestConfigKey] = Json::UInt64(digest.newestConfig_.value());
    writeList(object, membersKey, digest.members_, memberToJson);
    writeList(object, observationsKey, digest.observations_, observationToJson);
    writeList(object, leavingKey, digest.leaving_, leavingToJson);
    if (!digest.demand_.empty())
        object[demandKey] = demandToJson(digest.demand_);
    writeList(object, inFlightKey, digest.inFlight_, inFlightToJson);
    if (digest.watch_)
        object[watchKey] = watchToJson(*digest.watch_);
    writeList(object, regionsKey, digest.regions_, regionToJson);
    writeList(object, sitesKey, digest.sites_, siteToJson);
    writeList(object, reachRequestsKey, digest.reachRequests_, reachRequestToJson);
    writeList(object, reachReportsKey, digest.reachReports_, reachReportToJson);
    writeList(object, loadsKey, digest.loads_, loadEntryToJson);
    writeList(object, goneKey, digest.gone_, goneToJson);
    return object;
}

Digest digestFrom(const Json::Value &value)
{
    if (!value.isObject())
        throw std::runtime_error("a digest is a JSON object");
    Digest digest;
    digest.from_ = memberFrom(value[fromKey]);
    if (value.isMember(toKey))
        digest.to_ = EntryId(value[toKey].asString());
    digest.sequence_ = value[sequenceKey].asUInt64();
    if (value.isMember(echoKey)) {
        ArrayReader reader(value[echoKey]);
        digest.echo_.sequence_ = reader.number();
        digest.echo_.hold_ = reader.duration();
    }
    const unsigned flags = value[flagsKey].asUInt();
    digest.wantsTable_ = (flags & tableFlag) != 0;
    digest.wantsPayload_ = (flags & payloadFlag) != 0;
    digest.newestConfig_ = digest.from_.configVersion_;
    if (value.isMember(newestConfigKey)) {
        const Json::UInt64 newest = value[newestConfigKey].asUInt64();
        if (newest > INT64_MAX)
            throw std::runtime_error("a configuration version is out of range");
        digest.newestConfig_ = ConfigVersion(newest);
    }
    readList(value, membersKey, digest.members_, memberFrom);
    readList(value, observationsKey, digest.observations_, observationFrom);
    readList(value, leavingKey, digest.leaving_, leavingFrom);
    if (value.isMember(demandKey))
        readDemand(value[demandKey], digest.demand_);
    readList(value, inFlightKey, digest.inFlight_, inFlightFrom);
    if (value.isMember(watchKey))
        digest.watch_ = watchFrom(value[watchKey]);
    readList(value, regionsKey, digest.regions_, regionFrom);
    readList(value, sitesKey, digest.sites_, siteFrom);
    readList(value, reachRequestsKey, digest.reachRequests_, reachRequestFrom);
    readList(value, reachReportsKey, digest.reachReports_, reachReportFrom);
    readList(value, loadsKey, digest.loads_, loadEntryFrom);
    readList(value, goneKey, digest.gone_, goneFrom);
    return digest;
}

std::string write(const Json::Value &value)
{
    static const std::unique_ptr<const Json::StreamWriterBuilder> builder = [] {
        auto made = std::make_unique<Json::StreamWriterBuilder>();
        (*made)["indentation"] = "";
        return made;
    }();
    return Json::writeString(*builder, value);
}

Json::Value parse(std::string_view text)
{
    static const std::unique_ptr<const Json::CharReaderBuilder> builder = [] {
        auto made = std::make_unique<Json::CharReaderBuilder>();
        Json::CharReaderBuilder::strictMode(&made->settings_);
        (*made)["strictRoot"] = false;
        (*made)["stackLimit"] = nestingLimit;
        return made;
    }();
    const std::unique_ptr<Json::CharReader> reader(builder->newCharReader());
    Json::Value value;
    std::string problems;
    if (!reader->parse(text.data(), text.data() + text.size(), &value, &problems))
        throw std::runtime_error(problems);
    return value;
}

} // namespace cardamombay::rpc::impl
