/// \file
/// \brief The rows of a planner lease in the table service.
/// \details Decides what of a lease is kept in the table service and how it is read back. The epoch
/// only rises and is the fencing number of orders; a row out of range is an error.
#pragma once

#include <cardamombay/core/ids.hpp>
#include <cardamombay/core/result.hpp>
#include <cardamombay/core/time.hpp>
#include <cardamombay/platform/table_store.hpp>

#include <cstdint>
#include <string>

namespace cardamombay::leases {

/// \brief Content of the lease row: who plans a fabric domain, and under which epoch.
struct LeaseRow
{
    EntryId holder_; ///< Empty after a release.
    Incarnation incarnation_;
    Epoch epoch_;
    Duration duration_{};       ///< From before the holder sent the renewal, on its own clock.
    std::uint64_t renewal_ = 0; ///< Rises with every renewal.

    friend bool operator==(const LeaseRow &, const LeaseRow &) = default;
};

/// \brief Key of the lease row, which every renewal rewrites.
[[nodiscard]] platform::RowKey leaseKey(const FabricDomain &domain);

/// \brief Key of the epoch row, which only a change of holder rewrites.
/// \details Transactions made under the lease put their condition on this row, so that a renewal
/// on its way never makes them fail.
[[nodiscard]] platform::RowKey epochKey(const FabricDomain &domain);

/// \brief JSON text of \p row.
[[nodiscard]] std::string encode(const LeaseRow &row);

/// \brief Reads the JSON text of a lease row; MalformedMessage if it is none.
[[nodiscard]] Result<LeaseRow> decodeLeaseRow(const std::string &text);

} // namespace cardamombay::leases
