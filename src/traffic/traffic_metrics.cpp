#include <cardamombay/traffic/traffic_metrics.hpp>

#include <vector>

namespace cardamombay::traffic {

namespace {

const std::vector<double> &requestBuckets()
{
    static const std::vector<double> buckets{0.001, 0.005, 0.02, 0.1, 0.5, 1,
                                             2,     5,     10,   30,  60,  120};
    return buckets;
}

const std::vector<double> &firstTokenBuckets()
{
    static const std::vector<double> buckets{0.001, 0.005, 0.02, 0.05, 0.1, 0.25, 0.5, 1, 2, 5, 10};
    return buckets;
}

double secondsOf(Duration duration)
{
    return std::chrono::duration<double>(duration).count();
}

} // namespace

TrafficMetrics::TrafficMetrics(metrics::Registry &registry)
    : registry_(registry)
    , tokens_(registry.counter("cardamombay_tokens_relayed_total",
                               "Stream events passed on to callers."))
    , resumed_(registry.counter("cardamombay_streams_resumed_total",
                                "Streams that went on at another group."))
    , inFlight_(registry.gauge("cardamombay_requests_in_flight", "Requests not yet answered."))
{
}

void TrafficMetrics::requestFinished(const ServiceName &service, std::uint32_t status,
                                     outcomes::Outcome outcome, Duration took)
{
    registry_
        .counter("cardamombay_requests_total", "Requests answered.",
                 {{"service", service.text()},
                  {"status", std::to_string(status)},
                  {"outcome", std::string(outcomes::nameOf(outcome))}})
        .increment();
    registry_
        .histogram("cardamombay_request_seconds", "From the request's arrival to its last byte.",
                   requestBuckets(), {{"service", service.text()}})
        .observe(secondsOf(took));
}

void TrafficMetrics::requestRefused(std::string_view reason)
{
    registry_
        .counter("cardamombay_requests_refused_total", "Requests refused before any hand-over.",
                 {{"reason", std::string(reason)}})
        .increment();
}

void TrafficMetrics::attemptEnded(const ServiceName &service, outcomes::Cause cause)
{
    registry_
        .counter("cardamombay_attempts_total", "Attempts by what settled them.",
                 {{"service", service.text()}, {"cause", std::string(outcomes::nameOf(cause))}})
        .increment();
}

void TrafficMetrics::answersDropped(const outcomes::DroppedAnswers &answers)
{
    dropped("late", answers.late_);
    dropped("crossed", answers.crossed_);
    dropped("missing-id", answers.missingId_);
    dropped("duplicate", answers.duplicate_);
    dropped("truncated", answers.truncated_);
}

void TrafficMetrics::dropped(std::string_view kind, std::uint32_t count)
{
    if (count == 0)
        return;
    registry_
        .counter("cardamombay_answers_dropped_total",
                 "Answers or parts of them that were not passed on.", {{"kind", std::string(kind)}})
        .increment(count);
}

void TrafficMetrics::firstToken(const ServiceName &service, Duration took)
{
    registry_
        .histogram("cardamombay_first_token_seconds", "From the hand-over to the first token.",
                   firstTokenBuckets(), {{"service", service.text()}})
        .observe(secondsOf(took));
}

} // namespace cardamombay::traffic
