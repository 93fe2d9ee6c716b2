/// \file
/// \brief Selection of the entry VMs that compete for the planner lease of a fabric domain.
#pragma once

#include <cardamombay/core/ids.hpp>

#include <cstdint>
#include <optional>
#include <span>
#include <vector>

namespace cardamombay::leases {

/// \brief Number of entry VMs that compete for one lease; all others do not access its rows.
constexpr std::uint32_t candidateCount = 3;

/// \brief Rank of \p self among the candidates for \p domain, by rendezvous hashing.
/// \param domain fabric domain of the lease.
/// \param self entry VM to rank.
/// \param alive live entry VMs; \p self is included even if it is not listed.
/// \param count number of candidates.
/// \returns the rank, starting at 0, or none if \p self is not a candidate.
[[nodiscard]] std::optional<std::uint32_t> candidateRank(const FabricDomain &domain,
                                                         const EntryId &self,
                                                         std::span<const EntryId> alive,
                                                         std::uint32_t count = candidateCount);

/// \brief The candidates for \p domain among \p alive, ordered by rank.
[[nodiscard]] std::vector<EntryId> candidates(const FabricDomain &domain,
                                              std::vector<EntryId> alive,
                                              std::uint32_t count = candidateCount);

} // namespace cardamombay::leases
