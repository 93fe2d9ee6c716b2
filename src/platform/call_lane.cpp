#include "platform/call_lane.hpp"

#include <algorithm>
#include <utility>

namespace cardamombay::platform::impl {

namespace {

constexpr double waitJitter = 0.1;

} // namespace

CallLane::CallLane(Clock &clock, Random &random, LaneLimits limits)
    : clock_(clock)
    , random_(random)
    , limits_(limits)
    , burst_(limits.burst_)
    , tokens_(limits.burst_)
    , refilled_(clock.now())
{
}

CallLane::~CallLane()
{
    clock_.cancel(timer_);
}

void CallLane::submit(PendingCall call)
{
    if (waiting() >= limits_.waiting_) {
        call.refuse_(StoreThrottled{call.operation_, untilToken()});
        return;
    }
    call.expiry_ = clock_.now() + limits_.longestWait_;
    auto &queue = call.isUrgent_ ? urgent_ : ordinary_;
    queue.push_back(std::move(call));
    pump();
}

void CallLane::setRate(double perSecond, double burstShare)
{
    refill();
    perSecond_ = perSecond;
    burst_ = std::max(1.0, limits_.burst_ * burstShare);
    tokens_ = std::min(tokens_, burst_);
}

void CallLane::pauseUntil(TimePoint time)
{
    pausedUntil_ = std::max(pausedUntil_, time);
}

void CallLane::refuseAll(const Error &error)
{
    for (auto *queue : {&urgent_, &ordinary_}) {
        for (auto &call : std::exchange(*queue, {}))
            call.refuse_(error);
    }
}

void CallLane::refill()
{
    const std::chrono::duration<double> passed = clock_.now() - refilled_;
    refilled_ = clock_.now();
    tokens_ = std::min(burst_, tokens_ + passed.count() * perSecond_);
}

void CallLane::pump()
{
    refill();
    expire(urgent_);
    expire(ordinary_);
    while (waiting() > 0 && tokens_ >= 1 && clock_.now() >= pausedUntil_) {
        auto &queue = urgent_.empty() ? ordinary_ : urgent_;
        const PendingCall call = std::move(queue.front());
        queue.pop_front();
        tokens_ -= 1;
        call.send_();
    }
    scheduleNext();
}

void CallLane::expire(std::deque<PendingCall> &queue)
{
    while (!queue.empty() && queue.front().expiry_ <= clock_.now()) {
        const PendingCall call = std::move(queue.front());
        queue.pop_front();
        call.refuse_(StoreThrottled{call.operation_, untilToken()});
    }
}

void CallLane::scheduleNext()
{
    clock_.cancel(timer_);
    timer_ = TimerId::None;
    if (waiting() == 0)
        return;
    Duration wait = untilToken();
    // Without jitter, nodes that were stopped together would stay in step.
    wait += fromSeconds(toSeconds(wait) * waitJitter * random_.unit());
    for (const auto *queue : {&urgent_, &ordinary_}) {
        if (!queue->empty())
            wait = std::min(wait, queue->front().expiry_ - clock_.now());
    }
    timer_ = clock_.schedule(wait, [this] {
        timer_ = TimerId::None;
        pump();
    });
}

Duration CallLane::untilToken() const
{
    constexpr auto shortest = std::chrono::milliseconds(1);
    const Duration token = fromSeconds(std::max(0.0, 1 - tokens_) / perSecond_);
    return std::max<Duration>({shortest, token, pausedUntil_ - clock_.now()});
}

} // namespace cardamombay::platform::impl
