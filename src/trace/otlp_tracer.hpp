/// \file
/// \brief OpenTracing tracer that writes OTLP-JSON lines and carries W3C Trace Context.
#pragma once

#include <cardamombay/trace/span_sink.hpp>
#include <cardamombay/trace/trace_context.hpp>

#include <opentracing/propagation.h>
#include <opentracing/tracer.h>

#include <memory>
#include <string>

namespace cardamombay::trace::impl {

/// \brief Span context of the tracer; baggage is not carried.
class OtlpSpanContext final : public opentracing::SpanContext
{
public:
    explicit OtlpSpanContext(const TraceContext &context)
        : context_(context)
    {
    }

    [[nodiscard]] const TraceContext &value() const { return context_; }
    void ForeachBaggageItem(
        std::function<bool(const std::string &, const std::string &)> visit) const override;
    [[nodiscard]] std::unique_ptr<opentracing::SpanContext> Clone() const noexcept override;
    [[nodiscard]] std::string ToTraceID() const noexcept override;
    [[nodiscard]] std::string ToSpanID() const noexcept override;

private:
    TraceContext context_;
};

/// \brief The tracer; spans hold it through a shared pointer.
class OtlpTracer final : public opentracing::Tracer, public std::enable_shared_from_this<OtlpTracer>
{
public:
    OtlpTracer(std::string service, std::shared_ptr<SpanSink> sink, double sampledShare);

    [[nodiscard]] std::unique_ptr<opentracing::Span>
    StartSpanWithOptions(opentracing::string_view name,
                         const opentracing::StartSpanOptions &options) const noexcept override;

    /// \name Propagation; only HTTP headers are carried
    /// \{
    opentracing::expected<void> Inject(const opentracing::SpanContext &context,
                                       std::ostream &writer) const override;
    opentracing::expected<void> Inject(const opentracing::SpanContext &context,
                                       const opentracing::TextMapWriter &writer) const override;
    opentracing::expected<void> Inject(const opentracing::SpanContext &context,
                                       const opentracing::HTTPHeadersWriter &writer) const override;
    opentracing::expected<std::unique_ptr<opentracing::SpanContext>>
    Extract(std::istream &reader) const override;
    opentracing::expected<std::unique_ptr<opentracing::SpanContext>>
    Extract(const opentracing::TextMapReader &reader) const override;
    opentracing::expected<std::unique_ptr<opentracing::SpanContext>>
    Extract(const opentracing::HTTPHeadersReader &reader) const override;
    /// \}

    [[nodiscard]] const std::string &service() const { return service_; }
    [[nodiscard]] SpanSink *sink() const { return sink_.get(); }

private:
    [[nodiscard]] TraceContext contextBelow(const opentracing::StartSpanOptions &options) const;

    std::string service_;
    std::shared_ptr<SpanSink> sink_;
    double sampledShare_;
};

} // namespace cardamombay::trace::impl
