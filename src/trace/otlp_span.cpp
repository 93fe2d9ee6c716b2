#include <trace/otlp_span.hpp>

namespace cardamombay::trace::impl {

namespace {

/// OTLP's JSON form of a value: integers travel as text.
struct AttributeValue
{
    boost::json::object operator()(bool value) const { return {{"boolValue", value}}; }
    boost::json::object operator()(double value) const { return {{"doubleValue", value}}; }
    boost::json::object operator()(std::int64_t value) const
    {
        return {{"intValue", std::to_string(value)}};
    }
    boost::json::object operator()(std::uint64_t value) const
    {
        return {{"intValue", std::to_string(value)}};
    }
    boost::json::object operator()(const std::string &value) const
    {
        return {{"stringValue", value}};
    }
    boost::json::object operator()(const char *value) const { return {{"stringValue", value}}; }
    template<typename Other>
    boost::json::object operator()(const Other &) const
    {
        return {{"stringValue", "unsupported"}};
    }
};

boost::json::object attributeOf(std::string_view key, boost::json::object value)
{
    return {{"key", key}, {"value", std::move(value)}};
}

std::string nanosecondsOf(opentracing::SystemTime time)
{
    const auto sinceEpoch = time.time_since_epoch();
    return std::to_string(std::chrono::duration_cast<std::chrono::nanoseconds>(sinceEpoch).count());
}

} // namespace

OtlpSpan::OtlpSpan(std::shared_ptr<const OtlpTracer> tracer, std::string name,
                   const TraceContext &context, std::uint64_t parent,
                   const opentracing::StartSpanOptions &options)
    : tracer_(std::move(tracer))
    , name_(std::move(name))
    , context_(context)
    , parent_(parent)
    , systemStart_(options.start_system_timestamp)
    , steadyStart_(options.start_steady_timestamp)
{
    if (systemStart_ == opentracing::SystemTime{})
        systemStart_ = opentracing::SystemClock::now();
    if (steadyStart_ == opentracing::SteadyTime{})
        steadyStart_ = opentracing::SteadyClock::now();
    for (const auto &[key, value] : options.tags)
        SetTag(key, value);
}

OtlpSpan::~OtlpSpan()
{
    Finish();
}

void OtlpSpan::FinishWithOptions(const opentracing::FinishSpanOptions &options) noexcept
{
    if (isFinished_)
        return;
    isFinished_ = true;
    if (!context_.value().isSampled_ || tracer_->sink() == nullptr)
        return;
    try {
        tracer_->sink()->write(line(options.finish_steady_timestamp));
    } catch (...) { // NOLINT(bugprone-empty-catch): a lost span must not stop a request.
    }
}

void OtlpSpan::SetOperationName(opentracing::string_view name) noexcept
{
    name_ = std::string(name);
}

void OtlpSpan::SetTag(opentracing::string_view key, const opentracing::Value &value) noexcept
{
    if (!context_.value().isSampled_)
        return;
    auto content = opentracing::Value::visit(value, AttributeValue{});
    attributes_.push_back(attributeOf({key.data(), key.size()}, std::move(content)));
}

void OtlpSpan::SetBaggageItem(opentracing::string_view, opentracing::string_view) noexcept {}

std::string OtlpSpan::BaggageItem(opentracing::string_view) const noexcept
{
    return {};
}

void OtlpSpan::Log(
    std::initializer_list<std::pair<opentracing::string_view, opentracing::Value>>) noexcept
{
}

void OtlpSpan::Log(
    opentracing::SystemTime,
    std::initializer_list<std::pair<opentracing::string_view, opentracing::Value>>) noexcept
{
}

void OtlpSpan::Log(
    opentracing::SystemTime,
    const std::vector<std::pair<opentracing::string_view, opentracing::Value>> &) noexcept
{
}

std::string OtlpSpan::line(opentracing::SteadyTime end) const
{
    const auto length
        = std::chrono::duration_cast<opentracing::SystemClock::duration>(end - steadyStart_);
    boost::json::object span{{"traceId", traceIdOf(context_.value())},
                             {"spanId", spanIdOf(context_.value().span_)},
                             {"name", name_},
                             {"startTimeUnixNano", nanosecondsOf(systemStart_)},
                             {"endTimeUnixNano", nanosecondsOf(systemStart_ + length)},
                             {"attributes", attributes_}};
    if (parent_ != 0)
        span["parentSpanId"] = spanIdOf(parent_);
    boost::json::array resourceAttributes;
    resourceAttributes.push_back(attributeOf("service.name", AttributeValue{}(tracer_->service())));
    boost::json::object scope{{"scope", {{"name", "cardamombay"}}}};
    scope["spans"] = boost::json::array{std::move(span)};
    boost::json::object resource;
    resource["resource"] = boost::json::object{{"attributes", std::move(resourceAttributes)}};
    resource["scopeSpans"] = boost::json::array{std::move(scope)};
    boost::json::object data;
    data["resourceSpans"] = boost::json::array{std::move(resource)};
    return boost::json::serialize(data);
}

} // namespace cardamombay::trace::impl
