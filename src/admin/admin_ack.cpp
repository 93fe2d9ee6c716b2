#include <cardamombay/admin/admin_ack.hpp>

#include "admin/json_fields.hpp"

namespace cardamombay::admin {

using namespace impl;

namespace {

AdminAck readAck(const json::object &object)
{
    return {textAt(object, "done")};
}

} // namespace

std::string encode(const AdminAck &ack)
{
    return json::serialize(json::object{{"done", ack.done_}});
}

Result<AdminAck> decodeAck(std::string_view text)
{
    return decode(text, "/admin", readAck);
}

} // namespace cardamombay::admin
