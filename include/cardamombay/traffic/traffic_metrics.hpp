/// \file
/// \brief Metrics of the request path; listed in docs/operations/metrics.md.
#pragma once

#include <cardamombay/core/ids.hpp>
#include <cardamombay/core/time.hpp>
#include <cardamombay/metrics/registry.hpp>
#include <cardamombay/outcomes/attempt.hpp>

#include <cstdint>
#include <string>
#include <string_view>

namespace cardamombay::traffic {

/// \brief Counts what happens to requests; may be used from any thread.
class TrafficMetrics
{
public:
    explicit TrafficMetrics(metrics::Registry &registry);

    void requestFinished(const ServiceName &service, std::uint32_t status,
                         outcomes::Outcome outcome, Duration took);
    void requestRefused(std::string_view reason);
    void attemptEnded(const ServiceName &service, outcomes::Cause cause);
    void answersDropped(const outcomes::DroppedAnswers &answers);
    void firstToken(const ServiceName &service, Duration took);
    void tokensRelayed(std::uint32_t tokens) const { tokens_.increment(tokens); }
    void streamResumed() const { resumed_.increment(); }
    void inFlightChanged(int by) const { inFlight_.add(by); }

    /// \brief All metrics in Prometheus' text format.
    [[nodiscard]] std::string text() const { return registry_.text(); }

private:
    void dropped(std::string_view kind, std::uint32_t count);

    metrics::Registry &registry_;
    metrics::Counter tokens_;
    metrics::Counter resumed_;
    metrics::Gauge inFlight_;
};

} // namespace cardamombay::traffic
