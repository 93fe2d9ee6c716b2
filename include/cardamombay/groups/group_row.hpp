/// \file
/// \brief Row of a group slot, which describes the slot's current formation.
/// \details A slot is a numbered place for one replica of a service in a zone. Each assignment of
/// member VMs to it, also of the same ones again, is a formation with the next generation. The row
/// of a slot is written in one transaction with the rows of its VMs, so that no VM can be in two
/// groups.
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

/// \brief Name of the table with a row for each slot that has ever been formed.
inline constexpr const char *groupTable = "groups";

/// \brief Lifecycle phase of a group; the states of charts/group.toml.
/// \details The row stores only Forming (which stands for all active phases), Draining and
/// Dissolved. The other phases are derived from the members' reports and kept in memory.
enum class GroupPhase {
    Forming,    ///< Members chosen; waits until it may load.
    Loading,    ///< Members load the model weights.
    Verifying,  ///< All members reported ready; their state is read once more.
    Serving,    ///< All members ready and verified.
    Degraded,   ///< A member is lost or mismatched; the group serves nothing.
    Draining,   ///< Gets no new requests; those in flight finish.
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
    Generation generation_; ///< Incremented by each formation of the slot.
    GroupPhase phase_ = GroupPhase::Forming;
    std::vector<VmId> members_; ///< By rank.
    endpoint::ModelSpec model_;
    endpoint::GroupRole role_ = endpoint::GroupRole::Mixed;
    std::uint32_t vmsPerReplica_ = 1;
    Epoch epoch_; ///< Epoch of the planner lease of the writer.
    std::string reason_;

    /// \brief True if routers may send requests to the group once all members match the row.
    [[nodiscard]] bool isActive() const { return phase_ == GroupPhase::Forming; }
    /// \brief True if the planner of any domain of the zone may form the slot.
    [[nodiscard]] bool isFreeSlot() const { return phase_ == GroupPhase::Dissolved; }
    /// \brief Rank of \p vm, or none if it is not a member.
    [[nodiscard]] std::optional<std::uint32_t> rankOf(const VmId &vm) const;
    /// \brief True if \p state is that of a ready member of this formation.
    [[nodiscard]] bool isMatchedBy(const endpoint::EndpointState &state) const;

    friend bool operator==(const GroupRow &, const GroupRow &) = default;
};

[[nodiscard]] platform::RowKey groupKey(const GroupId &group);

/// \brief Identifier of a slot: "service/zone/number".
[[nodiscard]] GroupId slotId(const ServiceName &service, const AvailabilityZone &zone,
                             std::uint32_t number);

/// \brief Number of a slot, or none if \p group is not a slot identifier.
[[nodiscard]] std::optional<std::uint32_t> slotNumber(const GroupId &group);

/// \brief Encodes \p row as JSON.
[[nodiscard]] std::string encode(const GroupRow &row);

/// \brief Decodes a group row from JSON; MalformedMessage if that fails.
[[nodiscard]] Result<GroupRow> decodeGroupRow(const std::string &text);

} // namespace cardamombay::groups
