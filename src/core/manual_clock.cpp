#include <cardamombay/core/manual_clock.hpp>

#include <algorithm>

namespace cardamombay {

TimerId ManualClock::schedule(Duration delay, std::function<void()> action)
{
    const TimerId timer{nextTimer_++};
    const TimePoint due = now_ + std::max(delay, Duration::zero());
    timers_.emplace(Key{due, timer}, std::move(action));
    dueTimes_.emplace(timer, due);
    return timer;
}

void ManualClock::cancel(TimerId timer)
{
    const auto found = dueTimes_.find(timer);
    if (found == dueTimes_.end())
        return;
    timers_.erase(Key{found->second, timer});
    dueTimes_.erase(found);
}

void ManualClock::advance(Duration step)
{
    const TimePoint target = now_ + step;
    while (!timers_.empty() && timers_.begin()->first.first <= target) {
        auto first = timers_.extract(timers_.begin());
        dueTimes_.erase(first.key().second);
        now_ = std::max(now_, first.key().first);
        first.mapped()();
    }
    now_ = std::max(now_, target);
}

} // namespace cardamombay
