/// \file
/// \brief The row of a group slot: its present formation.
/// \details Decides what of a group is kept in the table service. One row for each slot, and one
/// for each VM, are written in one transaction; this keeps a VM out of two groups.
#pragma once

#include <cardamombay/core/ids.hpp>
#include <cardamombay/core/result.hpp>
#include <cardamombay/endpoint/endpoint_state.hpp>
#include <cardamombay/platform/table_store.hpp>

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace cardamombay::groups {

/// \brief Name of the table with a row for each slot that was ever formed.
inline constexpr const char *groupTable = "groups";

/// \brief Where a group is in its life; the states of charts/group.toml.
/// \details The row keeps Forming (assigned), Draining and Dissolved. The phases between follow
/// from what the members report and live in the planner's memory.
enum class GroupPhase {
    Forming,    ///< Assigned; waits for its turn to load.
    Loading,    ///< Members load the weights.
    Verifying,  ///< All members said ready; their state is read once more.
    Serving,    ///< Complete and verified.
    Degraded,   ///< A member is missing or reports something else; serves nothing.
    Draining,   ///< No new work; requests in flight finish.
    Dissolving, ///< The rows are being freed.
    Dissolved   ///< The slot is free.
};

[[nodiscard]] std::string_view nameOf(GroupPhase phase);
[[nodiscard]] std::optional<GroupPhase> groupPhase(std::string_view name);

/// \brief One formation of a group slot.
struct GroupRow
{
    GroupId group_;
    ServiceName service_;
    AvailabilityZone zone_;
    FabricDomain domain_;
    Generation generation_; ///< Rises with every formation of the slot.
    GroupPhase phase_ = GroupPhase::Forming;
    std::vector<VmId> members_; ///< By rank.
    endpoint::ModelSpec model_;
    endpoint::GroupRole role_ = endpoint::GroupRole::Mixed;
    std::uint32_t vmsPerReplica_ = 1;
    Epoch epoch_; ///< Of the planner lease under which it was written.
    std::string reason_;

    /// \brief True if routers may hand work to the group, given fresh matching observations.
    [[nodiscard]] bool isActive() const { return phase_ == GroupPhase::Forming; }
    /// \brief True if the slot may be formed by the planner of any domain of the zone.
    [[nodiscard]] bool isFreeSlot() const { return phase_ == GroupPhase::Dissolved; }
    /// \brief Rank of \p vm, or none if it is no member.
    [[nodiscard]] std::optional<std::uint32_t> rankOf(const VmId &vm) const;
    /// \brief True if \p state is what a ready member of this formation reports.
    [[nodiscard]] bool isMatchedBy(const endpoint::EndpointState &state) const;

    friend bool operator==(const GroupRow &, const GroupRow &) = default;
};

[[nodiscard]] platform::RowKey groupKey(const GroupId &group);

/// \brief Name of a slot: "service/zone/number".
[[nodiscard]] GroupId slotId(const ServiceName &service, const AvailabilityZone &zone,
                             std::uint32_t number);

/// \brief Number of a slot; none if \p group is no slot name.
[[nodiscard]] std::optional<std::uint32_t> slotNumber(const GroupId &group);

/// \brief JSON text of \p row.
[[nodiscard]] std::string encode(const GroupRow &row);

/// \brief Reads the JSON text of a group row; MalformedMessage if it is none.
[[nodiscard]] Result<GroupRow> decodeGroupRow(const std::string &text);

} // namespace cardamombay::groups
