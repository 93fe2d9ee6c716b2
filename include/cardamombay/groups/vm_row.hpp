/// \file
/// \brief Row of an endpoint VM, which names the group it is assigned to.
/// \details Only a VM whose row is free or absent may be assigned, so that no VM is in two groups.
#pragma once

#include <cardamombay/core/ids.hpp>
#include <cardamombay/core/result.hpp>
#include <cardamombay/platform/table_store.hpp>

#include <string>

namespace cardamombay::groups {

/// \brief Name of the table with a row for each VM that has ever been assigned.
inline constexpr const char *vmTable = "vms";

/// \brief Assignment of a VM; a VM without a row is free.
struct VmRow
{
    VmId vm_;
    FabricDomain domain_;
    GroupId group_; ///< Empty if the VM is free.
    Generation generation_;
    Epoch epoch_; ///< Epoch of the planner lease of the writer.

    [[nodiscard]] bool isFree() const { return group_.isEmpty(); }
    friend bool operator==(const VmRow &, const VmRow &) = default;
};

[[nodiscard]] platform::RowKey vmKey(const VmId &vm);

/// \brief Encodes \p row as JSON.
[[nodiscard]] std::string encode(const VmRow &row);

/// \brief Decodes a VM row from JSON; MalformedMessage if that fails.
[[nodiscard]] Result<VmRow> decodeVmRow(const std::string &text);

} // namespace cardamombay::groups
