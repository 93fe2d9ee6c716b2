#include <cardamombay/trace/tracer.hpp>

#include <trace/otlp_tracer.hpp>

namespace cardamombay::trace {

namespace {

constexpr auto traceparentKey = "traceparent";

/// Takes the field that the tracer writes.
class FieldWriter final : public opentracing::HTTPHeadersWriter
{
public:
    explicit FieldWriter(std::string &value)
        : value_(value)
    {
    }
    opentracing::expected<void> Set(opentracing::string_view,
                                    opentracing::string_view value) const override
    {
        value_ = std::string(value);
        return {};
    }

private:
    std::string &value_;
};

/// Shows the tracer the one field that it reads.
class FieldReader final : public opentracing::HTTPHeadersReader
{
public:
    explicit FieldReader(std::string_view value)
        : value_(value)
    {
    }
    opentracing::expected<void>
    ForeachKey(std::function<opentracing::expected<void>(opentracing::string_view,
                                                         opentracing::string_view)>
                   visit) const override
    {
        return visit(traceparentKey, {value_.data(), value_.size()});
    }

private:
    std::string_view value_;
};

opentracing::string_view viewOf(std::string_view text)
{
    return {text.data(), text.size()};
}

} // namespace

Span::Span() = default;
Span::Span(Span &&) noexcept = default;
Span &Span::operator=(Span &&) noexcept = default;
Span::~Span() = default;

Span::Span(std::unique_ptr<opentracing::Span> span)
    : span_(std::move(span))
{
}

Span Span::child(std::string_view name) const
{
    if (!span_)
        return {};
    const auto reference = opentracing::ChildOf(&span_->context());
    return Span(span_->tracer().StartSpan(viewOf(name), {reference}));
}

void Span::setTag(std::string_view key, std::string_view value)
{
    if (span_)
        span_->SetTag(viewOf(key), std::string(value));
}

void Span::setTag(std::string_view key, std::uint64_t value)
{
    if (span_)
        span_->SetTag(viewOf(key), value);
}

std::string Span::traceparent() const
{
    std::string value;
    if (span_)
        span_->tracer().Inject(span_->context(), FieldWriter(value));
    return value;
}

void Span::finish()
{
    span_.reset();
}

Tracer::Tracer(std::string_view service, std::shared_ptr<SpanSink> sink, double sampledShare)
    : tracer_(
        std::make_shared<impl::OtlpTracer>(std::string(service), std::move(sink), sampledShare))
{
}

Span Tracer::start(std::string_view name, std::string_view traceparent) const
{
    const auto extracted = tracer_->Extract(FieldReader(traceparent));
    const auto *parent = extracted ? extracted->get() : nullptr;
    const auto reference = opentracing::ChildOf(parent);
    return Span(tracer_->StartSpan(viewOf(name), {reference}));
}

} // namespace cardamombay::trace
