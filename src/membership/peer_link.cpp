#include <cardamombay/membership/peer_link.hpp>

#include <algorithm>

namespace cardamombay::membership {

void PeerLink::noteSent(std::uint64_t sequence, TimePoint now)
{
    sent_[next_] = Sent{sequence, now};
    next_ = (next_ + 1) % maxRememberedDigests;
}

void PeerLink::noteReceived(std::uint64_t sequence, TimePoint now)
{
    receivedSequence_ = sequence;
    receivedAt_ = now;
}

EchoEntry PeerLink::echo(TimePoint now) const
{
    if (receivedSequence_ == 0)
        return {};
    return EchoEntry{receivedSequence_, now - receivedAt_};
}

std::optional<TimePoint> PeerLink::madeAfter(const EchoEntry &echo, TimePoint now) const
{
    if (echo.sequence_ == 0)
        return std::nullopt;
    const auto found = std::find_if(sent_.begin(), sent_.end(), [&](const Sent &sent) {
        return sent.sequence_ == echo.sequence_;
    });
    if (found == sent_.end())
        return std::nullopt;
    return std::min(now, found->at_ + std::max(echo.hold_, Duration::zero()));
}

} // namespace cardamombay::membership
