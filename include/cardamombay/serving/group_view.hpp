/// \file
/// \brief Groups of engines as their members report them.
#pragma once

#include <cardamombay/serving/endpoint.hpp>

#include <span>

namespace cardamombay::serving {

/// \brief Name of a group: the model, a dot and the epoch, so that every entry VM can tell the
/// model.
[[nodiscard]] GroupName groupNameOf(const ModelName &model, std::uint64_t epoch);

/// \brief The model that a group's name tells.
[[nodiscard]] ModelName modelOf(const GroupName &group);

/// \brief Name of a group of one engine that only loads the model into the engine's memory, so that
/// it can join a serving group at once.
[[nodiscard]] GroupName warmUpNameOf(const ModelName &model, std::uint64_t epoch);

/// \brief True if \p group has a name of warmUpNameOf().
[[nodiscard]] bool isWarmUp(const GroupName &group);

/// \brief Members that report the same group and epoch.
struct GroupView
{
    GroupName group_;
    std::uint64_t epoch_ = 0;
    ModelName model_;
    const Endpoint *head_ = nullptr;        ///< Null if it is not listed.
    std::vector<const Endpoint *> members_; ///< By rank, the head included if it is listed.

    /// \brief True if all \p size members are listed.
    [[nodiscard]] bool isComplete(std::size_t size) const { return members_.size() == size; }
    /// \brief True if a listed member is leaving.
    [[nodiscard]] bool hasDrainingMember() const;
    /// \brief True if its members are in several fabric domains, which makes it slower.
    [[nodiscard]] bool spansDomains() const;
    /// \brief State of the head; Broken if it is not listed.
    [[nodiscard]] MemberState state() const;
};

/// \brief Groups of \p endpoints, by name. The views point into \p endpoints.
[[nodiscard]] std::vector<GroupView> groupsOf(std::span<const Endpoint *const> endpoints);

} // namespace cardamombay::serving
