#include <cardamombay/net/asio_clock.hpp>

#include <boost/asio/io_context.hpp>
#include <boost/asio/posix/stream_descriptor.hpp>

#include <sys/timerfd.h>
#include <unistd.h>

#include <algorithm>
#include <cerrno>
#include <ctime>
#include <map>
#include <system_error>
#include <unordered_map>
#include <utility>
#include <vector>

namespace cardamombay::net {

namespace {

using boost::asio::posix::stream_descriptor;

TimePoint bootTime()
{
    timespec now{};
    ::clock_gettime(CLOCK_BOOTTIME, &now);
    return TimePoint(std::chrono::seconds(now.tv_sec) + std::chrono::nanoseconds(now.tv_nsec));
}

int makeTimerDescriptor()
{
    const int descriptor = ::timerfd_create(CLOCK_BOOTTIME, TFD_NONBLOCK | TFD_CLOEXEC);
    if (descriptor < 0)
        throw std::system_error(errno, std::generic_category(), "timerfd_create");
    return descriptor;
}

} // namespace

// Asio's own timers wait on the monotonic clock, which stands still in a suspended VM. One
// descriptor on CLOCK_BOOTTIME carries the earliest timer in their place.
struct AsioClock::Impl : std::enable_shared_from_this<AsioClock::Impl>
{
    using Key = std::pair<TimePoint, TimerId>;

    explicit Impl(boost::asio::io_context &context)
        : descriptor_(context, makeTimerDescriptor())
    {
    }

    void arm()
    {
        if (timers_.empty() || isRunning_)
            return;
        setDescriptor(timers_.begin()->first.first);
        if (std::exchange(isWaiting_, true))
            return;
        descriptor_.async_wait(
            stream_descriptor::wait_read,
            [self = shared_from_this()](const boost::system::error_code &failure) {
                self->isWaiting_ = false;
                if (!failure)
                    self->runDue();
            });
    }

    void setDescriptor(TimePoint due)
    {
        // A zero value would disarm the descriptor.
        const Duration value = std::max(due.time_since_epoch(), Duration(1));
        const auto whole = std::chrono::duration_cast<std::chrono::seconds>(value);
        itimerspec setting{};
        setting.it_value.tv_sec = whole.count();
        setting.it_value.tv_nsec = (value - whole).count();
        ::timerfd_settime(descriptor_.native_handle(), TFD_TIMER_ABSTIME, &setting, nullptr);
    }

    void runDue()
    {
        // Timers scheduled by these actions wait for the next turn, so that I/O gets its turn too.
        const auto end = timers_.upper_bound(Key{bootTime(), TimerId(nextTimer_)});
        std::vector<Key> due;
        for (auto timer = timers_.begin(); timer != end; ++timer)
            due.push_back(timer->first);
        isRunning_ = true;
        for (const auto &key : due) {
            auto timer = timers_.extract(key);
            if (timer.empty())
                continue; // Cancelled by an earlier action.
            dueTimes_.erase(key.second);
            timer.mapped()();
        }
        isRunning_ = false;
        arm();
    }

    void close()
    {
        timers_.clear();
        dueTimes_.clear();
        boost::system::error_code ignored;
        descriptor_.close(ignored);
    }

    stream_descriptor descriptor_;
    bool isWaiting_ = false;
    bool isRunning_ = false;
    std::uint64_t nextTimer_ = 1;
    std::map<Key, std::function<void()>> timers_;
    std::unordered_map<TimerId, TimePoint> dueTimes_;
};

AsioClock::AsioClock(boost::asio::io_context &context)
    : impl_(std::make_shared<Impl>(context))
{
}

AsioClock::~AsioClock()
{
    impl_->close();
}

TimePoint AsioClock::now() const
{
    return bootTime();
}

TimerId AsioClock::schedule(Duration delay, std::function<void()> action)
{
    const TimerId timer{impl_->nextTimer_++};
    const TimePoint due = bootTime() + std::max(delay, Duration::zero());
    const auto place = impl_->timers_.emplace(Impl::Key{due, timer}, std::move(action)).first;
    impl_->dueTimes_.emplace(timer, due);
    if (place == impl_->timers_.begin())
        impl_->arm();
    return timer;
}

void AsioClock::cancel(TimerId timer)
{
    const auto found = impl_->dueTimes_.find(timer);
    if (found == impl_->dueTimes_.end())
        return;
    impl_->timers_.erase(Impl::Key{found->second, timer});
    impl_->dueTimes_.erase(found);
}

} // namespace cardamombay::net
