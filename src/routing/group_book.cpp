#include "routing/group_book.hpp"

#include <algorithm>

namespace cardamombay::routing::impl {

namespace {

constexpr Duration forgetAfter = std::chrono::minutes(5);
constexpr double newSampleWeight = 0.2;

} // namespace

void StepHistory::set(TimePoint now, std::uint32_t value)
{
    steps_[count_ % limit] = Step{now, value};
    ++count_;
}

std::uint32_t StepHistory::at(TimePoint time) const
{
    const std::size_t kept = std::min(count_, limit);
    for (std::size_t back = 1; back <= kept; ++back) {
        const Step &step = steps_[(count_ - back) % limit];
        if (step.time_ <= time)
            return step.value_;
    }
    const bool isForgotten = count_ > limit;
    return isForgotten ? steps_[count_ % limit].value_ : 0;
}

OwnerIndex GroupBook::indexOf(const GroupId &group)
{
    const auto found = indexes_.find(group);
    if (found != indexes_.end())
        return found->second;
    OwnerIndex index = static_cast<OwnerIndex>(states_.size());
    if (free_.empty()) {
        states_.emplace_back();
        inFlight_.push_back(0);
    } else {
        index = free_.back();
        free_.pop_back();
    }
    states_[index] = GroupState{};
    states_[index].group_ = group;
    states_[index].isUsed_ = true;
    inFlight_[index] = 0;
    indexes_.emplace(group, index);
    return index;
}

std::optional<OwnerIndex> GroupBook::find(const GroupId &group) const
{
    const auto found = indexes_.find(group);
    if (found == indexes_.end())
        return std::nullopt;
    return found->second;
}

void GroupBook::started(OwnerIndex index, TimePoint now)
{
    ++inFlight_[index];
    states_[index].ownInFlight_.set(now, inFlight_[index]);
}

void GroupBook::finished(OwnerIndex index, const RequestSample &sample, TimePoint now)
{
    GroupState &state = states_[index];
    if (inFlight_[index] > 0)
        --inFlight_[index];
    state.ownInFlight_.set(now, inFlight_[index]);
    if (sample.isOk_)
        learnSpeed(state, sample);
}

void GroupBook::learnSpeed(GroupState &state, const RequestSample &sample)
{
    // The time to the first token says more of the cache than of the group's speed.
    const bool hasTokens = sample.timePerToken_ > Duration::zero();
    const Duration time = hasTokens              ? sample.timePerToken_
                          : state.streamsTokens_ ? Duration::zero()
                                                 : sample.timeToFirstToken_;
    if (time <= Duration::zero())
        return;
    const double seconds = toSeconds(time);
    const double weight = std::max(newSampleWeight, 1.0 / (state.samples_ + 1));
    state.answerTime_ += weight * (seconds - state.answerTime_);
    ++state.samples_;
}

void GroupBook::formed(OwnerIndex index, Generation generation, TimePoint now)
{
    GroupState &state = states_[index];
    if (generation <= state.generation_)
        return;
    state.generation_ = generation;
    state.answerTime_ = 0;
    state.samples_ = 0;
    state.ejectedUntil_ = TimePoint{};
    state.ejections_ = 0;
    state.cacheSequence_.reset();
    index_.distrustBefore(index, now);
}

void GroupBook::forgetUnseen(TimePoint now)
{
    for (OwnerIndex index = 0; index < states_.size(); ++index) {
        GroupState &state = states_[index];
        const bool isLive = inFlight_[index] > 0 || now - state.seenAt_ < forgetAfter;
        if (!state.isUsed_ || isLive)
            continue;
        indexes_.erase(state.group_);
        state.isUsed_ = false;
        free_.push_back(index);
        index_.distrustBefore(index, now);
    }
}

} // namespace cardamombay::routing::impl
