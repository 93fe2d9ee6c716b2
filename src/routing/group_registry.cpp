#include "routing/group_registry.hpp"

#include <algorithm>

namespace cardamombay::routing::impl {

namespace {

constexpr Duration unseenGroupLifetime = std::chrono::minutes(5);
constexpr double minimumSampleWeight = 0.2;

} // namespace

void CountHistory::set(TimePoint now, std::uint32_t value)
{
    changes_[count_ % limit] = Change{now, value};
    ++count_;
}

std::uint32_t CountHistory::at(TimePoint time) const
{
    const std::size_t kept = std::min(count_, limit);
    for (std::size_t back = 1; back <= kept; ++back) {
        const Change &change = changes_[(count_ - back) % limit];
        if (change.time_ <= time)
            return change.value_;
    }
    const bool hasOverflowed = count_ > limit;
    return hasOverflowed ? changes_[count_ % limit].value_ : 0;
}

OwnerIndex GroupRegistry::findOrAdd(const GroupId &group)
{
    const auto found = indexes_.find(group);
    if (found != indexes_.end())
        return found->second;
    OwnerIndex index = static_cast<OwnerIndex>(states_.size());
    if (freeIndexes_.empty()) {
        states_.emplace_back();
        inFlight_.push_back(0);
    } else {
        index = freeIndexes_.back();
        freeIndexes_.pop_back();
    }
    states_[index] = GroupState{};
    states_[index].group_ = group;
    states_[index].isUsed_ = true;
    inFlight_[index] = 0;
    indexes_.emplace(group, index);
    return index;
}

std::optional<OwnerIndex> GroupRegistry::find(const GroupId &group) const
{
    const auto found = indexes_.find(group);
    if (found == indexes_.end())
        return std::nullopt;
    return found->second;
}

void GroupRegistry::started(OwnerIndex index, TimePoint now)
{
    ++inFlight_[index];
    states_[index].ownInFlight_.set(now, inFlight_[index]);
}

void GroupRegistry::finished(OwnerIndex index, const RequestSample &sample, TimePoint now)
{
    GroupState &state = states_[index];
    if (inFlight_[index] > 0)
        --inFlight_[index];
    state.ownInFlight_.set(now, inFlight_[index]);
    if (sample.isOk_)
        updateResponseTime(state, sample);
}

void GroupRegistry::updateResponseTime(GroupState &state, const RequestSample &sample)
{
    // The time to the first token depends more on the cache than on the group's speed.
    const bool hasTokens = sample.timePerToken_ > Duration::zero();
    const Duration time = hasTokens              ? sample.timePerToken_
                          : state.streamsTokens_ ? Duration::zero()
                                                 : sample.timeToFirstToken_;
    if (time <= Duration::zero())
        return;
    const double seconds = toSeconds(time);
    const double weight = std::max(minimumSampleWeight, 1.0 / (state.samples_ + 1));
    state.meanResponseSeconds_ += weight * (seconds - state.meanResponseSeconds_);
    ++state.samples_;
}

void GroupRegistry::observeGeneration(OwnerIndex index, Generation generation, TimePoint now)
{
    GroupState &state = states_[index];
    if (generation <= state.generation_)
        return;
    state.generation_ = generation;
    state.meanResponseSeconds_ = 0;
    state.samples_ = 0;
    state.ejectedUntil_ = TimePoint{};
    state.consecutiveEjections_ = 0;
    state.lastCacheSequence_.reset();
    index_.invalidateBefore(index, now);
}

void GroupRegistry::evictUnseen(TimePoint now)
{
    for (OwnerIndex index = 0; index < states_.size(); ++index) {
        GroupState &state = states_[index];
        const bool isLive = inFlight_[index] > 0 || now - state.lastSeenAt_ < unseenGroupLifetime;
        if (!state.isUsed_ || isLive)
            continue;
        indexes_.erase(state.group_);
        state.isUsed_ = false;
        freeIndexes_.push_back(index);
        index_.invalidateBefore(index, now);
    }
}

} // namespace cardamombay::routing::impl
