#include <trace/otlp_tracer.hpp>

#include <trace/otlp_span.hpp>

#include <random>

namespace cardamombay::trace::impl {

namespace {

constexpr auto traceparentKey = "traceparent";

/// Identifiers must not repeat between processes, so the seed is not one of the settings.
std::mt19937_64 &generator()
{
    thread_local std::mt19937_64 instance = [] {
        std::random_device device;
        std::seed_seq seed{device(), device(), device(), device()};
        return std::mt19937_64(seed);
    }();
    return instance;
}

std::uint64_t freshId()
{
    std::uint64_t id = 0;
    while (id == 0)
        id = generator()();
    return id;
}

template<typename T>
opentracing::expected<T> unsupported()
{
    return opentracing::make_unexpected(opentracing::invalid_carrier_error);
}

const OtlpSpanContext *parentOf(const opentracing::StartSpanOptions &options)
{
    for (const auto &[type, context] : options.references) {
        if (const auto *parent = dynamic_cast<const OtlpSpanContext *>(context))
            return parent;
    }
    return nullptr;
}

} // namespace

void OtlpSpanContext::ForeachBaggageItem(
    std::function<bool(const std::string &, const std::string &)>) const
{
}

std::unique_ptr<opentracing::SpanContext> OtlpSpanContext::Clone() const noexcept
{
    return std::make_unique<OtlpSpanContext>(context_);
}

std::string OtlpSpanContext::ToTraceID() const noexcept
{
    return traceIdOf(context_);
}

std::string OtlpSpanContext::ToSpanID() const noexcept
{
    return spanIdOf(context_.span_);
}

OtlpTracer::OtlpTracer(std::string service, std::shared_ptr<SpanSink> sink, double sampledShare)
    : service_(std::move(service))
    , sink_(std::move(sink))
    , sampledShare_(sampledShare)
{
}

TraceContext OtlpTracer::contextBelow(const opentracing::StartSpanOptions &options) const
{
    TraceContext context;
    if (const auto *parent = parentOf(options)) {
        context = parent->value();
    } else {
        context.traceHigh_ = freshId();
        context.traceLow_ = freshId();
        context.isSampled_ = std::generate_canonical<double, 53>(generator()) < sampledShare_;
    }
    context.span_ = freshId();
    return context;
}

std::unique_ptr<opentracing::Span>
OtlpTracer::StartSpanWithOptions(opentracing::string_view name,
                                 const opentracing::StartSpanOptions &options) const noexcept
{
    try {
        const auto *parent = parentOf(options);
        const auto parentSpan = parent == nullptr ? 0 : parent->value().span_;
        return std::make_unique<OtlpSpan>(shared_from_this(), std::string(name),
                                          contextBelow(options), parentSpan, options);
    } catch (...) {
        return nullptr;
    }
}

opentracing::expected<void> OtlpTracer::Inject(const opentracing::SpanContext &,
                                               std::ostream &) const
{
    return unsupported<void>();
}

opentracing::expected<void> OtlpTracer::Inject(const opentracing::SpanContext &,
                                               const opentracing::TextMapWriter &) const
{
    return unsupported<void>();
}

opentracing::expected<void> OtlpTracer::Inject(const opentracing::SpanContext &context,
                                               const opentracing::HTTPHeadersWriter &writer) const
{
    const auto *own = dynamic_cast<const OtlpSpanContext *>(&context);
    if (own == nullptr)
        return opentracing::make_unexpected(opentracing::invalid_span_context_error);
    return writer.Set(traceparentKey, traceparentOf(own->value()));
}

opentracing::expected<std::unique_ptr<opentracing::SpanContext>>
OtlpTracer::Extract(std::istream &) const
{
    return unsupported<std::unique_ptr<opentracing::SpanContext>>();
}

opentracing::expected<std::unique_ptr<opentracing::SpanContext>>
OtlpTracer::Extract(const opentracing::TextMapReader &) const
{
    return unsupported<std::unique_ptr<opentracing::SpanContext>>();
}

opentracing::expected<std::unique_ptr<opentracing::SpanContext>>
OtlpTracer::Extract(const opentracing::HTTPHeadersReader &reader) const
{
    std::unique_ptr<opentracing::SpanContext> found;
    const auto result
        = reader.ForeachKey([&found](opentracing::string_view key, opentracing::string_view value) {
              if (key == traceparentKey) {
                  if (const auto context = parseTraceparent({value.data(), value.size()}))
                      found = std::make_unique<OtlpSpanContext>(*context);
              }
              return opentracing::expected<void>();
          });
    if (!result)
        return opentracing::make_unexpected(result.error());
    return found;
}

} // namespace cardamombay::trace::impl
