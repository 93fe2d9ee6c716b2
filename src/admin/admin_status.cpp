#include <cardamombay/admin/admin_status.hpp>

#include "admin/json_fields.hpp"

#include <cardamombay/config/address_text.hpp>

#include <array>
#include <stdexcept>

namespace cardamombay::admin {

using namespace impl;
using membership::MemberStatus;

namespace {

struct StatusName
{
    MemberStatus status_;
    std::string_view name_;
};

constexpr std::array<StatusName, 4> statusNames{{
    {MemberStatus::Alive, "alive"},
    {MemberStatus::Suspect, "suspect"},
    {MemberStatus::Dead, "dead"},
    {MemberStatus::Left, "left"},
}};

std::string_view nameOf(MemberStatus status)
{
    return statusNames[static_cast<std::size_t>(status)].name_;
}

MemberStatus statusOf(std::string_view name)
{
    for (const auto &item : statusNames) {
        if (item.name_ == name)
            return item.status_;
    }
    throw std::invalid_argument("unknown member status " + std::string(name));
}

json::object writeMember(const AdminMember &member)
{
    return {{"id", member.id_.text()},          {"peers", member.peers_.text()},
            {"zone", member.zone_.text()},      {"region", member.region_.text()},
            {"status", nameOf(member.status_)}, {"config_version", member.configVersion_.value()},
            {"draining", member.isDraining_}};
}

AdminMember readMember(const json::object &object)
{
    AdminMember member;
    member.id_ = idAt<EntryId>(object, "id");
    member.peers_ = config::addressOf(textAt(object, "peers")).value_or(Address{});
    member.zone_ = idAt<AvailabilityZone>(object, "zone");
    member.region_ = idAt<RegionName>(object, "region");
    member.status_ = statusOf(textAt(object, "status"));
    member.configVersion_ = ConfigVersion(numberAt(object, "config_version"));
    member.isDraining_ = flagAt(object, "draining");
    return member;
}

json::object writeService(const AdminService &service)
{
    return {{"name", service.name_.text()},
            {"declared_replicas", service.declaredReplicas_},
            {"serving_replicas", service.servingReplicas_},
            {"in_flight", service.inFlight_}};
}

AdminService readService(const json::object &object)
{
    return {idAt<ServiceName>(object, "name"), countAt(object, "declared_replicas"),
            countAt(object, "serving_replicas"), countAt(object, "in_flight")};
}

AdminStatus readStatus(const json::object &object)
{
    AdminStatus status;
    status.entry_ = idAt<EntryId>(object, "entry");
    status.zone_ = idAt<AvailabilityZone>(object, "zone");
    status.region_ = idAt<RegionName>(object, "region");
    status.incarnation_ = Incarnation(numberAt(object, "incarnation"));
    status.state_ = textAt(object, "state");
    status.configVersion_ = ConfigVersion(numberAt(object, "config_version"));
    status.isStoreReachable_ = flagAt(object, "store_reachable");
    status.uptime_ = millisecondsAt(object, "uptime_ms");
    status.members_ = listAt(object, "members", readMember);
    status.services_ = listAt(object, "services", readService);
    if (object.contains("warning")) // Daemons before it do not tell it.
        status.warning_ = textAt(object, "warning");
    return status;
}

} // namespace

std::string encode(const AdminStatus &status)
{
    return json::serialize(
        json::object{{"entry", status.entry_.text()},
                     {"zone", status.zone_.text()},
                     {"region", status.region_.text()},
                     {"incarnation", status.incarnation_.value()},
                     {"state", status.state_},
                     {"config_version", status.configVersion_.value()},
                     {"store_reachable", status.isStoreReachable_},
                     {"uptime_ms", toMilliseconds(status.uptime_)},
                     {"members", listOf(std::span(status.members_), writeMember)},
                     {"services", listOf(std::span(status.services_), writeService)},
                     {"warning", status.warning_}});
}

Result<AdminStatus> decodeStatus(std::string_view text)
{
    return decode(text, "/admin/status", readStatus);
}

} // namespace cardamombay::admin
