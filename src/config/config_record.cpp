#include <cardamombay/config/config_record.hpp>

#include <boost/json.hpp>
#include <openssl/sha.h>

#include <array>
#include <stdexcept>

namespace cardamombay::config {

namespace json = boost::json;

namespace {

std::string textAt(const json::object &object, std::string_view key)
{
    const json::value *value = object.if_contains(key);
    return value ? json::value_to<std::string>(*value) : std::string();
}

ConfigVersion versionAt(const json::object &object, std::string_view key)
{
    const json::value *value = object.if_contains(key);
    return ConfigVersion(value ? json::value_to<std::uint64_t>(*value) : 0);
}

ConfigRecord readRecord(const json::object &object)
{
    ConfigRecord record;
    record.version_ = versionAt(object, "version");
    record.hash_ = textAt(object, "hash");
    record.revertTo_ = versionAt(object, "revert_to");
    record.note_ = {textAt(object, "author"), textAt(object, "time"), textAt(object, "note")};
    record.content_ = textAt(object, "content");
    if (record.version_.isNone() || record.hash_.empty())
        throw std::invalid_argument("version or hash is missing");
    if (!record.content_.empty() && contentHash(record.content_) != record.hash_)
        throw std::invalid_argument("the content does not match its hash");
    return record;
}

} // namespace

std::string contentHash(std::string_view content)
{
    std::array<unsigned char, SHA256_DIGEST_LENGTH> digest{};
    SHA256(reinterpret_cast<const unsigned char *>(content.data()), content.size(), digest.data());
    constexpr std::string_view digits = "0123456789abcdef";
    std::string text;
    text.reserve(digest.size() * 2);
    for (const unsigned char byte : digest) {
        text += digits[byte >> 4U];
        text += digits[byte & 15U];
    }
    return text;
}

std::string encode(const ConfigRecord &record)
{
    json::object object{{"version", record.version_.value()},
                        {"hash", record.hash_},
                        {"author", record.note_.author_},
                        {"time", record.note_.time_},
                        {"note", record.note_.text_}};
    if (!record.revertTo_.isNone())
        object["revert_to"] = record.revertTo_.value();
    if (record.content_.empty())
        object["object"] = record.objectName();
    else
        object["content"] = record.content_;
    return json::serialize(object);
}

Result<ConfigRecord> decodeRecord(std::string_view text)
{
    try {
        return readRecord(json::parse(text).as_object());
    } catch (const std::exception &error) {
        return Error(MalformedMessage{"configuration record", error.what()});
    }
}

} // namespace cardamombay::config
