/// \file
/// \brief Admission request and its possible decisions.
#pragma once

#include <cardamombay/core/ids.hpp>
#include <cardamombay/core/time.hpp>

#include <cstdint>
#include <string_view>
#include <variant>

namespace cardamombay::limits {

/// \brief A request to be admitted.
struct AdmissionRequest
{
    RequestId request_{};
    ServiceName service_{};
    TeamName team_{};
    std::uint32_t priority_ = 100;         ///< Higher values are served first within the team.
    TimePoint deadline_{TimePoint::max()}; ///< When the caller stops waiting for the response.
    bool isNonIdempotent_ = false;
};

/// \brief Why a request is refused. A refused request was not sent, so it has not run.
enum class ShedReason {
    UnknownService, ///< The configuration has no such service.
    NoCapacity,     ///< No group of the service is serving.
    QueueFull,      ///< The team's queue is full of requests of at least the same priority.
    TooLate,        ///< The response would come after the deadline.
    QueueTimeout,   ///< The queue timeout of the service has expired.
    Displaced       ///< Evicted from the queue by a request of the same team with higher priority.
};

/// \brief Short name, for logs and metrics, such as "queue-full".
[[nodiscard]] std::string_view nameOf(ShedReason reason);

/// \brief The request may be sent now; it occupies a slot until finished().
struct Admitted
{
    friend bool operator==(Admitted, Admitted) = default;
};

/// \brief The request is queued; release() returns the final decision.
struct Queued
{
    Duration expectedWait_{};

    friend bool operator==(Queued, Queued) = default;
};

/// \brief The request is refused and no longer tracked.
struct Shed
{
    ShedReason reason_ = ShedReason::NoCapacity;
    Duration retryAfter_{};

    friend bool operator==(const Shed &, const Shed &) = default;
};

/// \brief Result of Admission::offer().
using AdmissionDecision = std::variant<Admitted, Queued, Shed>;

/// \brief Final decision for a queued request.
struct Released
{
    RequestId request_;
    std::variant<Admitted, Shed> answer_;
};

} // namespace cardamombay::limits
