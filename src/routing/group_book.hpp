/// \file
/// \brief What this entry VM itself knows of each group.
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

/// \brief Recent values of a count that steps, so that a lagging report can be compared with the
/// count at the time of the report.
class StepHistory
{
public:
    void set(TimePoint now, std::uint32_t value);

    /// \brief The count at \p time; the oldest known one if that is forgotten.
    [[nodiscard]] std::uint32_t at(TimePoint time) const;

private:
    static constexpr std::size_t limit = 32;

    struct Step
    {
        TimePoint time_{};
        std::uint32_t value_ = 0;
    };

    std::array<Step, limit> steps_{};
    std::size_t count_ = 0; ///< Steps ever set.
};

/// \brief Own knowledge of one group.
struct GroupState
{
    GroupId group_;
    Generation generation_;
    StepHistory ownInFlight_;
    double answerTime_ = 0; ///< Moving average, seconds; compares the speed of groups.
    bool streamsTokens_ = false;
    std::uint32_t samples_ = 0;
    TimePoint ejectedUntil_{};
    std::uint32_t ejections_ = 0; ///< Without a time of good speed between them.
    TimePoint seenAt_{};          ///< When a snapshot last held the group.
    std::optional<std::uint64_t> cacheSequence_;
    bool isUsed_ = false;
};

/// \brief Own knowledge of all groups, by a small index that is stable while a group lives.
class GroupBook
{
public:
    /// \param index what the groups hold; entries of groups that are gone are dropped from it.
    explicit GroupBook(PrefixIndex &index)
        : index_(index)
    {
    }

    /// \brief Index of \p group, making an entry if there is none.
    OwnerIndex indexOf(const GroupId &group);

    /// \brief Index of \p group, if there is an entry.
    [[nodiscard]] std::optional<OwnerIndex> find(const GroupId &group) const;

    [[nodiscard]] GroupState &state(OwnerIndex index) { return states_[index]; }
    [[nodiscard]] std::uint32_t inFlight(OwnerIndex index) const { return inFlight_[index]; }
    [[nodiscard]] std::size_t size() const { return states_.size(); }

    void started(OwnerIndex index, TimePoint now);
    void finished(OwnerIndex index, const RequestSample &sample, TimePoint now);

    /// \brief The group was seen in \p generation: a newer one starts with an empty cache and
    /// without the slowness of the former members.
    void formed(OwnerIndex index, Generation generation, TimePoint now);

    /// \brief Drops entries that no snapshot held for a while and nothing is in flight at.
    void forgetUnseen(TimePoint now);

private:
    static void learnSpeed(GroupState &state, const RequestSample &sample);

    PrefixIndex &index_;
    std::unordered_map<GroupId, OwnerIndex> indexes_;
    std::vector<GroupState> states_;
    std::vector<std::uint32_t> inFlight_; ///< Apart from states_: read for every decision.
    std::vector<OwnerIndex> free_;
};

} // namespace cardamombay::routing::impl
