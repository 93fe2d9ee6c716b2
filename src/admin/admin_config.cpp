#include <cardamombay/admin/admin_config.hpp>

#include "admin/json_fields.hpp"

namespace cardamombay::admin {

using namespace impl;

namespace {

AdminConfig readConfig(const json::object &object)
{
    AdminConfig config;
    config.version_ = ConfigVersion(numberAt(object, "version"));
    config.hash_ = textAt(object, "hash");
    config.state_ = textAt(object, "state");
    config.refusedVersion_ = ConfigVersion(numberAt(object, "refused_version"));
    config.refusal_ = textAt(object, "refusal");
    return config;
}

} // namespace

std::string encode(const AdminConfig &config)
{
    return json::serialize(json::object{{"version", config.version_.value()},
                                        {"hash", config.hash_},
                                        {"state", config.state_},
                                        {"refused_version", config.refusedVersion_.value()},
                                        {"refusal", config.refusal_}});
}

Result<AdminConfig> decodeConfig(std::string_view text)
{
    return decode(text, "/admin/config", readConfig);
}

} // namespace cardamombay::admin
