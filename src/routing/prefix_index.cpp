#include <cardamombay/routing/prefix_index.hpp>

#include <algorithm>
#include <bit>

namespace cardamombay::routing {

namespace {

constexpr Duration tickLength = std::chrono::milliseconds(100);

} // namespace

PrefixIndex::PrefixIndex(std::size_t entries, Duration lifetime)
    : lifetime_(lifetime)
    , buckets_(std::bit_ceil(std::max(entries / PrefixHolders::limit, std::size_t{1})))
{
}

void PrefixIndex::add(std::span<const std::uint64_t> blocks, OwnerIndex owner, TimePoint now)
{
    if (owner >= validSince_.size())
        validSince_.resize(owner + 1, 0);
    const Tick tick = tickOf(now);
    for (const std::uint64_t block : blocks)
        addBlock(block, owner, tick);
}

void PrefixIndex::addBlock(std::uint64_t block, OwnerIndex owner, Tick tick)
{
    auto &slots = buckets_[block & (buckets_.size() - 1)].slots_;
    Slot *target = nullptr;
    for (Slot &slot : slots) {
        if (slot.block_ == block && slot.owner_ == owner) {
            target = &slot;
            break;
        }
        if (!target || slot.confirmedAt_ < target->confirmedAt_)
            target = &slot;
    }
    *target = Slot{block, owner, tick};
}

void PrefixIndex::remove(std::span<const std::uint64_t> blocks, OwnerIndex owner)
{
    for (const std::uint64_t block : blocks) {
        for (Slot &slot : buckets_[block & (buckets_.size() - 1)].slots_) {
            if (slot.block_ == block && slot.owner_ == owner)
                slot = Slot{};
        }
    }
}

void PrefixIndex::invalidateBefore(OwnerIndex owner, TimePoint since)
{
    if (owner >= validSince_.size())
        validSince_.resize(owner + 1, 0);
    validSince_[owner] = std::max(validSince_[owner], tickOf(since) + 1);
}

std::size_t PrefixIndex::matchedBlocks(std::span<const std::uint64_t> blocks, TimePoint now) const
{
    // A block is held only if all blocks before it are, so binary search finds the last match.
    std::size_t matched = 0;
    std::size_t unmatched = blocks.size() + 1;
    while (unmatched - matched > 1) {
        const std::size_t middle = matched + (unmatched - matched) / 2;
        if (holders(blocks[middle - 1], now).count_ > 0)
            matched = middle;
        else
            unmatched = middle;
    }
    return matched;
}

PrefixHolders PrefixIndex::holders(std::uint64_t block, TimePoint now) const
{
    PrefixHolders found;
    const Tick oldest = oldestValid(now);
    for (const Slot &slot : bucketOf(block).slots_) {
        if (slot.block_ == block && isValid(slot, oldest))
            found.owners_[found.count_++] = slot.owner_;
    }
    return found;
}

PrefixIndex::Tick PrefixIndex::tickOf(TimePoint time)
{
    return static_cast<Tick>(time.time_since_epoch() / tickLength) + 1;
}

PrefixIndex::Tick PrefixIndex::oldestValid(TimePoint now) const
{
    const Tick lifetime = static_cast<Tick>(lifetime_ / tickLength);
    const Tick tick = tickOf(now);
    return tick > lifetime ? tick - lifetime : 1;
}

const PrefixIndex::Bucket &PrefixIndex::bucketOf(std::uint64_t block) const
{
    return buckets_[block & (buckets_.size() - 1)];
}

bool PrefixIndex::isValid(const Slot &slot, Tick oldest) const
{
    return slot.confirmedAt_ >= oldest && slot.confirmedAt_ >= validSince_[slot.owner_];
}

} // namespace cardamombay::routing
