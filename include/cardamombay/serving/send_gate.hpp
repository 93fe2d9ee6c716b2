/// \file
/// \brief Seam to whoever knows what endpoints have said of the requests that they want.
#pragma once

#include <cardamombay/core/time.hpp>
#include <cardamombay/serving/endpoint.hpp>

#include <optional>

namespace cardamombay::serving {

/// \brief Why an endpoint gets nothing at all.
struct SendBlock
{
    enum class Reason {
        Leaving,
        Cooldown,
    };
    Reason reason_ = Reason::Leaving;
    Duration left_{}; ///< Of a cooldown.
};

/// \brief What a balancer asks about an endpoint's notices.
class SendGate
{
public:
    SendGate() = default;
    SendGate(const SendGate &) = delete;
    SendGate &operator=(const SendGate &) = delete;
    virtual ~SendGate() = default;

    /// \brief Why nothing may be sent there now; nothing if something may.
    [[nodiscard]] virtual std::optional<SendBlock> sendBlock(const EndpointIncarnation &endpoint,
                                                             TimePoint now) const = 0;

    /// \brief True if others should be tried before the endpoint.
    [[nodiscard]] virtual bool isDeprioritized(const EndpointIncarnation &endpoint,
                                               TimePoint now) const = 0;

    /// \brief True if a send needs a reservation.
    [[nodiscard]] virtual bool isLimited(const EndpointIncarnation &endpoint) const = 0;

    /// \brief Time until a caller may find a send there; nothing if one may open within \p wait.
    [[nodiscard]] virtual std::optional<Duration>
    timeUntilCapacity(const EndpointIncarnation &endpoint, Duration wait) const = 0;
};

} // namespace cardamombay::serving
