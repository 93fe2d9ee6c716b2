/// \file
/// \brief Block hashes of a prompt, the keys of the prefix index.
#pragma once

#include <cstddef>
#include <cstdint>
#include <string_view>
#include <vector>

namespace cardamombay::routing {

inline constexpr std::size_t prefixBlockBytes = 256; ///< About 64 tokens of text.
inline constexpr std::size_t maxPrefixBlocks = 128;  ///< 32 KB; the rest is not hashed.

/// \brief Chained hashes of the complete blocks of \p prompt; equal hashes mean equal prefixes.
/// \param prompt the text that the engine will prefill, as one string.
/// \returns one hash per complete block, at most maxPrefixBlocks, each covering the prompt up to
/// the end of its block; empty for a prompt shorter than one block.
[[nodiscard]] std::vector<std::uint64_t> prefixHashes(std::string_view prompt);

} // namespace cardamombay::routing
