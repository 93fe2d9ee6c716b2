/// \file
/// \brief Events of an engine's prefix cache.
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

/// \brief One cache event of a group. The engine numbers its events consecutively, so that a lost
/// event shows as a gap.
struct CacheEvent
{
    GroupId group_;
    Generation generation_;
    std::uint64_t sequence_ = 0;
    CacheEventKind kind_ = CacheEventKind::Stored;
    std::vector<std::uint64_t> blocks_; ///< Hashes as computed by prefixHashes().
};

} // namespace cardamombay::routing
