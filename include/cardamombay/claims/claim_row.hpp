/// \file
/// \brief Format of a claim row in the table service.
/// \details Encodes and decodes claim rows; it does not access the table service. A row that cannot
/// be decoded is an error and is never treated as an absent claim.
#pragma once

#include <cardamombay/claims/claim.hpp>
#include <cardamombay/core/result.hpp>
#include <cardamombay/platform/table_store.hpp>

#include <string>
#include <string_view>

namespace cardamombay::claims {

/// \brief Name of the table that stores claims.
inline constexpr std::string_view claimTable = "claims";

/// \brief Identifies the writer of a claim; unique for each claim.
struct ClaimOwner
{
    EntryId entry_;
    Incarnation incarnation_;
    ClaimNumber claim_;

    friend bool operator==(const ClaimOwner &, const ClaimOwner &) = default;
};

/// \brief Content of a claim row.
struct ClaimRow
{
    IdempotencyKey key_;
    std::string requestHash_;
    ClaimOwner owner_;
    bool isFinished_ = false;
    StoredOutcome stored_;   ///< Set if isFinished_.
    std::string objectName_; ///< Object that stores the body; empty if it is in stored_.

    friend bool operator==(const ClaimRow &, const ClaimRow &) = default;
};

/// \brief Returns the row key, "team/hash of the idempotency key".
[[nodiscard]] platform::RowKey rowKeyOf(const TeamName &team, const IdempotencyKey &key);

/// \brief Encodes \p row as JSON.
[[nodiscard]] std::string encode(const ClaimRow &row);

/// \brief Decodes a row from JSON; fails with MalformedMessage if it is malformed.
[[nodiscard]] Result<ClaimRow> decodeClaimRow(std::string_view text);

} // namespace cardamombay::claims
