#include <cardamombay/core/hash.hpp>

#include <xxhash.h>

namespace cardamombay {

std::uint64_t stableHash(std::string_view text, std::uint64_t seed)
{
    return XXH3_64bits_withSeed(text.data(), text.size(), seed);
}

std::uint64_t rendezvousWeight(std::string_view key, std::string_view node)
{
    return stableHash(key, stableHash(node));
}

} // namespace cardamombay
