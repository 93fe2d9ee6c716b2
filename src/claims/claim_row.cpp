#include <cardamombay/claims/claim_row.hpp>

#include <cardamombay/core/hash.hpp>

#include <boost/json.hpp>

#include <cstdio>

namespace cardamombay::claims {

namespace json = boost::json;

namespace {

std::string toHex(std::uint64_t number)
{
    char text[17];
    std::snprintf(text, sizeof text, "%016llx", static_cast<unsigned long long>(number));
    return text;
}

std::string stringAt(const json::object &object, std::string_view name)
{
    return json::value_to<std::string>(object.at(name));
}

std::string optionalStringAt(const json::object &object, std::string_view name)
{
    return object.contains(name) ? stringAt(object, name) : std::string();
}

StoredOutcome readOutcome(const json::object &object)
{
    StoredOutcome stored;
    if (stringAt(object, "outcome") == outcomes::nameOf(outcomes::Outcome::Ran))
        stored.outcome_ = outcomes::Outcome::Ran;
    stored.hasAnswer_ = object.contains("status");
    if (stored.hasAnswer_) {
        stored.status_ = json::value_to<std::uint32_t>(object.at("status"));
        stored.contentType_ = stringAt(object, "content_type");
        stored.body_ = optionalStringAt(object, "body");
    }
    return stored;
}

} // namespace

platform::RowKey rowKeyOf(const TeamName &team, const IdempotencyKey &key)
{
    constexpr std::uint64_t secondSeed = 1;
    const auto hash = toHex(stableHash(key.text())) + toHex(stableHash(key.text(), secondSeed));
    return {std::string(claimTable), team.text() + "/" + hash};
}

std::string encode(const ClaimRow &row)
{
    json::object object;
    object["state"] = row.isFinished_ ? "finished" : "claimed";
    object["key"] = row.key_.text();
    object["request"] = row.requestHash_;
    object["entry"] = row.owner_.entry_.text();
    object["incarnation"] = row.owner_.incarnation_.value();
    object["claim"] = row.owner_.claim_.value();
    if (row.isFinished_)
        object["outcome"] = std::string(outcomes::nameOf(row.stored_.outcome_));
    if (row.isFinished_ && row.stored_.hasAnswer_) {
        object["status"] = row.stored_.status_;
        object["content_type"] = row.stored_.contentType_;
        if (row.objectName_.empty())
            object["body"] = row.stored_.body_;
        else
            object["object"] = row.objectName_;
    }
    return json::serialize(object);
}

Result<ClaimRow> decodeClaimRow(std::string_view text)
{
    try {
        const auto value = json::parse(json::string_view(text.data(), text.size()));
        const auto &object = value.as_object();
        ClaimRow row;
        row.key_ = IdempotencyKey(stringAt(object, "key"));
        row.requestHash_ = stringAt(object, "request");
        row.owner_.entry_ = EntryId(stringAt(object, "entry"));
        row.owner_.incarnation_
            = Incarnation(json::value_to<std::uint64_t>(object.at("incarnation")));
        row.owner_.claim_ = ClaimNumber(json::value_to<std::uint64_t>(object.at("claim")));
        row.isFinished_ = stringAt(object, "state") == "finished";
        if (row.isFinished_) {
            row.stored_ = readOutcome(object);
            row.objectName_ = optionalStringAt(object, "object");
        }
        return row;
    } catch (const std::exception &error) {
        return Error(MalformedMessage{"claim row", error.what()});
    }
}

} // namespace cardamombay::claims
