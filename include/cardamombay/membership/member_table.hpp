/// \file
/// \brief The members as this entry VM knows them; charts/member.toml holds the rules.
/// \details Decides which report of a member is newer, by incarnation and status. It sends nothing
/// and has no timers.
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

/// \brief One member with the times this entry VM needs.
struct Member
{
    MemberEntry entry_;
    TimePoint heardAt_{};     ///< Latest instant at which it certainly ran; zero is never.
    TimePoint statusSince_{}; ///< On this entry VM's clock.
};

/// \brief What the guards and actions of the chart work on.
struct MemberEvent
{
    Member *member_ = nullptr;
    const MemberEntry *report_ = nullptr; ///< Null for own evidence.
};

using MemberProgramPtr = chart::ProgramPtr<MemberEvent>;

/// \brief Checks \p chart, which is charts/member.toml, against the code; done once, at start.
[[nodiscard]] Result<MemberProgramPtr> makeMemberProgram(const chart::Chart &chart);

/// \brief Table of the other members.
class MemberTable
{
public:
    using Members = std::map<EntryId, Member>;

    explicit MemberTable(MemberProgramPtr program)
        : program_(std::move(program))
    {
    }

    /// \brief Takes a report into account.
    /// \returns true if it changed something that has to be passed on.
    bool apply(const MemberEntry &report, TimePoint now);

    /// \brief Own evidence: the member did not answer, directly or through others.
    bool suspect(const EntryId &id, TimePoint now);
    /// \brief Own evidence: the suspicion was not refuted in time.
    bool declareDead(const EntryId &id, TimePoint now);
    /// \brief Own evidence: the member ran at \p when with \p incarnation.
    /// \returns true if this ended a suspicion held here.
    bool heard(const EntryId &id, Incarnation incarnation, TimePoint when, TimePoint now);

    /// \brief Pushes every running suspicion back by \p gap, the time this process stood still.
    void postpone(Duration gap);

    /// \brief Forgets members that have been dead or left since before \p limit.
    void forgetBefore(TimePoint limit);

    [[nodiscard]] const Member *find(const EntryId &id) const;
    [[nodiscard]] const Members &members() const { return members_; }
    [[nodiscard]] const std::set<EntryId> &suspects() const { return suspects_; }
    [[nodiscard]] std::size_t aliveCount() const { return aliveCount_; }

    /// \brief Hash over identifier and incarnation of the live members of \p region.
    [[nodiscard]] std::uint64_t regionHash(const RegionName &region) const;
    /// \brief Instant of the last change in \p region.
    [[nodiscard]] TimePoint regionChangedAt(const RegionName &region) const;
    [[nodiscard]] std::vector<RegionName> regions() const;

private:
    struct Region
    {
        std::uint64_t hash_ = 0;
        TimePoint changedAt_{};
    };

    bool raise(const EntryId &id, std::string_view event, const MemberEntry *report, TimePoint now);
    void account(const MemberEntry &entry, bool isAdded, TimePoint now);

    MemberProgramPtr program_;
    Members members_;
    std::map<EntryId, chart::Machine<MemberEvent>> machines_;
    std::map<RegionName, Region> regions_;
    std::set<EntryId> suspects_;
    std::size_t aliveCount_ = 0;
};

/// \brief True for Alive and Suspect.
[[nodiscard]] bool isLive(MemberStatus status);

/// \brief Hash of one live member; a region's hash is the exclusive or of them.
[[nodiscard]] std::uint64_t memberHash(const EntryId &id, Incarnation incarnation);

} // namespace cardamombay::membership
