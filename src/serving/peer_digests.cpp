#include <cardamombay/serving/peer_digests.hpp>

#include <cardamombay/config/address_text.hpp>

#include <boost/json.hpp>

namespace cardamombay::serving {

namespace json = boost::json;

namespace {

constexpr std::string_view loadMethod = "load";
constexpr std::string_view relayMethod = "endpoints";

/// Text of the rows in one datagram, bytes; with the rest it stays below a usual packet of 1,500.
constexpr std::size_t mostRowBytes = 1000;

std::string textOf(const json::string &text)
{
    return {text.data(), text.size()};
}

template<typename Value, typename Target>
void readNumbers(const json::value *value, Target &target)
{
    const auto *object = value == nullptr ? nullptr : value->if_object();
    if (object == nullptr)
        return;
    for (const auto &member : *object) {
        if (member.value().is_number()) {
            const std::string name(member.key().data(), member.key().size());
            target.emplace(name, member.value().to_number<Value>());
        }
    }
}

json::object countsOf(const std::unordered_map<VmId, std::size_t> &counts)
{
    json::object result;
    for (const auto &[endpoint, count] : counts)
        result[endpoint.text()] = count;
    return result;
}

json::array namesOf(const std::vector<VmId> &endpoints)
{
    json::array result;
    for (const auto &endpoint : endpoints)
        result.emplace_back(endpoint.text());
    return result;
}

std::vector<VmId> endpointsIn(const json::value *value)
{
    std::vector<VmId> result;
    if (value == nullptr || !value->is_array())
        return result;
    for (const auto &one : value->get_array()) {
        if (one.is_string())
            result.emplace_back(textOf(one.get_string()));
    }
    return result;
}

std::string notification(std::string_view method, json::object params)
{
    return json::serialize(
        json::object{{"jsonrpc", "2.0"}, {"method", method}, {"params", std::move(params)}});
}

/// The parameters if \p text is a notification of \p method.
std::optional<json::object> paramsOf(std::string_view text, std::string_view method)
{
    boost::system::error_code error;
    auto value = json::parse(text, error);
    if (error || !value.is_object())
        return std::nullopt;
    const auto *name = value.get_object().if_contains("method");
    auto *body = value.get_object().if_contains("params");
    const bool isMethod = name != nullptr && name->is_string() && name->get_string() == method;
    if (!isMethod || body == nullptr || !body->is_object())
        return std::nullopt;
    return std::move(body->get_object());
}

std::string textIn(const json::object &object, std::string_view name)
{
    const auto *value = object.if_contains(name);
    return value != nullptr && value->is_string() ? textOf(value->get_string()) : std::string();
}

std::uint64_t numberIn(const json::object &object, std::string_view name)
{
    const auto *value = object.if_contains(name);
    const double number = value != nullptr && value->is_number() ? value->to_number<double>() : 0;
    return number < 0 ? 0 : static_cast<std::uint64_t>(number);
}

bool flagIn(const json::object &object, std::string_view name)
{
    const auto *value = object.if_contains(name);
    return value != nullptr && value->is_bool() && value->get_bool();
}

json::object relayObject(const RelayState &relay)
{
    return {{"config", relay.config_.value()},
            {"config_age", toMilliseconds(relay.configAge_)},
            {"endpoints", relay.endpoints_.value()},
            {"endpoints_age", toMilliseconds(relay.endpointsAge_)}};
}

std::optional<RelayState> relayIn(const json::object &params)
{
    const auto *value = params.if_contains("relay");
    const auto *object = value == nullptr ? nullptr : value->if_object();
    if (object == nullptr)
        return std::nullopt;
    RelayState relay;
    relay.config_ = ConfigVersion(numberIn(*object, "config"));
    relay.configAge_ = std::chrono::milliseconds(numberIn(*object, "config_age"));
    relay.endpoints_ = RowVersion(numberIn(*object, "endpoints"));
    relay.endpointsAge_ = std::chrono::milliseconds(numberIn(*object, "endpoints_age"));
    return relay;
}

platform::RowChange changeIn(const json::object &object)
{
    platform::RowChange change;
    change.row_.key_ = {textIn(object, "table"), textIn(object, "key")};
    change.row_.version_ = RowVersion(numberIn(object, "version"));
    change.row_.value_ = textIn(object, "value");
    change.isRemoved_ = flagIn(object, "removed");
    return change;
}

} // namespace

std::string encode(const LoadDigest &digest)
{
    json::object demand;
    for (const auto &[model, rate] : digest.demand_)
        demand[model.text()] = rate;
    json::object params{{"from", digest.from_.text()},
                        {"address", digest.address_.text()},
                        {"under_way", countsOf(digest.underWay_)},
                        {"sent", countsOf(digest.sent_)},
                        {"silent", namesOf(digest.silent_)},
                        {"demand", std::move(demand)},
                        {"draining", digest.isDraining_}};
    if (digest.relay_)
        params["relay"] = relayObject(*digest.relay_);
    return notification(loadMethod, std::move(params));
}

std::optional<LoadDigest> decodeLoadDigest(std::string_view text)
{
    const auto params = paramsOf(text, loadMethod);
    if (!params || textIn(*params, "from").empty())
        return std::nullopt;
    LoadDigest digest;
    digest.from_ = EntryId(textIn(*params, "from"));
    digest.address_ = config::addressOf(textIn(*params, "address")).value_or(Address());
    digest.relay_ = relayIn(*params);
    readNumbers<std::size_t>(params->if_contains("under_way"), digest.underWay_);
    readNumbers<std::size_t>(params->if_contains("sent"), digest.sent_);
    readNumbers<double>(params->if_contains("demand"), digest.demand_);
    digest.silent_ = endpointsIn(params->if_contains("silent"));
    digest.isDraining_ = flagIn(*params, "draining");
    return digest;
}

std::string encode(const EndpointRelay &relay)
{
    json::array rows;
    for (const auto &change : relay.changes_) {
        const auto &row = change.row_;
        json::object one{
            {"table", row.key_.table_}, {"key", row.key_.key_}, {"version", row.version_.value()}};
        if (change.isRemoved_)
            one["removed"] = true;
        else
            one["value"] = row.value_;
        rows.push_back(std::move(one));
    }
    return notification(relayMethod, json::object{{"after", relay.after_.value()},
                                                  {"to", relay.to_.value()},
                                                  {"rows", std::move(rows)}});
}

std::optional<EndpointRelay> decodeEndpointRelay(std::string_view text)
{
    const auto params = paramsOf(text, relayMethod);
    if (!params)
        return std::nullopt;
    EndpointRelay relay;
    relay.after_ = RowVersion(numberIn(*params, "after"));
    relay.to_ = RowVersion(numberIn(*params, "to"));
    const auto *rows = params->if_contains("rows");
    if (rows == nullptr || !rows->is_array())
        return std::nullopt;
    for (const auto &row : rows->get_array()) {
        if (row.is_object())
            relay.changes_.push_back(changeIn(row.get_object()));
    }
    return relay;
}

std::vector<EndpointRelay> splitRelay(EndpointRelay relay)
{
    std::vector<EndpointRelay> result;
    EndpointRelay part;
    part.after_ = relay.after_;
    std::size_t bytes = 0;
    for (auto &change : relay.changes_) {
        const auto size = change.row_.value_.size();
        // Rows of one version stay together: a reader that has the version has them all.
        const bool isNewVersion
            = part.changes_.empty() || part.changes_.back().row_.version_ != change.row_.version_;
        if (!part.changes_.empty() && isNewVersion && bytes + size > mostRowBytes) {
            part.to_ = part.changes_.back().row_.version_;
            const auto end = part.to_;
            result.push_back(std::exchange(part, {}));
            part.after_ = end;
            bytes = 0;
        }
        bytes += size;
        part.changes_.push_back(std::move(change));
    }
    part.to_ = relay.to_;
    result.push_back(std::move(part));
    return result;
}

} // namespace cardamombay::serving
