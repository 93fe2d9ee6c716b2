/// \file
/// \brief Table of the members known to this entry VM.
/// \details Status changes follow the state machine in charts/member.toml, which orders reports by
/// incarnation and status. The table neither sends messages nor sets timers.
#pragma once

#include <cardamombay/chart/machine.hpp>
#include <cardamombay/core/result.hpp>
#include <cardamombay/core/time.hpp>
#include <cardamombay/membership/digest.hpp>

#include <map>
#include <set>
#include <string_view>
#include <vector>

namespace cardamombay::membership {

/// \brief A member and when it was last heard from.
struct Member
{
    MemberEntry entry_;
    TimePoint heardAt_{};     ///< Latest time at which it was known to run; zero if never.
    TimePoint statusSince_{}; ///< Time of the last status change on the local clock.
};

/// \brief Context of the guards and actions in charts/member.toml.
struct MemberEvent
{
    Member *member_ = nullptr;
    const MemberEntry *report_ = nullptr; ///< Null for a local observation.
};

using MemberProgramPtr = chart::ProgramPtr<MemberEvent>;

/// \brief Binds \p chart, loaded from charts/member.toml, to the code.
[[nodiscard]] Result<MemberProgramPtr> makeMemberProgram(const chart::Chart &chart);

/// \brief Table of all members except this entry VM.
class MemberTable
{
public:
    using Members = std::map<EntryId, Member>;

    explicit MemberTable(MemberProgramPtr program)
        : program_(std::move(program))
    {
    }

    /// \brief Applies a report received from a peer.
    /// \returns true if it made a change that must be disseminated.
    bool apply(const MemberEntry &report, TimePoint now);

    /// \brief Marks a member suspect after direct and indirect probes failed.
    bool suspect(const EntryId &id, TimePoint now);
    /// \brief Marks a suspect dead after the suspicion was not refuted in time.
    bool declareDead(const EntryId &id, TimePoint now);
    /// \brief Records that the member was running at \p when with \p incarnation.
    /// \returns true if this cleared a local suspicion.
    bool heard(const EntryId &id, Incarnation incarnation, TimePoint when, TimePoint now);

    /// \brief Extends all pending suspicions by \p gap, the time this process was paused.
    void extendSuspicions(Duration gap);

    /// \brief Removes members that died or left before \p limit.
    void purgeBefore(TimePoint limit);

    [[nodiscard]] const Member *find(const EntryId &id) const;
    [[nodiscard]] const Members &members() const { return members_; }
    [[nodiscard]] const std::set<EntryId> &suspects() const { return suspects_; }
    [[nodiscard]] std::size_t aliveCount() const { return aliveCount_; }

    /// \brief Hash over identifiers and incarnations of the live members of \p region.
    [[nodiscard]] std::uint64_t regionHash(const RegionName &region) const;
    /// \brief Time of the last change in \p region.
    [[nodiscard]] TimePoint regionChangedAt(const RegionName &region) const;
    [[nodiscard]] std::vector<RegionName> regions() const;

private:
    struct Region
    {
        std::uint64_t hash_ = 0;
        TimePoint changedAt_{};
    };

    bool dispatch(const EntryId &id, std::string_view event, const MemberEntry *report,
                  TimePoint now);
    void updateRegion(const MemberEntry &entry, bool isAdded, TimePoint now);

    MemberProgramPtr program_;
    Members members_;
    std::map<EntryId, chart::Machine<MemberEvent>> machines_;
    std::map<RegionName, Region> regions_;
    std::set<EntryId> suspects_;
    std::size_t aliveCount_ = 0;
};

/// \brief True for Alive and Suspect.
[[nodiscard]] bool isLive(MemberStatus status);

/// \brief Hash of one live member; the hash of a region is the XOR of its members' hashes.
[[nodiscard]] std::uint64_t memberHash(const EntryId &id, Incarnation incarnation);

} // namespace cardamombay::membership
