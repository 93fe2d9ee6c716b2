/// \file
/// \brief Tracks the head of each group and detects when it has left the group.
/// \details Requests reach a group only through its head. Once the head is listed outside the
/// group, no new request can start there, and the other members can join another group directly,
/// without a separate leave order. A head that is not listed at all does not count as having left:
/// it may be partitioned and still be serving, so its members must not be reassigned.
#pragma once

#include <cardamombay/serving/endpoint.hpp>

#include <map>
#include <set>
#include <span>

namespace cardamombay::serving {

/// \brief Last listed heads of the groups. Used on the control thread only.
class GroupHeads
{
public:
    /// \brief Records the heads from the current list of \p engines.
    void update(std::span<const Endpoint *const> engines);

    /// \brief Groups whose last known head is listed, but no longer as a member of the group.
    [[nodiscard]] std::set<GroupName> released(std::span<const Endpoint *const> engines) const;

private:
    std::map<GroupName, VmId> heads_; ///< Only groups with at least one listed member.
};

} // namespace cardamombay::serving
