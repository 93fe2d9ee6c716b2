/// \file
/// \brief Changes of members that wait to be piggybacked on digests.
/// \details Decides which changes ride on the next digest: those sent the fewest times first. It
/// sends nothing and keeps no content; the member table has it.
#pragma once

#include <cardamombay/core/ids.hpp>
#include <cardamombay/core/time.hpp>

#include <array>
#include <cstdint>
#include <map>
#include <vector>

namespace cardamombay::membership {

/// \brief Where a digest goes; each channel counts its own retransmissions, so that the frequent
/// exchanges within a site do not use up what has to reach other sites and regions.
enum class Channel { Scope, Region, Bridge };

/// \brief Bounded piggybacking: each change is sent a limited number of times on each channel.
class UpdateQueue
{
public:
    /// \brief Queues the change of \p id, or starts it over.
    void add(const EntryId &id, TimePoint now);

    /// \brief Drops changes queued before \p limit; not every node uses every channel.
    void dropBefore(TimePoint limit);

    /// \brief Takes up to \p limit changes for one digest, those sent least first.
    /// \param channel where the digest goes.
    /// \param limit most changes to take.
    /// \param retransmits times a change is sent on each channel.
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
