/// \file
/// \brief Circuit of one group: stops attempts at a group that keeps failing.
/// \details The transitions stand in charts/circuit.toml.
#pragma once

#include <cardamombay/chart/machine.hpp>
#include <cardamombay/core/time.hpp>

#include <cstdint>
#include <string_view>

namespace cardamombay::retries {

class CircuitBreaker;

/// \brief The chart of circuits with its code, shared by all circuits.
using CircuitBreakerProgramPtr = chart::ProgramPtr<CircuitBreaker>;

/// \brief Binds charts/circuit.toml; done once at start.
[[nodiscard]] Result<CircuitBreakerProgramPtr> makeCircuitBreakerProgram(const chart::Chart &chart);

/// \brief Settings of a circuit.
struct CircuitBreakerPolicy
{
    std::uint32_t failures_ = 3;                  ///< Failures in a row that open the circuit.
    Duration openTime_ = std::chrono::seconds(1); ///< Doubles with each failed trial; half of it
                                                  ///< at least, as the wait is jittered.
    Duration maximumOpenTime_ = std::chrono::seconds(8);
    Duration trialTime_ = std::chrono::seconds(2); ///< Then another trial may start beside it.
};

/// \brief Circuit breaker fed by attempts and time; single-threaded.
/// \code
/// Circuit circuit(program);
/// if (circuit.allows(clock.now()))
///     circuit.started(clock.now()); // then succeeded(), failed() or abandoned() at its end
/// \endcode
class CircuitBreaker
{
public:
    /// \param seed of the jitter of the open time, so that circuits do not try again together.
    explicit CircuitBreaker(CircuitBreakerProgramPtr program, CircuitBreakerPolicy policy = {},
                            std::uint64_t seed = 0);

    /// \brief True if an attempt may be made at \p now.
    [[nodiscard]] bool allows(TimePoint now);

    /// \brief State in the chart at \p now, such as "half-open", for logs and metrics.
    [[nodiscard]] std::string_view status(TimePoint now);

    /// \brief True if it is closed and nothing has failed since the last success.
    [[nodiscard]] bool isHealthy() const;

    /// \name Events
    /// \{
    void started(TimePoint now) { handle("started", now); }
    /// \brief The group answers; best called when the head of an answer arrives, as a stream may
    /// go on for minutes.
    void succeeded(TimePoint now) { handle("succeeded", now); }
    void failed(TimePoint now) { handle("failed", now); }

    /// \brief The attempt ended without showing anything of the group; frees the trial.
    void abandoned(TimePoint now) { handle("abandoned", now); }
    /// \}

    /// \brief When a trial is allowed; the maximum if the circuit is not open.
    [[nodiscard]] TimePoint nextTrial() const;

    /// \brief When the last event came.
    [[nodiscard]] TimePoint changedAt() const { return now_; }

private:
    friend Result<CircuitBreakerProgramPtr> makeCircuitBreakerProgram(const chart::Chart &chart);

    void handle(std::string_view event, TimePoint now);
    void passTime(TimePoint now);
    [[nodiscard]] double jitter() const;
    void startWait();
    void startTrial() { trialUntil_ = now_ + policy_.trialTime_; }
    void forgetFailures();

    CircuitBreakerPolicy policy_;
    std::uint64_t seed_;
    chart::Machine<CircuitBreaker> machine_;
    std::uint32_t failuresInRow_ = 0;
    std::uint32_t openings_ = 0; ///< Without a success between them.
    std::uint64_t waits_ = 0;    ///< Ever started.
    TimePoint openUntil_{};
    TimePoint trialUntil_{};
    TimePoint now_{}; ///< Instant of the event being handled.
};

} // namespace cardamombay::retries
