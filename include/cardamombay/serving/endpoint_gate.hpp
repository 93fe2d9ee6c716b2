/// \file
/// \brief Decides whether a request may be sent to an endpoint now.
/// \details Checked when an endpoint is chosen and again right before the first byte is sent,
/// because notices may arrive while the connection is being established. All caller requests are
/// checked here; control requests to engines are checked by GatedOrders.
#pragma once

#include <cardamombay/serving/balancer.hpp>
#include <cardamombay/serving/endpoint_notices.hpp>
#include <cardamombay/serving/endpoint_paths.hpp>
#include <cardamombay/serving/reservation_coordinator.hpp>
#include <cardamombay/serving/send_gate.hpp>

namespace cardamombay::serving {

/// \brief Result of the final check before a send.
enum class SendDecision {
    Send,
    Leaving,   ///< The endpoint is shutting down or no longer listed.
    Evacuated, ///< Its availability zone is being evacuated.
    Cooldown,  ///< It is in a cooldown for this entry VM.
    Limited,   ///< It is rate-limited and the send is not reserved.
};

/// \brief Send gate of one entry VM. Not thread-safe: used on the gateway's thread only.
class EndpointGate final : public SendGate
{
public:
    /// \param balancer, notices, reservations, paths must outlive the gate.
    EndpointGate(const Balancer &balancer, EndpointNotices &notices,
                 const ReservationCoordinator &reservations, const EndpointPaths &paths);

    /// \brief Call once the connection is established. Counts a withheld send.
    /// \param isReserved whether the send was reserved.
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
    [[nodiscard]] Duration expectedWait(const EndpointIncarnation &endpoint) const override;
    /// \}

private:
    [[nodiscard]] SendDecision decide(const EndpointIncarnation &endpoint, bool isReserved,
                                      TimePoint now) const;

    const Balancer &balancer_;
    EndpointNotices &notices_;
    const ReservationCoordinator &reservations_;
    const EndpointPaths &paths_;
};

} // namespace cardamombay::serving
