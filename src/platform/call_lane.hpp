/// \file
/// \brief Token bucket with a bounded queue, for calls of one kind.
#pragma once

#include <cardamombay/core/clock.hpp>
#include <cardamombay/core/error.hpp>
#include <cardamombay/core/random.hpp>

#include <deque>
#include <functional>

namespace cardamombay::platform::impl {

/// \brief A call that can be sent or refused.
struct PendingCall
{
    std::string operation_;
    bool isUrgent_ = false;
    std::function<void()> send_;
    std::function<void(Error)> refuse_; ///< May be called inline; the owner defers the answer.
    TimePoint expiry_{};
};

/// \brief Bounds of a lane.
struct LaneLimits
{
    double burst_ = 1;
    std::size_t waiting_ = 1;
    Duration longestWait_{};
};

/// \brief Sends calls at a rate; urgent ones first, otherwise in order.
class CallLane
{
public:
    CallLane(Clock &clock, Random &random, LaneLimits limits);
    ~CallLane();
    CallLane(const CallLane &) = delete;
    CallLane &operator=(const CallLane &) = delete;

    /// \brief Sends the call now or when its turn comes, or refuses it.
    void submit(PendingCall call);

    /// \brief Sets the rate and the share of the burst that may be used.
    void setRate(double perSecond, double burstShare);

    /// \brief Sends nothing before \p time.
    void pauseUntil(TimePoint time);

    /// \brief Refuses all that wait.
    void refuseAll(const Error &error);

    [[nodiscard]] std::size_t waiting() const { return urgent_.size() + ordinary_.size(); }

private:
    void refill();
    void pump();
    void expire(std::deque<PendingCall> &queue);
    void scheduleNext();
    [[nodiscard]] Duration untilToken() const;

    Clock &clock_;
    Random &random_;
    LaneLimits limits_;
    double perSecond_ = 1;
    double burst_ = 1;
    double tokens_ = 1;
    TimePoint refilled_;
    TimePoint pausedUntil_{};
    TimerId timer_ = TimerId::None;
    std::deque<PendingCall> urgent_;
    std::deque<PendingCall> ordinary_;
};

} // namespace cardamombay::platform::impl
