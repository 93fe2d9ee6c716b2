/// \file
/// \brief Identity of a span as W3C Trace Context carries it.
/// \details Values only; a header field that does not follow the specification gives none.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace cardamombay::trace {

/// \brief Trace and span identifiers with the sampling mark.
struct TraceContext
{
    std::uint64_t traceHigh_ = 0;
    std::uint64_t traceLow_ = 0;
    std::uint64_t span_ = 0;
    bool isSampled_ = false;

    friend bool operator==(const TraceContext &, const TraceContext &) = default;
};

/// \brief Reads a traceparent header field.
/// \returns nothing if it is malformed or one of its identifiers is zero.
[[nodiscard]] std::optional<TraceContext> parseTraceparent(std::string_view text);

/// \brief The traceparent header field of \p context.
[[nodiscard]] std::string traceparentOf(const TraceContext &context);

/// \brief Trace identifier, 32 hexadecimal digits.
[[nodiscard]] std::string traceIdOf(const TraceContext &context);

/// \brief Span identifier, 16 hexadecimal digits.
[[nodiscard]] std::string spanIdOf(std::uint64_t span);

} // namespace cardamombay::trace
