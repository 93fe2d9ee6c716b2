#include <cardamombay/endpoint/endpoint_codec.hpp>

#include <boost/json.hpp>

#include <array>
#include <stdexcept>
#include <utility>

namespace cardamombay::endpoint {

namespace json = boost::json;

namespace {

constexpr std::array<std::pair<EnginePhase, std::string_view>, 5> phaseNames{{
    {EnginePhase::Idle, "idle"},
    {EnginePhase::Loading, "loading"},
    {EnginePhase::Ready, "ready"},
    {EnginePhase::Draining, "draining"},
    {EnginePhase::Failed, "failed"},
}};

constexpr std::array<std::pair<OrderKind, std::string_view>, 3> kindNames{{
    {OrderKind::Assign, "assign"},
    {OrderKind::Drain, "drain"},
    {OrderKind::Release, "release"},
}};

constexpr std::array<std::pair<GroupRole, std::string_view>, 3> roleNames{{
    {GroupRole::Mixed, "mixed"},
    {GroupRole::Prefill, "prefill"},
    {GroupRole::Decode, "decode"},
}};

template<typename Names, typename Value>
std::string_view lookUp(const Names &names, Value value)
{
    for (const auto &[known, name] : names) {
        if (known == value)
            return name;
    }
    return "unknown";
}

template<typename Names>
auto parseName(const Names &names, std::string_view text)
{
    for (const auto &[value, name] : names) {
        if (name == text)
            return value;
    }
    throw std::invalid_argument("unknown name '" + std::string(text) + "'");
}

/// Reads fields of one JSON object; a missing field or wrong type throws with the field's name.
class FieldReader
{
public:
    explicit FieldReader(const json::value &value)
        : object_(value.as_object())
    {
    }

    [[nodiscard]] const json::value &at(std::string_view key) const
    {
        const auto *value = object_.if_contains(key);
        if (!value)
            throw std::invalid_argument("field '" + std::string(key) + "' is missing");
        return *value;
    }

    [[nodiscard]] const json::value *find(std::string_view key) const
    {
        const auto *value = object_.if_contains(key);
        return value && !value->is_null() ? value : nullptr;
    }

    [[nodiscard]] std::string text(std::string_view key) const
    {
        const auto *string = at(key).if_string();
        if (!string)
            throw std::invalid_argument("field '" + std::string(key) + "' is not a string");
        return std::string(*string);
    }

    template<typename Number>
    [[nodiscard]] Number number(std::string_view key) const
    {
        json::error_code error;
        const auto value = at(key).to_number<Number>(error);
        if (error)
            throw std::invalid_argument("field '" + std::string(key) + "' is out of range");
        return value;
    }

    template<typename Item>
    [[nodiscard]] std::vector<Item> list(std::string_view key) const
    {
        std::vector<Item> items;
        const auto *value = find(key);
        if (!value)
            return items;
        for (const auto &item : value->as_array())
            items.emplace_back(std::string(item.as_string()));
        return items;
    }

private:
    const json::object &object_;
};

json::array encodeAdapters(const ModelSpec &model)
{
    return json::array(model.adapters_.begin(), model.adapters_.end());
}

ModelSpec decodeModel(const FieldReader &fields)
{
    ModelSpec model;
    model.name_ = ModelName{fields.text("model")};
    model.version_ = ModelVersion{fields.text("model_version")};
    model.adapters_ = fields.list<std::string>("adapters");
    return model;
}

Assignment decodeAssignment(const FieldReader &fields)
{
    Assignment assignment;
    assignment.group_ = GroupId{fields.text("group")};
    assignment.generation_ = Generation{fields.number<std::uint64_t>("generation")};
    assignment.rank_ = fields.number<std::uint32_t>("rank");
    return assignment;
}

json::object encodeAssignment(const Assignment &assignment)
{
    return {{"group", assignment.group_.text()},
            {"generation", assignment.generation_.value()},
            {"rank", assignment.rank_}};
}

json::object encodeLoad(const LoadReport &load)
{
    return {{"running", load.running_},
            {"queued", load.queued_},
            {"kv_cache_used", load.kvCacheUsed_},
            {"lag_ms", toMilliseconds(load.lag_)}};
}

LoadReport decodeLoad(const FieldReader &fields)
{
    LoadReport load;
    load.running_ = fields.number<std::uint32_t>("running");
    load.queued_ = fields.number<std::uint32_t>("queued");
    load.kvCacheUsed_ = fields.number<double>("kv_cache_used");
    load.lag_ = std::chrono::milliseconds(fields.number<std::uint32_t>("lag_ms"));
    if (!(load.kvCacheUsed_ >= 0 && load.kvCacheUsed_ <= 1))
        throw std::invalid_argument("field 'kv_cache_used' is not within 0 and 1");
    return load;
}

EndpointState readState(const FieldReader &fields)
{
    EndpointState state;
    state.vm_ = VmId{fields.text("vm")};
    state.incarnation_ = Incarnation{fields.number<std::uint64_t>("incarnation")};
    state.phase_ = parseName(phaseNames, fields.text("phase"));
    if (const auto *assignment = fields.find("assignment"))
        state.assignment_ = decodeAssignment(FieldReader(*assignment));
    state.model_ = decodeModel(fields);
    state.highestFencing_ = Epoch{fields.number<std::uint64_t>("highest_fencing")};
    state.load_ = decodeLoad(FieldReader(fields.at("load")));
    return state;
}

EndpointOrder readOrder(const FieldReader &fields)
{
    EndpointOrder order;
    order.id_ = OrderId{fields.text("order_id")};
    order.kind_ = parseName(kindNames, fields.text("kind"));
    order.vm_ = VmId{fields.text("vm")};
    order.fencing_ = Epoch{fields.number<std::uint64_t>("fencing")};
    order.assignment_ = decodeAssignment(fields);
    order.model_ = decodeModel(fields);
    order.role_ = parseName(roleNames, fields.text("role"));
    order.members_ = fields.list<VmId>("members");
    return order;
}

template<typename Value, typename Reader>
Result<Value> decode(std::string_view source, std::string_view body, Reader read)
{
    try {
        return read(FieldReader(json::parse(body)));
    } catch (const std::exception &e) {
        return Error(MalformedMessage{std::string(source), e.what()});
    }
}

} // namespace

std::string_view nameOf(EnginePhase phase)
{
    return lookUp(phaseNames, phase);
}

std::string_view nameOf(OrderKind kind)
{
    return lookUp(kindNames, kind);
}

std::string_view nameOf(GroupRole role)
{
    return lookUp(roleNames, role);
}

std::string encodeState(const EndpointState &state)
{
    json::object object{{"vm", state.vm_.text()},
                        {"incarnation", state.incarnation_.value()},
                        {"phase", nameOf(state.phase_)},
                        {"assignment", nullptr},
                        {"model", state.model_.name_.text()},
                        {"model_version", state.model_.version_.text()},
                        {"adapters", encodeAdapters(state.model_)},
                        {"highest_fencing", state.highestFencing_.value()},
                        {"load", encodeLoad(state.load_)}};
    if (state.assignment_)
        object["assignment"] = encodeAssignment(*state.assignment_);
    return json::serialize(object);
}

Result<EndpointState> decodeState(std::string_view source, std::string_view body)
{
    return decode<EndpointState>(source, body, readState);
}

std::string encodeOrder(const EndpointOrder &order)
{
    json::array members;
    for (const auto &member : order.members_)
        members.emplace_back(member.text());
    json::object object{{"order_id", order.id_.text()},
                        {"kind", nameOf(order.kind_)},
                        {"vm", order.vm_.text()},
                        {"fencing", order.fencing_.value()},
                        {"group", order.assignment_.group_.text()},
                        {"generation", order.assignment_.generation_.value()},
                        {"rank", order.assignment_.rank_},
                        {"model", order.model_.name_.text()},
                        {"model_version", order.model_.version_.text()},
                        {"adapters", encodeAdapters(order.model_)},
                        {"role", nameOf(order.role_)},
                        {"members", std::move(members)}};
    return json::serialize(object);
}

Result<EndpointOrder> decodeOrder(std::string_view source, std::string_view body)
{
    return decode<EndpointOrder>(source, body, readOrder);
}

std::string encodeRefusal(std::string_view reason)
{
    return json::serialize(json::object{{"reason", reason}});
}

std::string decodeRefusal(std::string_view body)
{
    json::error_code error;
    const auto value = json::parse(body, error);
    if (error || !value.is_object())
        return "";
    const auto *reason = value.as_object().if_contains("reason");
    return reason && reason->is_string() ? std::string(reason->as_string()) : "";
}

} // namespace cardamombay::endpoint
