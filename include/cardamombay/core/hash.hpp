/// \file
/// \brief Stable hashing (xxHash) and rendezvous ranking.
#pragma once

#include <cstdint>
#include <string_view>

namespace cardamombay {

/// \brief 64-bit hash, the same on every VM and in every release.
[[nodiscard]] std::uint64_t stableHash(std::string_view text, std::uint64_t seed = 0);

/// \brief Rendezvous weight of \p node for \p key; the highest weights own the key.
[[nodiscard]] std::uint64_t rendezvousWeight(std::string_view key, std::string_view node);

} // namespace cardamombay
