/// \file
/// \brief Tracks sequence numbers of the digests exchanged with one peer.
/// \details Bounds the age of an incoming digest from its echo of an earlier outgoing digest, which
/// requires no shared clock.
#pragma once

#include <cardamombay/core/time.hpp>
#include <cardamombay/membership/digest.hpp>

#include <array>
#include <cstdint>
#include <optional>

namespace cardamombay::membership {

/// \brief Records the digests sent to and received from one peer, to bound the age of digests.
class PeerLink
{
public:
    /// \brief Records that digest \p sequence was sent at \p now.
    void noteSent(std::uint64_t sequence, TimePoint now);

    /// \brief Records that digest \p sequence was received at \p now.
    void noteReceived(std::uint64_t sequence, TimePoint now);

    /// \brief Echo to include in the next digest to this peer.
    [[nodiscard]] EchoEntry echo(TimePoint now) const;

    /// \brief Earliest possible creation time of a digest with \p echo.
    /// \returns none if \p echo matches none of the recently sent digests.
    [[nodiscard]] std::optional<TimePoint> madeAfter(const EchoEntry &echo, TimePoint now) const;

private:
    struct Sent
    {
        std::uint64_t sequence_ = 0;
        TimePoint at_{};
    };
    static constexpr std::size_t maxRememberedDigests = 6;

    std::array<Sent, maxRememberedDigests> sent_{};
    std::size_t next_ = 0;
    std::uint64_t receivedSequence_ = 0;
    TimePoint receivedAt_{};
};

} // namespace cardamombay::membership
