#include <cardamombay/admin/admin_vm.hpp>

#include "admin/json_fields.hpp"

namespace cardamombay::admin {

using namespace impl;

namespace {

json::object writeVm(const AdminVm &vm)
{
    return {{"id", vm.id_.text()},
            {"zone", vm.zone_.text()},
            {"domain", vm.domain_.text()},
            {"service", vm.service_.text()},
            {"group", vm.group_.text()},
            {"phase", vm.phase_},
            {"age_ms", toMilliseconds(vm.age_)},
            {"leaving", vm.isLeaving_},
            {"straggler", vm.isStraggler_}};
}

AdminVm readVm(const json::object &object)
{
    AdminVm vm;
    vm.id_ = idAt<VmId>(object, "id");
    vm.zone_ = idAt<AvailabilityZone>(object, "zone");
    vm.domain_ = idAt<FabricDomain>(object, "domain");
    vm.service_ = idAt<ServiceName>(object, "service");
    vm.group_ = idAt<GroupId>(object, "group");
    vm.phase_ = textAt(object, "phase");
    vm.age_ = millisecondsAt(object, "age_ms");
    vm.isLeaving_ = flagAt(object, "leaving");
    vm.isStraggler_ = flagAt(object, "straggler");
    return vm;
}

std::vector<AdminVm> readVms(const json::object &object)
{
    return listAt(object, "vms", readVm);
}

} // namespace

std::string encode(std::span<const AdminVm> vms)
{
    return json::serialize(json::object{{"vms", listOf(vms, writeVm)}});
}

Result<std::vector<AdminVm>> decodeVms(std::string_view text)
{
    return decode(text, "/admin/vms", readVms);
}

} // namespace cardamombay::admin
