#include <cardamombay/core/hash.hpp>

#include <xxhash.h>

#include <algorithm>
#include <utility>

namespace cardamombay {

std::uint64_t stableHash(std::string_view text, std::uint64_t seed)
{
    return XXH3_64bits_withSeed(text.data(), text.size(), seed);
}

std::uint64_t rendezvousWeight(std::string_view key, std::string_view node)
{
    return stableHash(key, stableHash(node));
}

std::size_t rendezvousRank(std::string_view key, const EntryId &self,
                           std::span<const EntryId> nodes)
{
    const std::uint64_t own = rendezvousWeight(key, self.text());
    const auto isBefore = [&](const EntryId &node) {
        const std::uint64_t weight = rendezvousWeight(key, node.text());
        return weight != own ? weight > own : node > self;
    };
    return static_cast<std::size_t>(std::count_if(nodes.begin(), nodes.end(), isBefore));
}

std::vector<EntryId> rendezvousOrder(std::string_view key, std::vector<EntryId> nodes)
{
    std::sort(nodes.begin(), nodes.end(), [key](const EntryId &left, const EntryId &right) {
        return std::pair(rendezvousWeight(key, left.text()), left)
               > std::pair(rendezvousWeight(key, right.text()), right);
    });
    return nodes;
}

} // namespace cardamombay
