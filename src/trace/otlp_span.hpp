/// \file
/// \brief Span that writes itself as one OTLP-JSON line when it finishes.
#pragma once

#include <trace/otlp_tracer.hpp>

#include <boost/json.hpp>

#include <memory>
#include <string>

namespace cardamombay::trace::impl {

/// \brief A running hop.
class OtlpSpan final : public opentracing::Span
{
public:
    OtlpSpan(std::shared_ptr<const OtlpTracer> tracer, std::string name,
             const TraceContext &context, std::uint64_t parent,
             const opentracing::StartSpanOptions &options);
    ~OtlpSpan() override;
    OtlpSpan(const OtlpSpan &) = delete;
    OtlpSpan &operator=(const OtlpSpan &) = delete;

    void FinishWithOptions(const opentracing::FinishSpanOptions &options) noexcept override;
    void SetOperationName(opentracing::string_view name) noexcept override;
    void SetTag(opentracing::string_view key, const opentracing::Value &value) noexcept override;
    void SetBaggageItem(opentracing::string_view key,
                        opentracing::string_view value) noexcept override;
    [[nodiscard]] std::string BaggageItem(opentracing::string_view key) const noexcept override;
    void Log(std::initializer_list<std::pair<opentracing::string_view, opentracing::Value>>
                 fields) noexcept override;
    void Log(opentracing::SystemTime timestamp,
             std::initializer_list<std::pair<opentracing::string_view, opentracing::Value>>
                 fields) noexcept override;
    void Log(opentracing::SystemTime timestamp,
             const std::vector<std::pair<opentracing::string_view, opentracing::Value>>
                 &fields) noexcept override;
    [[nodiscard]] const opentracing::SpanContext &context() const noexcept override
    {
        return context_;
    }
    [[nodiscard]] const opentracing::Tracer &tracer() const noexcept override { return *tracer_; }

private:
    [[nodiscard]] std::string line(opentracing::SteadyTime end) const;

    std::shared_ptr<const OtlpTracer> tracer_;
    std::string name_;
    OtlpSpanContext context_;
    std::uint64_t parent_;
    opentracing::SystemTime systemStart_;
    opentracing::SteadyTime steadyStart_;
    boost::json::array attributes_;
    bool isFinished_ = false;
};

} // namespace cardamombay::trace::impl
