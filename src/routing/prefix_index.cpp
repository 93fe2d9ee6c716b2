#include <cardamombay/routing/prefix_index.hpp>

#include <algorithm>
#include <bit>

namespace cardamombay::routing {

namespace {

constexpr Duration tickLength = std::chrono::milliseconds(100);

} // namespace

PrefixIndex::PrefixIndex(std::size_t entries, Duration life)
    : life_(life)
    , buckets_(std::bit_ceil(std::max(entries / PrefixHolders::limit, std::size_t{1})))
{
}

void PrefixIndex::add(std::span<const std::uint64_t> blocks, OwnerIndex owner, TimePoint now)
{
    if (owner >= trustedSince_.size())
        trustedSince_.resize(owner + 1, 0);
    const Tick tick = tickOf(now);
    for (const std::uint64_t block : blocks)
        addOne(block, owner, tick);
}

void PrefixIndex::addOne(std::uint64_t block, OwnerIndex owner, Tick tick)
{
    auto &slots = buckets_[block & (buckets_.size() - 1)].slots_;
    Slot *target = nullptr;
    for (Slot &slot : slots) {
        if (slot.block_ == block && slot.owner_ == owner) {
            target = &slot;
            break;
        }
        if (!target || slot.stamp_ < target->stamp_)
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

void PrefixIndex::distrustBefore(OwnerIndex owner, TimePoint since)
{
    if (owner >= trustedSince_.size())
        trustedSince_.resize(owner + 1, 0);
    trustedSince_[owner] = std::max(trustedSince_[owner], tickOf(since) + 1);
}

std::size_t PrefixIndex::matchedBlocks(std::span<const std::uint64_t> blocks, TimePoint now) const
{
    // A block is held only with everything before it, so the end of the match can be bisected.
    std::size_t known = 0;
    std::size_t unknown = blocks.size() + 1;
    while (unknown - known > 1) {
        const std::size_t middle = known + (unknown - known) / 2;
        if (holders(blocks[middle - 1], now).count_ > 0)
            known = middle;
        else
            unknown = middle;
    }
    return known;
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
    const Tick life = static_cast<Tick>(life_ / tickLength);
    const Tick tick = tickOf(now);
    return tick > life ? tick - life : 1;
}

const PrefixIndex::Bucket &PrefixIndex::bucketOf(std::uint64_t block) const
{
    return buckets_[block & (buckets_.size() - 1)];
}

bool PrefixIndex::isValid(const Slot &slot, Tick oldest) const
{
    return slot.stamp_ >= oldest && slot.stamp_ >= trustedSince_[slot.owner_];
}

} // namespace cardamombay::routing
