#include <cardamombay/serving/request_fingerprint.hpp>

#include <cardamombay/core/hash.hpp>

#include <charconv>
#include <cstdio>

namespace cardamombay::serving {

namespace {

constexpr std::size_t textLength = 16;

} // namespace

std::string RequestFingerprint::text() const
{
    char digits[textLength + 1];
    std::snprintf(digits, sizeof digits, "%016llx", static_cast<unsigned long long>(value_));
    return digits;
}

std::optional<RequestFingerprint> RequestFingerprint::parse(std::string_view text)
{
    std::uint64_t value = 0;
    const auto *end = text.data() + text.size();
    const auto read = std::from_chars(text.data(), end, value, 16);
    if (text.size() != textLength || read.ec != std::errc() || read.ptr != end)
        return std::nullopt;
    return RequestFingerprint(value);
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

} // namespace cardamombay::serving
