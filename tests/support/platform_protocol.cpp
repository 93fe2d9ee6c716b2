#include "support/platform_protocol.hpp"

#include <cardamombay/core/hash.hpp>

#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>
#include <boost/json/value.hpp>
#include <boost/json/value_to.hpp>

#include <stdexcept>

namespace cardamombay::support {

namespace json = boost::json;
using namespace platform;

namespace {

constexpr std::size_t mostKeys = 1000;
constexpr std::size_t mostConditions = 100;
constexpr std::size_t longestKey = 512;
constexpr std::size_t longestValue = std::size_t{256} << 10U;
constexpr std::size_t longestPage = 1000;

void require(bool holds, const char *rule)
{
    if (!holds)
        throw std::invalid_argument(rule);
}

json::object parseObject(std::string_view text)
{
    return json::parse(text).as_object();
}

std::string text(const json::object &object, std::string_view name)
{
    return std::string(object.at(name).as_string());
}

std::string textOrEmpty(const json::object &object, std::string_view name)
{
    return object.contains(name) ? text(object, name) : std::string();
}

std::uint64_t number(const json::object &object, std::string_view name)
{
    return object.at(name).to_number<std::uint64_t>();
}

RowKey toKey(const json::object &object)
{
    RowKey key{text(object, "table"), text(object, "key")};
    require(!key.table_.empty() && !key.key_.empty(), "table and key are not empty");
    require(key.table_.size() <= longestKey && key.key_.size() <= longestKey, "key is too long");
    return key;
}

json::object toJson(const Row &row)
{
    return {{"table", row.key_.table_},
            {"key", row.key_.key_},
            {"value", row.value_},
            {"version", row.version_.value()},
            {"writer", row.writer_.text()}};
}

json::array toJson(const std::vector<Row> &rows)
{
    json::array array;
    for (const auto &row : rows)
        array.push_back(toJson(row));
    return array;
}

VmStatus toStatus(const std::string &name)
{
    require(name == "live" || name == "leaving", "status is live or leaving");
    return name == "live" ? VmStatus::Live : VmStatus::Leaving;
}

VmRole toRole(const std::string &name)
{
    require(name == "entry" || name == "engine" || name == "plain",
            "role is entry, engine or plain");
    if (name == "entry")
        return VmRole::Entry;
    return name == "engine" ? VmRole::Engine : VmRole::Plain;
}

const char *nameOf(VmRole role)
{
    switch (role) {
    case VmRole::Entry:
        return "entry";
    case VmRole::Engine:
        return "engine";
    case VmRole::Plain:
        break;
    }
    return "plain";
}

VmRecord toVm(const json::object &object)
{
    VmRecord vm;
    vm.id_ = VmId(text(object, "id"));
    vm.role_ = toRole(text(object, "role"));
    vm.status_ = object.contains("status") ? toStatus(text(object, "status")) : VmStatus::Live;
    vm.address_ = {text(object, "ip"), object.at("port").to_number<std::uint16_t>()};
    vm.zone_ = AvailabilityZone(text(object, "zone"));
    vm.domain_ = FabricDomain(textOrEmpty(object, "domain"));
    vm.service_ = ServiceName(textOrEmpty(object, "service"));
    return vm;
}

json::object toJson(const VmRecord &vm)
{
    return {{"id", vm.id_.text()},
            {"role", nameOf(vm.role_)},
            {"status", vm.status_ == VmStatus::Live ? "live" : "leaving"},
            {"ip", vm.address_.ip_},
            {"port", vm.address_.port_},
            {"zone", vm.zone_.text()},
            {"domain", vm.domain_.text()},
            {"service", vm.service_.text()}};
}

} // namespace

Transaction decodeTransaction(std::string_view body)
{
    const auto object = parseObject(body);
    Transaction transaction;
    transaction.writer_ = WriterToken(text(object, "writer"));
    require(!transaction.writer_.isEmpty(), "writer is not empty");
    const auto &conditions = object.at("conditions").as_array();
    const auto &writes = object.at("writes").as_array();
    require(conditions.size() <= mostConditions && writes.size() <= mostConditions,
            "at most 100 conditions and 100 writes");
    for (const auto &item : conditions) {
        const auto &condition = item.as_object();
        transaction.conditions_.push_back(
            {toKey(condition), RowVersion(number(condition, "version"))});
    }
    for (const auto &item : writes) {
        const auto &write = item.as_object();
        RowWrite entry{toKey(write), std::nullopt};
        if (!write.at("value").is_null())
            entry.value_ = text(write, "value");
        require(!entry.value_ || entry.value_->size() <= longestValue, "value is too long");
        transaction.writes_.push_back(std::move(entry));
    }
    return transaction;
}

std::vector<RowKey> decodeKeys(std::string_view body)
{
    const auto object = parseObject(body);
    std::vector<RowKey> keys;
    for (const auto &item : object.at("keys").as_array())
        keys.push_back(toKey(item.as_object()));
    require(keys.size() <= mostKeys, "at most 1000 keys");
    return keys;
}

Scan decodeScan(std::string_view body)
{
    const auto object = parseObject(body);
    Scan scan;
    scan.table_ = text(object, "table");
    scan.prefix_ = textOrEmpty(object, "prefix");
    scan.after_ = textOrEmpty(object, "after");
    if (object.contains("changed_after"))
        scan.changedAfter_ = RowVersion(number(object, "changed_after"));
    if (object.contains("limit"))
        scan.limit_ = number(object, "limit");
    require(scan.limit_ > 0 && scan.limit_ <= longestPage, "limit is 1 to 1000");
    return scan;
}

WeightRequest decodeWeightRequest(std::string_view body)
{
    const auto object = parseObject(body);
    return {text(object, "model"), text(object, "version"), text(object, "vm")};
}

std::vector<VmRecord> decodeVms(std::string_view body)
{
    const auto object = parseObject(body);
    std::vector<VmRecord> vms;
    for (const auto &item : object.at("vms").as_array())
        vms.push_back(toVm(item.as_object()));
    return vms;
}

VmRecord decodeVmStatus(std::string_view body)
{
    const auto object = parseObject(body);
    VmRecord vm;
    vm.id_ = VmId(text(object, "id"));
    vm.status_ = toStatus(text(object, "status"));
    return vm;
}

PlatformFaults decodeFaults(std::string_view body, PlatformFaults present)
{
    for (const auto &entry : parseObject(body)) {
        const std::string_view name = entry.key();
        const auto &value = entry.value();
        if (name == "down")
            present.isDown_ = value.as_bool();
        else if (name == "silent")
            present.isSilent_ = value.as_bool();
        else if (name == "throttle")
            present.throttles_ = value.as_bool();
        else if (name == "lose_answers")
            present.losesAnswers_ = value.as_bool();
        else if (name == "lose_requests")
            present.losesRequests_ = value.as_bool();
        else if (name == "freeze_reads")
            present.freezesReads_ = value.as_bool();
        else if (name == "garble_answers")
            present.garblesAnswers_ = value.as_bool();
        else if (name == "lose_next_answers")
            present.loseNextAnswers_ = value.to_number<std::uint32_t>();
        else if (name == "delay_ms")
            present.delay_ = std::chrono::milliseconds(value.to_number<std::uint32_t>());
        else
            throw std::invalid_argument("unknown fault");
    }
    return present;
}

std::string encodeReceipt(const CommitReceipt &receipt)
{
    return json::serialize(json::object{{"version", receipt.version_.value()}});
}

std::string encodeConflict(const StoreConflict &conflict)
{
    return json::serialize(json::object{{"table", conflict.table_},
                                        {"key", conflict.key_},
                                        {"expected", conflict.expected_.value()},
                                        {"found", conflict.found_.value()},
                                        {"writer", conflict.writer_.text()}});
}

std::string encodeRows(const std::vector<Row> &rows)
{
    return json::serialize(json::object{{"rows", toJson(rows)}});
}

std::string encodePage(const ScanPage &page)
{
    return json::serialize(json::object{{"rows", toJson(page.rows_)},
                                        {"last", page.isLast_},
                                        {"store_version", page.storeVersion_.value()}});
}

std::string encodeVms(const std::vector<VmRecord> &vms, Duration age, std::string_view known)
{
    json::array array;
    for (const auto &vm : vms)
        array.push_back(toJson(vm));
    const std::string tag = std::to_string(stableHash(json::serialize(array)));
    json::object answer{{"age_ms", toMilliseconds(age)}, {"tag", tag}};
    if (tag == known)
        answer["unchanged"] = true;
    else
        answer["vms"] = std::move(array);
    return json::serialize(answer);
}

std::string encodeCounters(const PlatformCounters &counters, std::size_t rows)
{
    return json::serialize(json::object{{"commits", counters.commits_},
                                        {"conflicts", counters.conflicts_},
                                        {"reads", counters.reads_},
                                        {"scans", counters.scans_},
                                        {"listings", counters.listings_},
                                        {"throttled", counters.throttled_},
                                        {"rows", rows}});
}

} // namespace cardamombay::support
