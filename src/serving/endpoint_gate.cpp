#include <cardamombay/serving/endpoint_gate.hpp>

namespace cardamombay::serving {

EndpointGate::EndpointGate(const Balancer &balancer, EndpointNotices &notices,
                           const ReservationDesk &reservations)
    : balancer_(balancer)
    , notices_(notices)
    , reservations_(reservations)
{
}

std::optional<SendBar> EndpointGate::bar(const EndpointLife &endpoint, TimePoint now) const
{
    if (notices_.isLeaving(endpoint))
        return SendBar{SendBar::Reason::Leaving, {}};
    if (const auto cooldown = notices_.cooldown(endpoint, now))
        return SendBar{SendBar::Reason::Cooldown, cooldown->left(now)};
    return std::nullopt;
}

bool EndpointGate::isAdvisedAgainst(const EndpointLife &endpoint, TimePoint now) const
{
    return notices_.isAdvisedAgainst(endpoint, now);
}

bool EndpointGate::isLimited(const EndpointLife &endpoint) const
{
    return reservations_.isLimited(endpoint);
}

std::optional<Duration> EndpointGate::fullFor(const EndpointLife &endpoint, Duration wait) const
{
    return reservations_.fullFor(endpoint, wait);
}

LastLook EndpointGate::look(const EndpointLife &endpoint, bool isReserved, TimePoint now) const
{
    if (balancer_.hasLeft(endpoint.id_))
        return LastLook::Leaving;
    if (balancer_.isEvacuated(endpoint.id_))
        return LastLook::Evacuated;
    if (const auto barred = bar(endpoint, now))
        return barred->reason_ == SendBar::Reason::Leaving ? LastLook::Leaving : LastLook::Cooldown;
    return isReserved || !isLimited(endpoint) ? LastLook::Send : LastLook::Limited;
}

LastLook EndpointGate::lastLook(const EndpointLife &endpoint, bool isReserved, TimePoint now)
{
    const auto result = look(endpoint, isReserved, now);
    if (result != LastLook::Send)
        notices_.countWithheld(endpoint);
    return result;
}

} // namespace cardamombay::serving
