/// \file
/// \brief Recent endpoint changes, for entry VMs that missed some.
#pragma once

#include <cardamombay/core/time.hpp>
#include <cardamombay/serving/peer_digests.hpp>

#include <deque>
#include <map>
#include <utility>

namespace cardamombay::serving {

/// \brief The latest change of each endpoint, ordered by version.
/// \details Its size is bounded by the number of live endpoints, not by the number of changes, so
/// a peer can catch up after any number of changes, such as when all engines form groups at once.
/// \code
/// if (const auto missed = history.after(member.endpoints_))
///     send(member, *missed);
/// \endcode
class ChangeHistory
{
public:
    /// \brief Clears the history. It is complete after \p version only; called once the table has
    /// been listed.
    void restart(RowVersion version);
    void add(EndpointChange change, TimePoint now);

    /// \brief The changes after \p version, each endpoint once with its latest entry.
    /// \returns nothing if nothing changed, or if the history does not reach back to \p version.
    [[nodiscard]] std::optional<EndpointRelay> after(RowVersion version) const;

private:
    /// The removal of an endpoint from the table.
    struct Removal
    {
        RowVersion version_;
        VmId id_;
        TimePoint at_{};
    };
    void dropRemoval(const Removal &removal);

    std::map<std::pair<RowVersion, VmId>, EndpointChange> changes_;
    std::map<VmId, RowVersion> latestVersions_; ///< Version of each endpoint's latest change.
    std::deque<Removal> removals_;
    RowVersion completeAfter_; ///< The history holds all changes after this version.
};

} // namespace cardamombay::serving
