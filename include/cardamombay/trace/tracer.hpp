/// \file
/// \brief Traces: one span for each hop of a request.
/// \details A thin cover over an OpenTracing tracer that keeps its headers out of the library's.
/// Spans end up as OTLP-JSON lines; the sampling mark of a caller's traceparent is kept.
#pragma once

#include <cardamombay/trace/span_sink.hpp>

#include <cstdint>
#include <memory>
#include <string>
#include <string_view>

namespace opentracing {
inline namespace v3 {
class Span;
class Tracer;
} // namespace v3
} // namespace opentracing

namespace cardamombay::trace {

/// \brief One hop; ends when it is destroyed or finished. An empty span records nothing.
class Span
{
public:
    Span();
    Span(Span &&) noexcept;
    Span &operator=(Span &&) noexcept;
    ~Span();

    /// \brief Starts a span below this one.
    [[nodiscard]] Span child(std::string_view name) const;

    /// \name Tags
    /// \{
    void setTag(std::string_view key, std::string_view value);
    void setTag(std::string_view key, std::uint64_t value);
    /// \}

    /// \brief Value of a traceparent header field that names this span as the parent.
    [[nodiscard]] std::string traceparent() const;

    /// \brief Ends the span now.
    void finish();

private:
    friend class Tracer;
    explicit Span(std::unique_ptr<opentracing::Span> span);

    std::unique_ptr<opentracing::Span> span_;
};

/// \brief Starts spans; may be used from any thread.
/// \code
/// trace::Tracer tracer("entry-1", trace::openSpanSink("-"));
/// auto request = tracer.start("request", callersTraceparent);
/// auto attempt = request.child("attempt");
/// \endcode
class Tracer
{
public:
    /// \param service name that the spans carry as their resource, such as the entry VM's name.
    /// \param sink receives sampled spans; null records nothing but still passes contexts on.
    /// \param sampledShare share of traces without a caller's traceparent that are recorded.
    Tracer(std::string_view service, std::shared_ptr<SpanSink> sink, double sampledShare = 1.0);

    /// \brief Starts the first span of a request.
    /// \param name operation name.
    /// \param traceparent header field of the caller; a missing or malformed one starts a trace.
    [[nodiscard]] Span start(std::string_view name, std::string_view traceparent) const;

private:
    std::shared_ptr<opentracing::Tracer> tracer_;
};

} // namespace cardamombay::trace
