/// \file
/// \brief Stable hashing (xxHash) and rendezvous ranking.
#pragma once

#include <cardamombay/core/ids.hpp>

#include <cstddef>
#include <cstdint>
#include <span>
#include <string_view>
#include <vector>

namespace cardamombay {

/// \brief 64-bit hash, the same on every VM and in every release.
[[nodiscard]] std::uint64_t stableHash(std::string_view text, std::uint64_t seed = 0);

/// \brief Rendezvous weight of \p node for \p key; the highest weights own the key.
[[nodiscard]] std::uint64_t rendezvousWeight(std::string_view key, std::string_view node);

/// \brief Place of \p self among \p nodes for \p key: the number of nodes that come before it.
/// \details Every node that sees the same nodes computes the same order, without a message between
/// them. Equal weights are ordered by name.
/// \param key what the nodes share out among them.
/// \param self node that asks; it counts whether or not it is in \p nodes.
/// \param nodes the other nodes, in any order.
[[nodiscard]] std::size_t rendezvousRank(std::string_view key, const EntryId &self,
                                         std::span<const EntryId> nodes);

/// \brief Puts \p nodes into the order that rendezvousRank() counts by.
[[nodiscard]] std::vector<EntryId> rendezvousOrder(std::string_view key,
                                                   std::vector<EntryId> nodes);

} // namespace cardamombay
