#include <cardamombay/admin/admin_group.hpp>

#include "admin/json_fields.hpp"

namespace cardamombay::admin {

using namespace impl;

namespace {

json::object writeMember(const AdminGroupMember &member)
{
    return {{"vm", member.vm_.text()},
            {"fresh", member.isFresh_},
            {"age_ms", toMilliseconds(member.age_)},
            {"phase", member.phase_}};
}

AdminGroupMember readMember(const json::object &object)
{
    return {idAt<VmId>(object, "vm"), flagAt(object, "fresh"), millisecondsAt(object, "age_ms"),
            textAt(object, "phase")};
}

json::object writeGroup(const AdminGroup &group)
{
    return {{"id", group.id_.text()},
            {"service", group.service_.text()},
            {"zone", group.zone_.text()},
            {"domain", group.domain_.text()},
            {"generation", group.generation_.value()},
            {"phase", group.phase_},
            {"members", listOf(std::span(group.members_), writeMember)},
            {"in_flight", group.inFlight_},
            {"usable", group.isUsable_},
            {"why_not", group.whyNot_}};
}

AdminGroup readGroup(const json::object &object)
{
    AdminGroup group;
    group.id_ = idAt<GroupId>(object, "id");
    group.service_ = idAt<ServiceName>(object, "service");
    group.zone_ = idAt<AvailabilityZone>(object, "zone");
    group.domain_ = idAt<FabricDomain>(object, "domain");
    group.generation_ = Generation(numberAt(object, "generation"));
    group.phase_ = textAt(object, "phase");
    group.members_ = listAt(object, "members", readMember);
    group.inFlight_ = countAt(object, "in_flight");
    group.isUsable_ = flagAt(object, "usable");
    group.whyNot_ = textAt(object, "why_not");
    return group;
}

std::vector<AdminGroup> readGroups(const json::object &object)
{
    return listAt(object, "groups", readGroup);
}

} // namespace

std::string encode(std::span<const AdminGroup> groups)
{
    return json::serialize(json::object{{"groups", listOf(groups, writeGroup)}});
}

Result<std::vector<AdminGroup>> decodeGroups(std::string_view text)
{
    return decode(text, "/admin/groups", readGroups);
}

} // namespace cardamombay::admin
