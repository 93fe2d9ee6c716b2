/// \file
/// \brief Approximate index of the groups that hold a prompt prefix in their cache.
/// \details A wrong entry costs a cache miss, never a wrong response. Memory is fixed at
/// construction; old entries expire.
#pragma once

#include <cardamombay/core/time.hpp>

#include <array>
#include <cstddef>
#include <cstdint>
#include <span>
#include <vector>

namespace cardamombay::routing {

/// \brief Owner of cached blocks: a small integer that the router assigns to a group.
using OwnerIndex = std::uint32_t;

/// \brief Owners that probably hold a block.
struct PrefixHolders
{
    static constexpr std::size_t limit = 8;

    std::array<OwnerIndex, limit> owners_{};
    std::size_t count_ = 0;

    [[nodiscard]] std::span<const OwnerIndex> all() const { return {owners_.data(), count_}; }
};

/// \brief Set-associative table of fixed size that maps block hashes to owners.
/// \details Each bucket holds eight (block, owner) pairs and replaces the oldest when it is full,
/// so memory and the time of every operation are bounded at any traffic. The index is a hint: a
/// wrong entry costs a prefill, never a wrong response. Entries expire after a lifetime; all
/// entries of an owner are invalidated at once by advancing the time from which they are valid.
class PrefixIndex
{
public:
    /// \param entries number of pairs kept, rounded up to a power of two; 16 bytes each.
    /// \param lifetime how long an entry is valid after it was last confirmed.
    PrefixIndex(std::size_t entries, Duration lifetime);

    /// \brief Adds entries for \p blocks of \p owner, or confirms existing ones.
    void add(std::span<const std::uint64_t> blocks, OwnerIndex owner, TimePoint now);

    /// \brief Removes the entries for \p blocks of \p owner.
    void remove(std::span<const std::uint64_t> blocks, OwnerIndex owner);

    /// \brief Invalidates the entries of \p owner last confirmed at \p since or before.
    void invalidateBefore(OwnerIndex owner, TimePoint since);

    /// \brief Number of leading \p blocks that are held, each by any owner.
    [[nodiscard]] std::size_t matchedBlocks(std::span<const std::uint64_t> blocks,
                                            TimePoint now) const;

    /// \brief Owners that probably hold \p block.
    [[nodiscard]] PrefixHolders holders(std::uint64_t block, TimePoint now) const;

private:
    using Tick = std::uint32_t; ///< Tenths of a second; zero marks a free slot.

    struct Slot
    {
        std::uint64_t block_ = 0;
        OwnerIndex owner_ = 0;
        Tick confirmedAt_ = 0;
    };
    struct alignas(64) Bucket
    {
        std::array<Slot, PrefixHolders::limit> slots_;
    };

    [[nodiscard]] static Tick tickOf(TimePoint time);
    [[nodiscard]] Tick oldestValid(TimePoint now) const;
    [[nodiscard]] const Bucket &bucketOf(std::uint64_t block) const;
    [[nodiscard]] bool isValid(const Slot &slot, Tick oldest) const;
    void addBlock(std::uint64_t block, OwnerIndex owner, Tick tick);

    Duration lifetime_;
    std::vector<Bucket> buckets_;
    std::vector<Tick> validSince_; ///< By owner.
};

} // namespace cardamombay::routing
