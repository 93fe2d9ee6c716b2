/// \file
/// \brief Remembers which engine is the head of each group, and tells when it has left.
/// \details A group serves through its head only. Once the head is listed without the group nothing
/// can begin there, and its members may join another group in one step, without leaving first.
/// Guards that no engine is taken from a group that may still serve: a head that is not listed may
/// be cut off and serve on.
#pragma once

#include <cardamombay/serving/endpoint.hpp>

#include <map>
#include <set>
#include <span>

namespace cardamombay::serving {

/// \brief Heads as last listed; on the control thread.
class GroupHeads
{
public:
    /// \brief Takes what the engines list now.
    void update(std::span<const Endpoint *const> engines);

    /// \brief Groups whose heads are listed, and in no such group any more.
    [[nodiscard]] std::set<GroupName> released(std::span<const Endpoint *const> engines) const;

private:
    std::map<GroupName, VmId> heads_; ///< Of the groups that have members.
};

} // namespace cardamombay::serving
