/// \file
/// \brief Circuit of one group: stops attempts at a group that keeps failing.
#pragma once

#include <cardamombay/core/time.hpp>

#include <cstdint>
#include <string_view>

namespace cardamombay::retries {

/// \brief Settings of a circuit.
struct CircuitPolicy
{
    std::uint32_t failures_ = 5;                  ///< Failures in a row that open the circuit.
    Duration openTime_ = std::chrono::seconds(1); ///< Doubles with each failed trial.
    Duration maximumOpenTime_ = std::chrono::seconds(30);
};

/// \brief Where a circuit stands.
enum class CircuitStatus {
    Closed,  ///< Attempts go through.
    Open,    ///< No attempts.
    HalfOpen ///< One trial attempt at a time.
};

/// \brief Short name, for logs and metrics, such as "half-open".
[[nodiscard]] std::string_view nameOf(CircuitStatus status);

/// \brief Circuit breaker fed by attempts and time; single-threaded.
class Circuit
{
public:
    explicit Circuit(CircuitPolicy policy = {});

    /// \brief Where the circuit stands at \p now.
    [[nodiscard]] CircuitStatus status(TimePoint now) const;

    /// \brief True if an attempt may be made at \p now.
    [[nodiscard]] bool allows(TimePoint now) const;

    /// \brief An attempt starts; takes the trial of a half-open circuit.
    void started(TimePoint now);

    void succeeded(TimePoint now);
    void failed(TimePoint now);

    /// \brief The attempt ended without showing anything of the group; frees the trial.
    void abandoned();

    /// \brief When the next trial is allowed; meaningful while open.
    [[nodiscard]] TimePoint openUntil() const { return openUntil_; }

private:
    void open(TimePoint now);

    CircuitPolicy policy_;
    std::uint32_t failuresInRow_ = 0;
    std::uint32_t openings_ = 0; ///< In a row; zero means closed.
    TimePoint openUntil_{};
    bool hasTrial_ = false;
};

} // namespace cardamombay::retries
