/// \file
/// \brief Queue of member changes to piggyback on digests.
/// \details Selects the changes sent the fewest times. It stores only identifiers; the content is
/// in the member table.
#pragma once

#include <cardamombay/core/ids.hpp>
#include <cardamombay/core/time.hpp>

#include <array>
#include <cstdint>
#include <map>
#include <vector>

namespace cardamombay::membership {

/// \brief Destination class of a digest.
/// \details Each channel counts its own retransmissions, so that the frequent exchanges within a
/// site do not exhaust those intended for other sites and regions.
enum class Channel { Scope, Region, Bridge };

/// \brief Bounded dissemination: each change is sent a limited number of times on each channel.
class UpdateQueue
{
public:
    /// \brief Queues a change of \p id; if one is queued already, resets its counters.
    void add(const EntryId &id, TimePoint now);

    /// \brief Drops changes queued before \p limit.
    /// \details Changes would otherwise stay queued on nodes that do not use every channel.
    void dropBefore(TimePoint limit);

    /// \brief Selects changes for one digest, those sent the fewest times first.
    /// \param channel destination class of the digest.
    /// \param limit maximum number of changes to return.
    /// \param retransmits number of times a change is sent on each channel.
    [[nodiscard]] std::vector<EntryId> take(Channel channel, std::size_t limit,
                                            std::uint32_t retransmits);

    [[nodiscard]] std::size_t size() const { return updates_.size(); }

private:
    static constexpr std::size_t channelCount = 3;
    struct Update
    {
        std::array<std::uint32_t, channelCount> sent_{};
        TimePoint addedAt_{};
    };

    std::map<EntryId, Update> updates_;
};

} // namespace cardamombay::membership
