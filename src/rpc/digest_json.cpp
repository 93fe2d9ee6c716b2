#include "rpc/digest_json.hpp"

#include "rpc/digest_entries.hpp"
#include "rpc/json_array.hpp"

#include <memory>
#include <sstream>
#include <stdexcept>

#include <json/reader.h>
#include <json/writer.h>

namespace cardamombay::rpc::impl {

using namespace membership;

namespace {

constexpr int nestingLimit = 16;
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
