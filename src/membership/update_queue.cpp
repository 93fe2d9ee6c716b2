#include <cardamombay/membership/update_queue.hpp>

#include <algorithm>
#include <utility>

namespace cardamombay::membership {

void UpdateQueue::add(const EntryId &id, TimePoint now)
{
    updates_[id] = Update{{}, now};
}

void UpdateQueue::dropBefore(TimePoint limit)
{
    std::erase_if(updates_, [limit](const auto &item) { return item.second.addedAt_ < limit; });
}

std::vector<EntryId> UpdateQueue::take(Channel channel, std::size_t limit,
                                       std::uint32_t retransmits)
{
    if (updates_.empty())
        return {};
    const auto index = static_cast<std::size_t>(channel);
    std::vector<std::pair<std::uint32_t, EntryId>> candidates;
    for (const auto &[id, update] : updates_) {
        if (update.sent_[index] < retransmits)
            candidates.emplace_back(update.sent_[index], id);
    }
    std::sort(candidates.begin(), candidates.end());
    if (candidates.size() > limit)
        candidates.resize(limit);

    std::vector<EntryId> taken;
    taken.reserve(candidates.size());
    for (auto &[count, id] : candidates) {
        auto &sent = updates_[id].sent_;
        ++sent[index];
        const bool isDone = std::all_of(sent.begin(), sent.end(),
                                        [&](std::uint32_t times) { return times >= retransmits; });
        if (isDone)
            updates_.erase(id);
        taken.push_back(std::move(id));
    }
    return taken;
}

} // namespace cardamombay::membership
