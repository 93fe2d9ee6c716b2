/// \file
/// \brief Circuit breaker of one group: stops attempts at a group that keeps failing.
/// \details The state transitions are defined in charts/circuit.toml.
#pragma once

#include <cardamombay/chart/machine.hpp>
#include <cardamombay/core/time.hpp>

#include <cstdint>
#include <string_view>

namespace cardamombay::retries {

class CircuitBreaker;

/// \brief The bound state chart, shared by all circuit breakers.
using CircuitBreakerProgramPtr = chart::ProgramPtr<CircuitBreaker>;

/// \brief Binds the chart in charts/circuit.toml to its code; called once at startup.
[[nodiscard]] Result<CircuitBreakerProgramPtr> makeCircuitBreakerProgram(const chart::Chart &chart);

/// \brief Settings of a circuit breaker.
struct CircuitBreakerPolicy
{
    std::uint32_t failureThreshold_ = 3; ///< Consecutive failures that open the circuit.
    /// \brief Doubles with each failed trial; jitter shortens it by up to half.
    Duration openTime_ = std::chrono::seconds(1);
    Duration maximumOpenTime_ = std::chrono::seconds(8);
    Duration trialTimeout_ = std::chrono::seconds(2); ///< After it another trial may start.
};

/// \brief Circuit breaker driven by the outcomes of attempts and by time; not thread-safe.
/// \code
/// CircuitBreaker circuit(program);
/// if (circuit.allows(clock.now()))
///     circuit.started(clock.now()); // then succeeded(), failed() or abandoned() at its end
/// \endcode
class CircuitBreaker
{
public:
    /// \param program the bound chart, from makeCircuitBreakerProgram().
    /// \param policy the settings.
    /// \param seed seeds the jitter of the open time; use a different one for each group, so that
    /// their trials do not coincide.
    explicit CircuitBreaker(CircuitBreakerProgramPtr program, CircuitBreakerPolicy policy = {},
                            std::uint64_t seed = 0);

    /// \brief True if an attempt may be made at \p now.
    [[nodiscard]] bool allows(TimePoint now);

    /// \brief Name of the chart's state at \p now, such as "trial", for logs and metrics.
    [[nodiscard]] std::string_view status(TimePoint now);

    /// \brief True if the circuit is closed and no attempt has failed since the last success.
    [[nodiscard]] bool isHealthy() const;

    /// \name Events
    /// \{
    void started(TimePoint now) { handle("started", now); }
    /// \brief The group responds. Call it when the response headers arrive, as a stream may last
    /// for minutes.
    void succeeded(TimePoint now) { handle("succeeded", now); }
    void failed(TimePoint now) { handle("failed", now); }

    /// \brief The attempt ended without an outcome that says anything about the group; if it was
    /// the trial, another may start.
    void abandoned(TimePoint now) { handle("abandoned", now); }
    /// \}

    /// \brief When the next trial is allowed; TimePoint::max() if the circuit is not open.
    [[nodiscard]] TimePoint nextTrial() const;

    /// \brief Time of the last event.
    [[nodiscard]] TimePoint lastEventAt() const { return eventTime_; }

private:
    friend Result<CircuitBreakerProgramPtr> makeCircuitBreakerProgram(const chart::Chart &chart);

    void handle(std::string_view event, TimePoint now);
    void advanceTime(TimePoint now);
    [[nodiscard]] double jitter() const;
    void startOpenPeriod();
    void startTrial() { trialUntil_ = eventTime_ + policy_.trialTimeout_; }
    void resetFailures();

    CircuitBreakerPolicy policy_;
    std::uint64_t seed_;
    chart::Machine<CircuitBreaker> machine_;
    std::uint32_t consecutiveFailures_ = 0;
    std::uint32_t consecutiveOpenings_ = 0; ///< Since the last success.
    std::uint64_t openPeriodCount_ = 0;     ///< Over the whole lifetime; varies the jitter.
    TimePoint openUntil_{};
    TimePoint trialUntil_{};
    TimePoint eventTime_{}; ///< Time of the last event, or of the one being handled.
};

} // namespace cardamombay::retries
