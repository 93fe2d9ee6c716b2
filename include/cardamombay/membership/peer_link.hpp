/// \file
/// \brief Sequence numbers of the digests exchanged with one peer.
/// \details Decides how old an incoming digest can be at most, from its echo of a digest sent
/// before, so that no clock is shared. It sends nothing.
#pragma once

#include <cardamombay/core/time.hpp>
#include <cardamombay/membership/digest.hpp>

#include <array>
#include <cstdint>
#include <optional>

namespace cardamombay::membership {

/// \brief Remembers what was sent to and received from one peer, to bound the age of digests.
class PeerLink
{
public:
    /// \brief Notes that the digest \p sequence left at \p now.
    void noteSent(std::uint64_t sequence, TimePoint now);

    /// \brief Notes that a digest arrived at \p now.
    void noteReceived(std::uint64_t sequence, TimePoint now);

    /// \brief The echo for the next digest to this peer.
    [[nodiscard]] EchoEntry echo(TimePoint now) const;

    /// \brief An instant before which a digest with \p echo was certainly not made.
    [[nodiscard]] std::optional<TimePoint> madeAfter(const EchoEntry &echo, TimePoint now) const;

private:
    struct Sent
    {
        std::uint64_t sequence_ = 0;
        TimePoint at_{};
    };
    static constexpr std::size_t remembered = 6;

    std::array<Sent, remembered> sent_{};
    std::size_t next_ = 0;
    std::uint64_t receivedSequence_ = 0;
    TimePoint receivedAt_{};
};

} // namespace cardamombay::membership
