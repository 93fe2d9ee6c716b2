/// \file
/// \brief The runtime clock: the only source of time and of timers for decision logic.
#pragma once

#include <cardamombay/core/time.hpp>

#include <cstdint>
#include <functional>

namespace cardamombay {

/// \brief Handle of a scheduled timer; zero means no timer.
enum class TimerId : std::uint64_t { None = 0 };

/// \brief Monotonic time and one-shot timers.
/// \details An implementation runs all timer actions on one thread, the one that owns the objects
/// which scheduled them. Time goes on while a process is stopped, so a process that wakes sees
/// how long it was away.
class Clock
{
public:
    Clock() = default;
    Clock(const Clock &) = delete;
    Clock &operator=(const Clock &) = delete;
    virtual ~Clock() = default;

    /// \brief The present instant.
    [[nodiscard]] virtual TimePoint now() const = 0;

    /// \brief Runs \p action once, \p delay from now.
    /// \param delay time to wait; zero or less runs the action at the next turn, never inline.
    /// \param action what to run.
    /// \returns a handle for cancel().
    virtual TimerId schedule(Duration delay, std::function<void()> action) = 0;

    /// \brief Drops a timer; does nothing if it has run or was dropped.
    virtual void cancel(TimerId timer) = 0;
};

} // namespace cardamombay
