/// \file
/// \brief The row of an endpoint VM: the group it is assigned to.
/// \details Decides what of a VM's assignment is kept in the table service. A VM is free only if
/// its row says so; this keeps it out of two groups.
#pragma once

#include <cardamombay/core/ids.hpp>
#include <cardamombay/core/result.hpp>
#include <cardamombay/platform/table_store.hpp>

#include <string>

namespace cardamombay::groups {

/// \brief Name of the table with a row for each VM that was ever assigned.
inline constexpr const char *vmTable = "vms";

/// \brief Assignment of a VM; a VM without a row is free.
struct VmRow
{
    VmId vm_;
    FabricDomain domain_;
    GroupId group_; ///< Empty if the VM is free.
    Generation generation_;
    Epoch epoch_; ///< Of the planner lease under which it was written.

    [[nodiscard]] bool isFree() const { return group_.isEmpty(); }
    friend bool operator==(const VmRow &, const VmRow &) = default;
};

[[nodiscard]] platform::RowKey vmKey(const VmId &vm);

/// \brief JSON text of \p row.
[[nodiscard]] std::string encode(const VmRow &row);

/// \brief Reads the JSON text of a VM row; MalformedMessage if it is none.
[[nodiscard]] Result<VmRow> decodeVmRow(const std::string &text);

} // namespace cardamombay::groups
