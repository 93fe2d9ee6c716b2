#include <cardamombay/core/hash.hpp>
#include <cardamombay/routing/prefix_hashes.hpp>

#include <algorithm>

namespace cardamombay::routing {

std::vector<std::uint64_t> prefixHashes(std::string_view prompt)
{
    const std::size_t count = std::min(prompt.size() / prefixBlockBytes, maxPrefixBlocks);
    std::vector<std::uint64_t> hashes;
    hashes.reserve(count);
    std::uint64_t previous = 0;
    for (std::size_t block = 0; block < count; ++block) {
        previous = stableHash(prompt.substr(block * prefixBlockBytes, prefixBlockBytes), previous);
        hashes.push_back(previous);
    }
    return hashes;
}

} // namespace cardamombay::routing
