/// \file
/// \brief A clock that stands still until it is advanced; for tests, benches and replays.
#pragma once

#include <cardamombay/core/clock.hpp>

#include <map>
#include <unordered_map>
#include <utility>

namespace cardamombay {

/// \brief Paused clock; advance() runs the timers that fall due, in order of time, then of
/// scheduling.
/// \code
/// ManualClock clock;
/// clock.schedule(std::chrono::seconds(5), [] { expire(); });
/// clock.advance(std::chrono::seconds(5)); // expire() has run
/// \endcode
class ManualClock final : public Clock
{
public:
    [[nodiscard]] TimePoint now() const override { return now_; }
    TimerId schedule(Duration delay, std::function<void()> action) override;
    void cancel(TimerId timer) override;

    /// \brief Moves time forward and runs every timer that falls due on the way.
    void advance(Duration step);

    /// \brief Moves time without running timers, as when a process is paused; the timers that
    /// fell due run at the next advance().
    void jump(Duration step) { now_ += step; }

    /// \brief Runs what is due now; same as advance(0).
    void runDue() { advance(Duration::zero()); }

    /// \brief Number of timers that wait.
    [[nodiscard]] std::size_t pendingTimers() const { return timers_.size(); }

private:
    using Key = std::pair<TimePoint, TimerId>;

    TimePoint now_{std::chrono::hours(1)};
    std::uint64_t nextTimer_ = 1;
    std::map<Key, std::function<void()>> timers_;
    std::unordered_map<TimerId, TimePoint> dueTimes_;
};

} // namespace cardamombay
