#include <cardamombay/groups/group_row.hpp>

#include <boost/json.hpp>

#include <algorithm>
#include <array>
#include <charconv>
#include <stdexcept>

namespace cardamombay::groups {

namespace json = boost::json;

namespace {

constexpr std::array<std::string_view, 8> phaseNames{"forming",    "loading",  "verifying",
                                                     "serving",    "degraded", "draining",
                                                     "dissolving", "dissolved"};
constexpr std::array<std::string_view, 3> roleNames{"mixed", "prefill", "decode"};

template<std::size_t Size>
std::optional<std::size_t> indexOf(const std::array<std::string_view, Size> &names,
                                   std::string_view name)
{
    const auto found = std::find(names.begin(), names.end(), name);
    if (found == names.end())
        return std::nullopt;
    return static_cast<std::size_t>(found - names.begin());
}

std::string textAt(const json::object &object, std::string_view key)
{
    return json::value_to<std::string>(object.at(key));
}

std::uint64_t numberAt(const json::object &object, std::string_view key)
{
    return object.at(key).to_number<std::uint64_t>();
}

template<std::size_t Size>
std::size_t nameAt(const json::object &object, std::string_view key,
                   const std::array<std::string_view, Size> &names)
{
    const auto index = indexOf(names, textAt(object, key));
    if (!index)
        throw std::invalid_argument("unknown value of field " + std::string(key));
    return *index;
}

json::object encodeModel(const endpoint::ModelSpec &model)
{
    return {{"name", model.name_.text()},
            {"version", model.version_.text()},
            {"adapters", json::value_from(model.adapters_)}};
}

endpoint::ModelSpec decodeModel(const json::object &object)
{
    return {ModelName(textAt(object, "name")), ModelVersion(textAt(object, "version")),
            json::value_to<std::vector<std::string>>(object.at("adapters"))};
}

json::array encodeMembers(const std::vector<VmId> &members)
{
    json::array names;
    for (const VmId &member : members)
        names.emplace_back(member.text());
    return names;
}

std::vector<VmId> decodeMembers(const json::array &names)
{
    std::vector<VmId> members;
    for (const json::value &name : names)
        members.emplace_back(json::value_to<std::string>(name));
    return members;
}

GroupRow decodeObject(const json::object &object)
{
    GroupRow row;
    row.group_ = GroupId(textAt(object, "group"));
    row.service_ = ServiceName(textAt(object, "service"));
    row.zone_ = AvailabilityZone(textAt(object, "zone"));
    row.domain_ = FabricDomain(textAt(object, "domain"));
    row.generation_ = Generation(numberAt(object, "generation"));
    row.phase_ = static_cast<GroupPhase>(nameAt(object, "phase", phaseNames));
    row.members_ = decodeMembers(object.at("members").as_array());
    row.model_ = decodeModel(object.at("model").as_object());
    row.role_ = static_cast<endpoint::GroupRole>(nameAt(object, "role", roleNames));
    row.vmsPerReplica_ = static_cast<std::uint32_t>(numberAt(object, "vms_per_replica"));
    row.epoch_ = Epoch(numberAt(object, "epoch"));
    row.reason_ = textAt(object, "reason");
    return row;
}

} // namespace

std::string_view nameOf(GroupPhase phase)
{
    return phaseNames.at(static_cast<std::size_t>(phase));
}

std::optional<GroupPhase> groupPhase(std::string_view name)
{
    const auto index = indexOf(phaseNames, name);
    if (!index)
        return std::nullopt;
    return static_cast<GroupPhase>(*index);
}

std::optional<std::uint32_t> GroupRow::rankOf(const VmId &vm) const
{
    const auto found = std::find(members_.begin(), members_.end(), vm);
    if (found == members_.end())
        return std::nullopt;
    return static_cast<std::uint32_t>(found - members_.begin());
}

bool GroupRow::isMatchedBy(const endpoint::EndpointState &state) const
{
    const auto rank = rankOf(state.vm_);
    return rank && state.phase_ == endpoint::EnginePhase::Ready
           && state.assignment_ == endpoint::Assignment{group_, generation_, *rank}
           && state.model_ == model_;
}

platform::RowKey groupKey(const GroupId &group)
{
    return {groupTable, group.text()};
}

GroupId slotId(const ServiceName &service, const AvailabilityZone &zone, std::uint32_t number)
{
    return GroupId(service.text() + "/" + zone.text() + "/" + std::to_string(number));
}

std::optional<std::uint32_t> slotNumber(const GroupId &group)
{
    const std::string_view text = group.text();
    const auto slash = text.rfind('/');
    if (slash == std::string_view::npos)
        return std::nullopt;
    const std::string_view digits = text.substr(slash + 1);
    std::uint32_t number = 0;
    const auto parsed = std::from_chars(digits.data(), digits.data() + digits.size(), number);
    if (parsed.ec != std::errc{} || parsed.ptr != digits.data() + digits.size())
        return std::nullopt;
    return number;
}

std::string encode(const GroupRow &row)
{
    return json::serialize(json::object{{"group", row.group_.text()},
                                        {"service", row.service_.text()},
                                        {"zone", row.zone_.text()},
                                        {"domain", row.domain_.text()},
                                        {"generation", row.generation_.value()},
                                        {"phase", nameOf(row.phase_)},
                                        {"members", encodeMembers(row.members_)},
                                        {"model", encodeModel(row.model_)},
                                        {"role", roleNames.at(static_cast<std::size_t>(row.role_))},
                                        {"vms_per_replica", row.vmsPerReplica_},
                                        {"epoch", row.epoch_.value()},
                                        {"reason", row.reason_}});
}

Result<GroupRow> decodeGroupRow(const std::string &text)
{
    try {
        return decodeObject(json::parse(text).as_object());
    } catch (const std::exception &failure) {
        return Error(MalformedMessage{"group row", failure.what()});
    }
}

} // namespace cardamombay::groups
