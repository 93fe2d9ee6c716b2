/// \file
/// \brief Says whether an endpoint may be sent something now, by all that it has said of itself.
/// \details Asked when an endpoint is chosen, and once more right before the first byte leaves:
/// connections take time, and notices come meanwhile. All requests of callers pass here; orders and
/// questions to engines pass GatedOrders.
#pragma once

#include <cardamombay/serving/balancer.hpp>
#include <cardamombay/serving/endpoint_notices.hpp>
#include <cardamombay/serving/reservation_coordinator.hpp>
#include <cardamombay/serving/send_gate.hpp>

namespace cardamombay::serving {

/// \brief Result of the last look before a send.
enum class SendDecision {
    Send,
    Leaving,   ///< The endpoint leaves, or is not listed any more.
    Evacuated, ///< Operators empty its availability zone.
    Cooldown,  ///< It wants nothing from this entry VM for now.
    Limited,   ///< It takes few requests a second, and the send is not reserved.
};

/// \brief Gate of one entry VM; belongs to the gateway's thread.
class EndpointGate final : public SendGate
{
public:
    /// \param balancer, notices, reservations outlive the gate.
    EndpointGate(const Balancer &balancer, EndpointNotices &notices,
                 const ReservationCoordinator &reservations);

    /// \brief Asked when the connection stands; a send that is withheld is counted.
    /// \param isReserved the send was reserved.
    [[nodiscard]] SendDecision checkSend(const EndpointIncarnation &endpoint, bool isReserved,
                                         TimePoint now);

    /// \name SendGate
    /// \{
    [[nodiscard]] std::optional<SendBlock> sendBlock(const EndpointIncarnation &endpoint,
                                                     TimePoint now) const override;
    [[nodiscard]] bool isDeprioritized(const EndpointIncarnation &endpoint,
                                       TimePoint now) const override;
    [[nodiscard]] bool isLimited(const EndpointIncarnation &endpoint) const override;
    [[nodiscard]] std::optional<Duration> timeUntilCapacity(const EndpointIncarnation &endpoint,
                                                            Duration wait) const override;
    /// \}

private:
    [[nodiscard]] SendDecision look(const EndpointIncarnation &endpoint, bool isReserved,
                                    TimePoint now) const;

    const Balancer &balancer_;
    EndpointNotices &notices_;
    const ReservationCoordinator &reservations_;
};

} // namespace cardamombay::serving
