/// \file
/// \brief What an engine says about its prefix cache.
#pragma once

#include <cardamombay/core/ids.hpp>

#include <cstdint>
#include <vector>

namespace cardamombay::routing {

/// \brief What happened to the blocks of a cache event.
enum class CacheEventKind {
    Stored,  ///< The blocks are in the cache.
    Removed, ///< The blocks were evicted.
    Cleared  ///< The whole cache was dropped; no blocks are listed.
};

/// \brief One cache event of a group, numbered by the engine without gaps at its source.
struct CacheEvent
{
    GroupId group_;
    Generation generation_;
    std::uint64_t sequence_ = 0;
    CacheEventKind kind_ = CacheEventKind::Stored;
    std::vector<std::uint64_t> blocks_; ///< Hashes as prefixHashes() gives them.
};

} // namespace cardamombay::routing
