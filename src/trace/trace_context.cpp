#include <cardamombay/trace/trace_context.hpp>

#include <charconv>
#include <cstdio>

namespace cardamombay::trace {

namespace {

constexpr std::size_t traceparentLength = 55; // 2-32-16-2 digits and three dashes.

std::optional<std::uint64_t> hexOf(std::string_view digits)
{
    for (const char c : digits) {
        const bool isLowerHex = (c >= '0' && c <= '9') || (c >= 'a' && c <= 'f');
        if (!isLowerHex)
            return std::nullopt;
    }
    std::uint64_t value = 0;
    std::from_chars(digits.data(), digits.data() + digits.size(), value, 16);
    return value;
}

std::string digitsOf(std::uint64_t value)
{
    char digits[17];
    std::snprintf(digits, sizeof digits, "%016llx", static_cast<unsigned long long>(value));
    return digits;
}

} // namespace

std::optional<TraceContext> parseTraceparent(std::string_view text)
{
    if (text.size() < traceparentLength)
        return std::nullopt;
    if (text[2] != '-' || text[35] != '-' || text[52] != '-')
        return std::nullopt;
    const auto version = hexOf(text.substr(0, 2));
    const auto high = hexOf(text.substr(3, 16));
    const auto low = hexOf(text.substr(19, 16));
    const auto span = hexOf(text.substr(36, 16));
    const auto flags = hexOf(text.substr(53, 2));
    if (!version || !high || !low || !span || !flags)
        return std::nullopt;
    const bool isVersionZero = *version == 0;
    if (*version == 0xff || (isVersionZero && text.size() != traceparentLength))
        return std::nullopt;
    if ((*high == 0 && *low == 0) || *span == 0)
        return std::nullopt;
    return TraceContext{*high, *low, *span, (*flags & 1) != 0};
}

std::string traceparentOf(const TraceContext &context)
{
    const std::string_view flags = context.isSampled_ ? "-01" : "-00";
    std::string text = "00-" + traceIdOf(context) + "-" + spanIdOf(context.span_);
    text += flags;
    return text;
}

std::string traceIdOf(const TraceContext &context)
{
    return digitsOf(context.traceHigh_) + digitsOf(context.traceLow_);
}

std::string spanIdOf(std::uint64_t span)
{
    return digitsOf(span);
}

} // namespace cardamombay::trace
