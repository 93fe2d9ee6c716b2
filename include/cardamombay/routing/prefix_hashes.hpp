/// \file
/// \brief Block hashes of a prompt, the keys of prefix-cache affinity.
#pragma once

#include <cstddef>
#include <cstdint>
#include <string_view>
#include <vector>

namespace cardamombay::routing {

inline constexpr std::size_t prefixBlockBytes = 256; ///< About 64 tokens of text.
inline constexpr std::size_t maxPrefixBlocks = 128;  ///< Longer prompts share their first 32 KB.

/// \brief Chained hashes of the whole blocks of \p prompt; equal hashes mean equal prefixes.
/// \param prompt the text the engine will prefill, as one string.
/// \returns one hash for each whole block, each covering everything before it; empty for a prompt
/// shorter than one block.
[[nodiscard]] std::vector<std::uint64_t> prefixHashes(std::string_view prompt);

} // namespace cardamombay::routing
