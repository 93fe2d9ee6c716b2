/// \file
/// \brief The members as this entry VM knows them, and the rules by which reports change them.
#pragma once

#include <cardamombay/core/time.hpp>
#include <cardamombay/membership/digest.hpp>

#include <map>
#include <optional>
#include <span>
#include <vector>

namespace cardamombay::membership {

/// \brief One member with the times this entry VM needs.
struct Member
{
    MemberEntry entry_;
    TimePoint heardAt_{};     ///< Latest instant at which it certainly ran; zero is never.
    TimePoint statusSince_{}; ///< On this entry VM's clock.
};

/// \brief What a report did to the table.
enum class TableChange {
    None,   ///< Known already, or older than what is known.
    Minor,  ///< Only the configuration version or the address moved.
    Changed ///< The change has to be passed on.
};

/// \brief Table of the other members.
/// \details A report counts by its incarnation first; within one incarnation Left outranks Dead,
/// Dead outranks Suspect, Suspect outranks Alive. Only the member itself raises its incarnation,
/// so a wrong suspicion is refuted by nobody else.
class MemberTable
{
public:
    using Members = std::map<EntryId, Member>;

    /// \brief Takes a report into account.
    TableChange apply(const MemberEntry &report, TimePoint now);

    /// \brief Own evidence: the member did not answer, directly or through others.
    TableChange suspect(const EntryId &id, TimePoint now);
    /// \brief Own evidence: the suspicion was not refuted in time.
    TableChange declareDead(const EntryId &id, TimePoint now);
    /// \brief Own evidence: the member ran at \p when with \p incarnation.
    /// \returns true if this ended a suspicion held here.
    bool heard(const EntryId &id, Incarnation incarnation, TimePoint when, TimePoint now);

    /// \brief Pushes every running suspicion back by \p gap, the time this process stood still.
    void postpone(Duration gap);

    /// \brief Forgets members that have been dead or left since before \p limit.
    void forgetBefore(TimePoint limit);

    [[nodiscard]] const Member *find(const EntryId &id) const;
    [[nodiscard]] const Members &members() const { return members_; }
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

    void account(const MemberEntry &entry, bool isAdded, TimePoint now);
    void setStatus(Member &member, MemberStatus status, TimePoint now);

    Members members_;
    std::map<RegionName, Region> regions_;
    std::size_t aliveCount_ = 0;
};

/// \brief True for Alive and Suspect.
[[nodiscard]] bool isLive(MemberStatus status);

/// \brief Hash of one live member; a region's hash is the exclusive or of them.
[[nodiscard]] std::uint64_t memberHash(const EntryId &id, Incarnation incarnation);

} // namespace cardamombay::membership
