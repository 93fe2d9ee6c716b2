/// \file
/// \brief The latest changes of endpoints, for entry VMs that missed some.
#pragma once

#include <cardamombay/core/time.hpp>
#include <cardamombay/serving/peer_digests.hpp>

#include <deque>
#include <map>
#include <utility>

namespace cardamombay::serving {

/// \brief The newest change of each endpoint, in the order of their versions.
/// \details Grows with the endpoints that live, not with their changes: a member that missed some
/// gets them however many there were, also in the second in which all engines form their groups.
/// \code
/// if (const auto missed = history.after(member.endpoints_))
///     send(member, *missed);
/// \endcode
class ChangeHistory
{
public:
    /// \brief Everything before \p version is unknown here; for a table that was listed.
    void restart(RowVersion version);
    void add(EndpointChange change, TimePoint now);

    /// \brief What changed after \p version, each endpoint once with its newest entry.
    /// \returns nothing if nothing changed, or if the history does not reach back to \p version.
    [[nodiscard]] std::optional<EndpointRelay> after(RowVersion version) const;

private:
    /// An endpoint that is no longer listed.
    struct End
    {
        RowVersion version_;
        VmId id_;
        TimePoint at_{};
    };
    void forget(const End &end);

    std::map<std::pair<RowVersion, VmId>, EndpointChange> changes_;
    std::map<VmId, RowVersion> versions_; ///< Of each endpoint's newest change.
    std::deque<End> ends_;
    RowVersion from_; ///< All changes after this version are here.
};

} // namespace cardamombay::serving
