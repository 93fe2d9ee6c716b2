/// \file
/// \brief Interface for checking whether endpoint notices allow a request to be sent.
#pragma once

#include <cardamombay/core/time.hpp>
#include <cardamombay/serving/endpoint.hpp>

#include <optional>

namespace cardamombay::serving {

/// \brief Why nothing may be sent to an endpoint.
struct SendBlock
{
    enum class Reason {
        Leaving,
        Cooldown,
        Unreachable, ///< This entry VM has lost its path to the endpoint.
    };
    Reason reason_ = Reason::Leaving;
    Duration left_{}; ///< Remaining cooldown.
};

/// \brief Send restrictions of endpoints, queried by the balancer.
class SendGate
{
public:
    SendGate() = default;
    SendGate(const SendGate &) = delete;
    SendGate &operator=(const SendGate &) = delete;
    virtual ~SendGate() = default;

    /// \brief Why nothing may be sent to the endpoint now; no value if sends are allowed.
    [[nodiscard]] virtual std::optional<SendBlock> sendBlock(const EndpointIncarnation &endpoint,
                                                             TimePoint now) const = 0;

    /// \brief True if other endpoints should be tried first.
    [[nodiscard]] virtual bool isDeprioritized(const EndpointIncarnation &endpoint,
                                               TimePoint now) const = 0;

    /// \brief True if sends to the endpoint need a reservation.
    [[nodiscard]] virtual bool isLimited(const EndpointIncarnation &endpoint) const = 0;

    /// \brief Time after which a caller should retry; no value if a send may become due within \p
    /// wait.
    [[nodiscard]] virtual std::optional<Duration>
    timeUntilCapacity(const EndpointIncarnation &endpoint, Duration wait) const = 0;

    /// \brief How long a send booked now is expected to wait until it becomes due; zero if unknown.
    [[nodiscard]] virtual Duration expectedWait(const EndpointIncarnation &endpoint) const = 0;
};

} // namespace cardamombay::serving
