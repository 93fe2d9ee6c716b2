#include <cardamombay/serving/request_fingerprint.hpp>

#include <cardamombay/core/hash.hpp>

#include <charconv>
#include <cstdio>

namespace cardamombay::serving {

namespace {

constexpr std::size_t textLength = 16;
constexpr std::string_view partPrefix = "part-";

std::optional<std::uint64_t> hexIn(std::string_view text)
{
    std::uint64_t value = 0;
    const auto *end = text.data() + text.size();
    const auto read = std::from_chars(text.data(), end, value, 16);
    if (text.empty() || read.ec != std::errc() || read.ptr != end)
        return std::nullopt;
    return value;
}

} // namespace

std::string RequestFingerprint::text() const
{
    char digits[textLength + 1];
    std::snprintf(digits, sizeof digits, isPromptPart() ? "%llx" : "%016llx",
                  static_cast<unsigned long long>(value_));
    return isPromptPart() ? std::string(partPrefix) + digits : digits;
}

std::optional<RequestFingerprint> RequestFingerprint::parse(std::string_view text)
{
    const bool isPart = text.starts_with(partPrefix);
    if (isPart)
        text.remove_prefix(partPrefix.size());
    const auto value = hexIn(text);
    if (!value || (!isPart && text.size() != textLength))
        return std::nullopt;
    return RequestFingerprint(*value,
                              isPart ? FingerprintKind::PromptPart : FingerprintKind::Content);
}

/// Each part seeds the hash of the next, so moving bytes between adjacent parts changes the result.
RequestFingerprint fingerprintOf(const RequestContent &content)
{
    std::uint64_t hash = 0;
    for (const auto part : {content.method_, content.host_, content.target_,
                            std::string_view(content.team_.text()), content.body_})
        hash = stableHash(part, hash);
    return RequestFingerprint(hash);
}

std::string textOf(std::span<const RequestFingerprint> fingerprints)
{
    std::string result;
    for (const auto &one : fingerprints)
        result += (result.empty() ? "" : ",") + one.text();
    return result;
}

} // namespace cardamombay::serving
