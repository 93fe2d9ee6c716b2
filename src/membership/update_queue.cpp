#include <cardamombay/membership/update_queue.hpp>

#include <algorithm>
#include <utility>

namespace cardamombay::membership {

void UpdateQueue::add(const EntryId &id)
{
    sent_[id] = Counts{};
}

std::vector<EntryId> UpdateQueue::take(Channel channel, std::size_t limit,
                                       std::uint32_t retransmits)
{
    if (sent_.empty())
        return {};
    const auto index = static_cast<std::size_t>(channel);
    std::vector<std::pair<std::uint32_t, EntryId>> candidates;
    for (const auto &[id, counts] : sent_) {
        if (counts[index] < retransmits)
            candidates.emplace_back(counts[index], id);
    }
    std::sort(candidates.begin(), candidates.end());
    if (candidates.size() > limit)
        candidates.resize(limit);

    std::vector<EntryId> taken;
    taken.reserve(candidates.size());
    for (auto &[count, id] : candidates) {
        Counts &counts = sent_[id];
        ++counts[index];
        const bool isDone = std::all_of(counts.begin(), counts.end(),
                                        [&](std::uint32_t sent) { return sent >= retransmits; });
        if (isDone)
            sent_.erase(id);
        taken.push_back(std::move(id));
    }
    return taken;
}

} // namespace cardamombay::membership
