#include <cardamombay/serving/endpoint_gate.hpp>

namespace cardamombay::serving {

EndpointGate::EndpointGate(const Balancer &balancer, EndpointNotices &notices,
                           const ReservationCoordinator &reservations, const EndpointPaths &paths)
    : balancer_(balancer)
    , notices_(notices)
    , reservations_(reservations)
    , paths_(paths)
{
}

std::optional<SendBlock> EndpointGate::sendBlock(const EndpointIncarnation &endpoint,
                                                 TimePoint now) const
{
    if (notices_.isLeaving(endpoint))
        return SendBlock{SendBlock::Reason::Leaving, {}};
    if (const auto cooldown = notices_.cooldown(endpoint, now))
        return SendBlock{SendBlock::Reason::Cooldown, cooldown->left(now)};
    if (!paths_.isReachable(endpoint.id_))
        return SendBlock{SendBlock::Reason::Unreachable, {}};
    return std::nullopt;
}

bool EndpointGate::isDeprioritized(const EndpointIncarnation &endpoint, TimePoint now) const
{
    return notices_.isDeprioritized(endpoint, now);
}

bool EndpointGate::isLimited(const EndpointIncarnation &endpoint) const
{
    return reservations_.isLimited(endpoint);
}

std::optional<Duration> EndpointGate::timeUntilCapacity(const EndpointIncarnation &endpoint,
                                                        Duration wait) const
{
    return reservations_.timeUntilCapacity(endpoint, wait);
}

Duration EndpointGate::expectedWait(const EndpointIncarnation &endpoint) const
{
    return reservations_.expectedWait(endpoint);
}

SendDecision EndpointGate::decide(const EndpointIncarnation &endpoint, bool isReserved,
                                  TimePoint now) const
{
    if (balancer_.hasLeft(endpoint.id_))
        return SendDecision::Leaving;
    if (balancer_.isEvacuated(endpoint.id_))
        return SendDecision::Evacuated;
    const auto block = sendBlock(endpoint, now);
    // The connection has just been established, so a path that counts as lost is none.
    if (block && block->reason_ != SendBlock::Reason::Unreachable)
        return block->reason_ == SendBlock::Reason::Leaving ? SendDecision::Leaving
                                                            : SendDecision::Cooldown;
    return isReserved || !isLimited(endpoint) ? SendDecision::Send : SendDecision::Limited;
}

SendDecision EndpointGate::checkSend(const EndpointIncarnation &endpoint, bool isReserved,
                                     TimePoint now)
{
    const auto result = decide(endpoint, isReserved, now);
    if (result != SendDecision::Send)
        notices_.countWithheld(endpoint);
    return result;
}

} // namespace cardamombay::serving
