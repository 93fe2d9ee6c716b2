/// \file
/// \brief The row of a claim in the table service.
/// \details Decides what of a claim is kept in the table service and how it is read back; a row
/// that cannot be read is an error, never an absent claim. It writes nothing itself.
#pragma once

#include <cardamombay/claims/claim.hpp>
#include <cardamombay/core/result.hpp>
#include <cardamombay/platform/table_store.hpp>

#include <string>
#include <string_view>

namespace cardamombay::claims {

/// \brief Table of the claims.
inline constexpr std::string_view claimTable = "claims";

/// \brief Who wrote a claim; unique for each claim.
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
    StoredOutcome stored_;   ///< If finished.
    std::string objectName_; ///< Where the body is; empty if it is in stored_.

    friend bool operator==(const ClaimRow &, const ClaimRow &) = default;
};

/// \brief Row key "team/hash of the idempotency key".
[[nodiscard]] platform::RowKey rowKeyOf(const TeamName &team, const IdempotencyKey &key);

/// \brief JSON text of \p row.
[[nodiscard]] std::string encode(const ClaimRow &row);

/// \brief Reads the JSON text of a row; MalformedMessage if it is none.
[[nodiscard]] Result<ClaimRow> decodeClaimRow(std::string_view text);

} // namespace cardamombay::claims
