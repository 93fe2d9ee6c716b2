#include <cardamombay/groups/vm_row.hpp>

#include <boost/json.hpp>

namespace cardamombay::groups {

namespace json = boost::json;

platform::RowKey vmKey(const VmId &vm)
{
    return {vmTable, vm.text()};
}

std::string encode(const VmRow &row)
{
    return json::serialize(json::object{{"vm", row.vm_.text()},
                                        {"domain", row.domain_.text()},
                                        {"group", row.group_.text()},
                                        {"generation", row.generation_.value()},
                                        {"epoch", row.epoch_.value()}});
}

Result<VmRow> decodeVmRow(const std::string &text)
{
    try {
        const json::value value = json::parse(text);
        const json::object &object = value.as_object();
        VmRow row;
        row.vm_ = VmId(json::value_to<std::string>(object.at("vm")));
        row.domain_ = FabricDomain(json::value_to<std::string>(object.at("domain")));
        row.group_ = GroupId(json::value_to<std::string>(object.at("group")));
        row.generation_ = Generation(object.at("generation").to_number<std::uint64_t>());
        row.epoch_ = Epoch(object.at("epoch").to_number<std::uint64_t>());
        return row;
    } catch (const std::exception &failure) {
        return Error(MalformedMessage{"VM row", failure.what()});
    }
}

} // namespace cardamombay::groups
