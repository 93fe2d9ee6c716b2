/// \file
/// \brief A request that asks to be let in, and the answers it can get.
#pragma once

#include <cardamombay/core/ids.hpp>
#include <cardamombay/core/time.hpp>

#include <cstdint>
#include <string_view>
#include <variant>

namespace cardamombay::limits {

/// \brief A request that asks to be let in.
struct AdmissionRequest
{
    RequestId request_{};
    ServiceName service_{};
    TeamName team_{};
    std::uint32_t priority_ = 100;         ///< Higher goes first within the team.
    TimePoint deadline_{TimePoint::max()}; ///< When the caller stops waiting for the answer.
    bool isNonIdempotent_ = false;
};

/// \brief Why a request is refused. It was never handed over, so it was not run.
enum class ShedReason {
    UnknownService, ///< The configuration has no such service.
    NoCapacity,     ///< No group of the service serves.
    QueueFull,      ///< The team's queue is full of requests at least as important.
    TooLate,        ///< It would not be answered before its deadline.
    QueueTimeout,   ///< It waited as long as the service allows.
    Displaced       ///< A request of higher priority of the same team took its place.
};

/// \brief Short name, for logs and metrics, such as "queue-full".
[[nodiscard]] std::string_view nameOf(ShedReason reason);

/// \brief The request goes to an endpoint now and holds a slot until finished().
struct Admitted
{
    friend bool operator==(Admitted, Admitted) = default;
};

/// \brief The request waits; release() gives the final answer.
struct Queued
{
    Duration expectedWait_{};

    friend bool operator==(Queued, Queued) = default;
};

/// \brief The request is refused and forgotten.
struct Shed
{
    ShedReason reason_ = ShedReason::NoCapacity;
    Duration retryAfter_{};

    friend bool operator==(const Shed &, const Shed &) = default;
};

/// \brief Answer to an offer.
using AdmissionDecision = std::variant<Admitted, Queued, Shed>;

/// \brief Final answer to a request that was queued.
struct Released
{
    RequestId request_;
    std::variant<Admitted, Shed> answer_;
};

} // namespace cardamombay::limits
