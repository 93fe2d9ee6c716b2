/// \file
/// \brief Rows of a planner lease in the table service, and their JSON encoding.
/// \details The epoch increases monotonically and is the fencing token of orders. Decoding rejects
/// out-of-range values.
#pragma once

#include <cardamombay/core/ids.hpp>
#include <cardamombay/core/result.hpp>
#include <cardamombay/core/time.hpp>
#include <cardamombay/platform/table_store.hpp>

#include <cstdint>
#include <string>

namespace cardamombay::leases {

/// \brief Content of the lease row: the planner of a fabric domain and its epoch.
struct LeaseRow
{
    EntryId holder_; ///< Empty after a release.
    Incarnation incarnation_;
    Epoch epoch_;
    Duration duration_{};       ///< Starts when the holder sends the renewal, on its own clock.
    std::uint64_t renewal_ = 0; ///< Incremented by each renewal.

    friend bool operator==(const LeaseRow &, const LeaseRow &) = default;
};

/// \brief Key of the lease row, which is rewritten by each renewal.
[[nodiscard]] platform::RowKey leaseKey(const FabricDomain &domain);

/// \brief Key of the epoch row, which is rewritten only when the holder changes.
/// \details Transactions made under the lease are conditional on this row rather than the lease
/// row, so that a concurrent renewal does not make them fail.
[[nodiscard]] platform::RowKey epochKey(const FabricDomain &domain);

/// \brief Encodes \p row as JSON.
[[nodiscard]] std::string encode(const LeaseRow &row);

/// \brief Decodes a lease row from JSON.
/// \returns the row, or MalformedMessage if \p text is not a valid lease row.
[[nodiscard]] Result<LeaseRow> decodeLeaseRow(const std::string &text);

} // namespace cardamombay::leases
