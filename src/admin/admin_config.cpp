#include <cardamombay/admin/admin_config.hpp>

#include "admin/json_fields.hpp"

#include <cardamombay/config/config_agent.hpp>

#include <sstream>

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

AdminConfig configOf(const config::ConfigAgent &agent)
{
    AdminConfig config;
    config.version_ = agent.version();
    config.hash_ = agent.hash();
    config.state_ = std::string(agent.state());
    if (const auto &refused = agent.refused()) {
        std::ostringstream text;
        text << refused->error_;
        config.refusedVersion_ = refused->version_;
        config.refusal_ = text.str();
    }
    return config;
}

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
