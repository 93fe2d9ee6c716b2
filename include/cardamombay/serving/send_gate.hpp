/// \file
/// \brief Seam to whoever knows which endpoints may only be sent to with a reservation.
#pragma once

#include <cardamombay/core/time.hpp>
#include <cardamombay/serving/endpoint.hpp>

#include <optional>

namespace cardamombay::serving {

/// \brief What a balancer asks about an endpoint's limit.
class SendGate
{
public:
    SendGate() = default;
    SendGate(const SendGate &) = delete;
    SendGate &operator=(const SendGate &) = delete;
    virtual ~SendGate() = default;

    /// \brief True if a send needs a reservation.
    [[nodiscard]] virtual bool isLimited(const EndpointLife &endpoint) const = 0;

    /// \brief Time until a caller may find a send there; nothing if one may open within \p wait.
    [[nodiscard]] virtual std::optional<Duration> fullFor(const EndpointLife &endpoint,
                                                          Duration wait) const = 0;
};

} // namespace cardamombay::serving
