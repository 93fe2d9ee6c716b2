/// \file
/// \brief Where finished spans go.
#pragma once

#include <memory>
#include <string>
#include <string_view>

namespace cardamombay::trace {

/// \brief Receives finished spans as OTLP-JSON, one line each, from any thread.
class SpanSink
{
public:
    SpanSink() = default;
    SpanSink(const SpanSink &) = delete;
    SpanSink &operator=(const SpanSink &) = delete;
    virtual ~SpanSink() = default;

    /// \param line JSON text without a line end.
    virtual void write(std::string_view line) = 0;
};

/// \brief Appends spans to the file at \p path, or to standard error if it is "-".
/// \returns null if the file cannot be opened.
[[nodiscard]] std::shared_ptr<SpanSink> openSpanSink(const std::string &path);

} // namespace cardamombay::trace
