/// \file
/// \brief Approximate index of which group holds which prompt prefix in its cache.
/// \details Estimates only: a wrong entry costs a cache miss, never a wrong answer. Memory is fixed
/// at construction; old entries lapse.
#pragma once

#include <cardamombay/core/time.hpp>

#include <array>
#include <cstddef>
#include <cstdint>
#include <span>
#include <vector>

namespace cardamombay::routing {

/// \brief Owner of cached blocks: a small number that the router gives to a group.
using OwnerIndex = std::uint32_t;

/// \brief Owners that probably hold one block.
struct PrefixHolders
{
    static constexpr std::size_t limit = 8;

    std::array<OwnerIndex, limit> owners_{};
    std::size_t count_ = 0;

    [[nodiscard]] std::span<const OwnerIndex> all() const { return {owners_.data(), count_}; }
};

/// \brief Set-associative table from block hash to owners, of fixed size.
/// \details Each bucket holds eight (block, owner) pairs and drops the oldest when it is full, so
/// memory and the time of every operation are bounded whatever the traffic. The index is a hint:
/// a wrong entry costs a prefill, never a wrong answer. Entries lapse after a life time, and all
/// entries of an owner are dropped at once by moving the owner's trust forward.
class PrefixIndex
{
public:
    /// \param entries number of pairs kept, rounded up to a power of two; 16 bytes each.
    /// \param life how long an unconfirmed entry is believed.
    PrefixIndex(std::size_t entries, Duration life);

    /// \brief Notes that \p owner holds \p blocks from now on.
    void add(std::span<const std::uint64_t> blocks, OwnerIndex owner, TimePoint now);

    /// \brief Notes that \p owner no longer holds \p blocks.
    void remove(std::span<const std::uint64_t> blocks, OwnerIndex owner);

    /// \brief Forgets what \p owner was believed to hold before \p since.
    void distrustBefore(OwnerIndex owner, TimePoint since);

    /// \brief Number of leading blocks of \p blocks that some owner holds.
    [[nodiscard]] std::size_t matchedBlocks(std::span<const std::uint64_t> blocks,
                                            TimePoint now) const;

    /// \brief Owners that hold \p block.
    [[nodiscard]] PrefixHolders holders(std::uint64_t block, TimePoint now) const;

private:
    using Tick = std::uint32_t; ///< Tenths of a second; zero marks a free slot.

    struct Slot
    {
        std::uint64_t block_ = 0;
        OwnerIndex owner_ = 0;
        Tick stamp_ = 0;
    };
    struct alignas(64) Bucket
    {
        std::array<Slot, PrefixHolders::limit> slots_;
    };

    [[nodiscard]] static Tick tickOf(TimePoint time);
    [[nodiscard]] Tick oldestValid(TimePoint now) const;
    [[nodiscard]] const Bucket &bucketOf(std::uint64_t block) const;
    [[nodiscard]] bool isValid(const Slot &slot, Tick oldest) const;
    void addOne(std::uint64_t block, OwnerIndex owner, Tick tick);

    Duration life_;
    std::vector<Bucket> buckets_;
    std::vector<Tick> trustedSince_; ///< By owner.
};

} // namespace cardamombay::routing
