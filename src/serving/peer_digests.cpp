#include <cardamombay/serving/peer_digests.hpp>

#include <boost/json.hpp>

namespace cardamombay::serving {

namespace json = boost::json;

namespace {

constexpr std::string_view method = "load";

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

} // namespace

std::string encode(const LoadDigest &digest)
{
    json::object demand;
    for (const auto &[model, rate] : digest.demand_)
        demand[model.text()] = rate;
    json::object params{
        {"from", digest.from_.text()},        {"under_way", countsOf(digest.underWay_)},
        {"unread", countsOf(digest.unread_)}, {"silent", namesOf(digest.silent_)},
        {"demand", std::move(demand)},        {"draining", digest.isDraining_}};
    return json::serialize(
        json::object{{"jsonrpc", "2.0"}, {"method", method}, {"params", std::move(params)}});
}

std::optional<LoadDigest> decodeLoadDigest(std::string_view text)
{
    boost::system::error_code error;
    const auto value = json::parse(text, error);
    if (error || !value.is_object())
        return std::nullopt;
    const auto *name = value.get_object().if_contains("method");
    const auto *body = value.get_object().if_contains("params");
    if (name == nullptr || !name->is_string() || name->get_string() != method || body == nullptr
        || !body->is_object())
        return std::nullopt;
    const auto &params = body->get_object();
    const auto *from = params.if_contains("from");
    if (from == nullptr || !from->is_string())
        return std::nullopt;
    LoadDigest digest;
    digest.from_ = EntryId(textOf(from->get_string()));
    readNumbers<std::size_t>(params.if_contains("under_way"), digest.underWay_);
    readNumbers<std::size_t>(params.if_contains("unread"), digest.unread_);
    readNumbers<double>(params.if_contains("demand"), digest.demand_);
    digest.silent_ = endpointsIn(params.if_contains("silent"));
    const auto *draining = params.if_contains("draining");
    digest.isDraining_ = draining != nullptr && draining->is_bool() && draining->get_bool();
    return digest;
}

} // namespace cardamombay::serving
