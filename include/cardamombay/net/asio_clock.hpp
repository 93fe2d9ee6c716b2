/// \file
/// \brief The real clock, on a Boost.Asio event loop.
/// \details The only clock of the running programs; tests use ManualClock. Timers run on the thread
/// of the event loop, never inline.
#pragma once

#include <cardamombay/core/clock.hpp>

#include <memory>

namespace boost::asio {
class io_context;
} // namespace boost::asio

namespace cardamombay::net {

/// \brief Clock of a running daemon; timers run on the thread that runs the io_context.
/// \details Reads CLOCK_BOOTTIME, which goes on while the VM is suspended: a holder of a lease
/// that wakes up sees at once how long it was away, and timers that fell due meanwhile run. Only
/// the thread of the io_context may call schedule() and cancel(); any thread may call now().
/// \code
/// boost::asio::io_context context;
/// net::AsioClock clock(context);
/// clock.schedule(std::chrono::seconds(1), [] { renew(); });
/// context.run();
/// \endcode
class AsioClock final : public Clock
{
public:
    explicit AsioClock(boost::asio::io_context &context);
    ~AsioClock() override;

    [[nodiscard]] TimePoint now() const override;
    TimerId schedule(Duration delay, std::function<void()> action) override;
    void cancel(TimerId timer) override;

private:
    struct Impl;
    std::shared_ptr<Impl> impl_;
};

} // namespace cardamombay::net
