/// \file
/// \brief Which entry VMs contend for the lease of a fabric domain.
#pragma once

#include <cardamombay/core/ids.hpp>

#include <cstdint>
#include <optional>
#include <span>
#include <vector>

namespace cardamombay::leases {

/// \brief Entry VMs that contend for one fabric domain; the others leave its rows alone.
constexpr std::uint32_t candidateCount = 3;

/// \brief Place of \p self among the candidates of \p domain by rendezvous hashing.
/// \param domain fabric domain the lease is for.
/// \param self the entry VM that asks.
/// \param alive entry VMs believed alive; \p self counts as alive even if it is not listed.
/// \param count number of candidates.
/// \returns the rank, 0 for the first candidate, or none if \p self is not a candidate.
[[nodiscard]] std::optional<std::uint32_t> candidateRank(const FabricDomain &domain,
                                                         const EntryId &self,
                                                         std::span<const EntryId> alive,
                                                         std::uint32_t count = candidateCount);

/// \brief The candidates of \p domain among \p alive, the first one first.
[[nodiscard]] std::vector<EntryId> candidates(const FabricDomain &domain,
                                              std::vector<EntryId> alive,
                                              std::uint32_t count = candidateCount);

} // namespace cardamombay::leases
