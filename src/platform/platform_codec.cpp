#include "platform/platform_codec.hpp"

#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>
#include <boost/json/value.hpp>

#include <algorithm>
#include <array>
#include <limits>
#include <utility>

namespace cardamombay::platform::impl {

namespace json = boost::json;

namespace {

/// Thrown and caught inside this file only.
struct BadShape
{
};

const json::value &member(const json::object &object, std::string_view name)
{
    const auto *found = object.if_contains(name);
    if (!found)
        throw BadShape{};
    return *found;
}

const json::object &asObject(const json::value &value)
{
    const auto *object = value.if_object();
    if (!object)
        throw BadShape{};
    return *object;
}

const json::array &arrayMember(const json::object &object, std::string_view name)
{
    const auto *array = member(object, name).if_array();
    if (!array)
        throw BadShape{};
    return *array;
}

std::string textMember(const json::object &object, std::string_view name)
{
    const auto *text = member(object, name).if_string();
    if (!text)
        throw BadShape{};
    return std::string(*text);
}

std::string textMemberOrEmpty(const json::object &object, std::string_view name)
{
    return object.contains(name) ? textMember(object, name) : std::string();
}

std::uint64_t numberMember(const json::object &object, std::string_view name)
{
    boost::system::error_code failure;
    const auto number = member(object, name).to_number<std::uint64_t>(failure);
    if (failure)
        throw BadShape{};
    return number;
}

bool boolMember(const json::object &object, std::string_view name)
{
    const auto *flag = member(object, name).if_bool();
    if (!flag)
        throw BadShape{};
    return *flag;
}

json::object toJson(const RowKey &key)
{
    return {{"table", key.table_}, {"key", key.key_}};
}

Row toRow(const json::value &value)
{
    const auto &object = asObject(value);
    Row row;
    row.key_ = {textMember(object, "table"), textMember(object, "key")};
    row.value_ = textMember(object, "value");
    row.version_ = RowVersion(numberMember(object, "version"));
    row.writer_ = WriterToken(textMember(object, "writer"));
    // Version zero stands for an absent row.
    if (row.version_.isNone())
        throw BadShape{};
    return row;
}

std::vector<Row> toRows(const json::object &object)
{
    std::vector<Row> rows;
    for (const auto &value : arrayMember(object, "rows"))
        rows.push_back(toRow(value));
    return rows;
}

template<typename Value, std::size_t size>
Value named(const std::array<std::pair<std::string_view, Value>, size> &names,
            std::string_view name)
{
    const auto found = std::find_if(names.begin(), names.end(),
                                    [&](const auto &entry) { return entry.first == name; });
    if (found == names.end())
        throw BadShape{};
    return found->second;
}

constexpr std::array<std::pair<std::string_view, VmRole>, 3> roleNames{{
    {"entry", VmRole::Entry},
    {"engine", VmRole::Engine},
    {"plain", VmRole::Plain},
}};

constexpr std::array<std::pair<std::string_view, VmStatus>, 2> statusNames{{
    {"live", VmStatus::Live},
    {"leaving", VmStatus::Leaving},
}};

VmRecord toVm(const json::value &value)
{
    const auto &object = asObject(value);
    VmRecord vm;
    vm.id_ = VmId(textMember(object, "id"));
    vm.role_ = named(roleNames, textMember(object, "role"));
    vm.status_ = named(statusNames, textMember(object, "status"));
    const auto port = numberMember(object, "port");
    if (vm.id_.isEmpty() || port == 0 || port > std::numeric_limits<std::uint16_t>::max())
        throw BadShape{};
    vm.address_ = {textMember(object, "ip"), static_cast<std::uint16_t>(port)};
    vm.zone_ = AvailabilityZone(textMember(object, "zone"));
    vm.domain_ = FabricDomain(textMemberOrEmpty(object, "domain"));
    vm.service_ = ServiceName(textMemberOrEmpty(object, "service"));
    return vm;
}

/// Parses the text and applies \p convert to its object; nothing if either fails.
template<typename Convert>
auto decode(std::string_view text, Convert convert)
    -> std::optional<decltype(convert(std::declval<const json::object &>()))>
{
    boost::system::error_code failure;
    const json::value value = json::parse(text, failure);
    if (failure)
        return std::nullopt;
    try {
        return convert(asObject(value));
    } catch (const BadShape &) {
        return std::nullopt;
    }
}

} // namespace

std::string encode(const Transaction &transaction)
{
    json::array conditions;
    for (const auto &condition : transaction.conditions_) {
        auto object = toJson(condition.key_);
        object["version"] = condition.expected_.value();
        conditions.push_back(std::move(object));
    }
    json::array writes;
    for (const auto &write : transaction.writes_) {
        auto object = toJson(write.key_);
        object["value"] = write.value_ ? json::value(*write.value_) : json::value(nullptr);
        writes.push_back(std::move(object));
    }
    return json::serialize(json::object{{"writer", transaction.writer_.text()},
                                        {"conditions", std::move(conditions)},
                                        {"writes", std::move(writes)}});
}

std::string encode(const std::vector<RowKey> &keys)
{
    json::array list;
    for (const auto &key : keys)
        list.push_back(toJson(key));
    return json::serialize(json::object{{"keys", std::move(list)}});
}

std::string encode(const Scan &scan)
{
    return json::serialize(json::object{{"table", scan.table_},
                                        {"prefix", scan.prefix_},
                                        {"after", scan.after_},
                                        {"changed_after", scan.changedAfter_.value()},
                                        {"limit", scan.limit_}});
}

std::optional<CommitReceipt> decodeReceipt(std::string_view text)
{
    return decode(text, [](const json::object &object) {
        const RowVersion version(numberMember(object, "version"));
        if (version.isNone())
            throw BadShape{};
        return CommitReceipt{version};
    });
}

std::optional<StoreConflict> decodeConflict(std::string_view text)
{
    return decode(text, [](const json::object &object) {
        return StoreConflict{textMember(object, "table"), textMember(object, "key"),
                             RowVersion(numberMember(object, "expected")),
                             RowVersion(numberMember(object, "found")),
                             WriterToken(textMemberOrEmpty(object, "writer"))};
    });
}

std::optional<std::vector<Row>> decodeRows(std::string_view text)
{
    return decode(text, toRows);
}

std::optional<ScanPage> decodePage(std::string_view text)
{
    return decode(text, [](const json::object &object) {
        ScanPage page;
        page.rows_ = toRows(object);
        page.isLast_ = boolMember(object, "last");
        page.storeVersion_ = RowVersion(numberMember(object, "store_version"));
        // A reader that goes on behind the last row would read such a page for ever.
        if (page.rows_.empty() && !page.isLast_)
            throw BadShape{};
        return page;
    });
}

std::optional<VmListAnswer> decodeVmList(std::string_view text)
{
    return decode(text, [](const json::object &object) {
        VmListAnswer answer;
        VmList &list = answer.list_;
        answer.tag_ = textMemberOrEmpty(object, "tag");
        answer.isUnchanged_ = object.contains("unchanged") && boolMember(object, "unchanged");
        const auto age = numberMember(object, "age_ms");
        constexpr std::uint64_t longestAge = std::uint64_t{1} << 40U;
        list.age_ = std::chrono::milliseconds(std::min(age, longestAge));
        if (answer.isUnchanged_)
            return answer;
        for (const auto &value : arrayMember(object, "vms"))
            list.vms_.push_back(toVm(value));
        return answer;
    });
}

} // namespace cardamombay::platform::impl
