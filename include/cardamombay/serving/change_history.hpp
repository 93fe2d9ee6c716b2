/// \file
/// \brief The latest changes of endpoints, for entry VMs that missed some.
#pragma once

#include <cardamombay/core/time.hpp>
#include <cardamombay/serving/peer_digests.hpp>

#include <deque>

namespace cardamombay::serving {

/// \brief Changes of the last seconds in the order of their versions.
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
    struct Entry
    {
        EndpointChange change_;
        TimePoint at_{};
    };
    std::deque<Entry> entries_;
    RowVersion from_; ///< All changes after this version are here.
};

} // namespace cardamombay::serving
