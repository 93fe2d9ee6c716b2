/// \file
/// \brief Groups of engines, assembled from what their members report.
#pragma once

#include <cardamombay/serving/endpoint.hpp>

#include <span>

namespace cardamombay::serving {

/// \brief Group name `<model>.<epoch>`, from which any entry VM can derive the model.
[[nodiscard]] GroupName groupNameOf(const ModelName &model, std::uint64_t epoch);

/// \brief Extracts the model from a group name.
[[nodiscard]] ModelName modelOf(const GroupName &group);

/// \brief Name of a warm-up group: a single engine that loads the model into memory so that it can
/// join a serving group without delay.
[[nodiscard]] GroupName warmUpNameOf(const ModelName &model, std::uint64_t epoch);

/// \brief True if \p group was named by warmUpNameOf().
[[nodiscard]] bool isWarmUp(const GroupName &group);

/// \brief The listed members that report the same group and epoch.
struct GroupView
{
    GroupName group_;
    std::uint64_t epoch_ = 0;
    ModelName model_;
    const Endpoint *head_ = nullptr;        ///< Null if the head is not listed.
    std::vector<const Endpoint *> members_; ///< Listed members by rank, including the head.

    /// \brief True if all \p size members are listed.
    [[nodiscard]] bool isComplete(std::size_t size) const { return members_.size() == size; }
    /// \brief True if a listed member is draining.
    [[nodiscard]] bool hasDrainingMember() const;
    /// \brief True if the members are in more than one fabric domain, which makes the group slower.
    [[nodiscard]] bool spansDomains() const;
    /// \brief State of the head; Broken if the head is not listed.
    [[nodiscard]] MemberState state() const;
};

/// \brief Assembles the groups of \p endpoints, sorted by name. The views point into \p endpoints.
[[nodiscard]] std::vector<GroupView> groupsOf(std::span<const Endpoint *const> endpoints);

} // namespace cardamombay::serving
