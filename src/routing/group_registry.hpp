/// \file
/// \brief Local state of each group at this entry VM.
#pragma once

#include <cardamombay/core/ids.hpp>
#include <cardamombay/core/time.hpp>
#include <cardamombay/routing/prefix_index.hpp>
#include <cardamombay/routing/route_decision.hpp>
#include <cardamombay/routing/router_policy.hpp>

#include <array>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <unordered_map>
#include <vector>

namespace cardamombay::routing::impl {

/// \brief Recent values of a counter, so that a lagging report can be compared with the value at
/// the time of the report.
class CountHistory
{
public:
    void set(TimePoint now, std::uint32_t value);

    /// \brief The value at \p time. Before all kept values, it is the oldest of them if older ones
    /// were dropped, and zero if not.
    [[nodiscard]] std::uint32_t at(TimePoint time) const;

private:
    static constexpr std::size_t limit = 32;

    struct Change
    {
        TimePoint time_{};
        std::uint32_t value_ = 0;
    };

    std::array<Change, limit> changes_{};
    std::size_t count_ = 0; ///< Changes over the whole lifetime.
};

/// \brief Local state of one group.
struct GroupState
{
    GroupId group_;
    Generation generation_;
    CountHistory ownInFlight_;
    double meanResponseSeconds_ = 0; ///< Moving average, to detect stragglers.
    bool streamsTokens_ = false;
    std::uint32_t samples_ = 0;
    TimePoint ejectedUntil_{};
    std::uint32_t consecutiveEjections_ = 0; ///< Since the group was last fast enough.
    TimePoint lastSeenAt_{};                 ///< Last snapshot with the group, or attempt at it.
    std::optional<std::uint64_t> lastCacheSequence_;
    bool isUsed_ = false;
};

/// \brief Local state of all groups, by a small index that is stable while the group exists.
class GroupRegistry
{
public:
    /// \param index the prefix index; entries of evicted groups are invalidated in it.
    explicit GroupRegistry(PrefixIndex &index)
        : index_(index)
    {
    }

    /// \brief Index of \p group, adding it if needed.
    OwnerIndex findOrAdd(const GroupId &group);

    /// \brief Index of \p group, if it is registered.
    [[nodiscard]] std::optional<OwnerIndex> find(const GroupId &group) const;

    [[nodiscard]] GroupState &state(OwnerIndex index) { return states_[index]; }
    [[nodiscard]] std::uint32_t inFlight(OwnerIndex index) const { return inFlight_[index]; }
    [[nodiscard]] std::size_t size() const { return states_.size(); }

    void started(OwnerIndex index, TimePoint now);
    void finished(OwnerIndex index, const RequestSample &sample, TimePoint now);

    /// \brief Resets the cache entries and speed measurements of the group if \p generation is
    /// newer than the known one, since it has new members.
    void observeGeneration(OwnerIndex index, Generation generation, TimePoint now);

    /// \brief Evicts groups that have not been seen for a while and have nothing in flight.
    void evictUnseen(TimePoint now);

private:
    static void updateResponseTime(GroupState &state, const RequestSample &sample);

    PrefixIndex &index_;
    std::unordered_map<GroupId, OwnerIndex> indexes_;
    std::vector<GroupState> states_;
    std::vector<std::uint32_t> inFlight_; ///< Separate from states_, as every decision reads it.
    std::vector<OwnerIndex> freeIndexes_;
};

} // namespace cardamombay::routing::impl
