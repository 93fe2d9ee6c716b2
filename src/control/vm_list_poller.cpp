#include <cardamombay/control/vm_list_poller.hpp>

#include <algorithm>
#include <utility>

namespace cardamombay::control {

namespace {

constexpr Duration fetchSoonDelay = std::chrono::milliseconds(500);
constexpr double jitterFraction = 0.2;

} // namespace

VmListPoller::VmListPoller(Clock &clock, platform::VmDirectory &directory, Random random,
                           Duration pollerInterval, Duration idleInterval)
    : clock_(clock)
    , directory_(directory)
    , random_(random)
    , pollerInterval_(pollerInterval)
    , idleInterval_(idleInterval)
{
}

VmListPoller::~VmListPoller()
{
    clock_.cancel(timer_);
}

void VmListPoller::start()
{
    fetch();
}

void VmListPoller::setPoller(bool isPoller)
{
    const bool becomesPoller = isPoller && !isPoller_;
    isPoller_ = isPoller;
    if (becomesPoller)
        fetchSoon();
}

void VmListPoller::fetchSoon()
{
    if (isFetching_ || dueAt_ <= clock_.now() + fetchSoonDelay)
        return;
    scheduleFetch(fetchSoonDelay);
}

void VmListPoller::scheduleFetch(Duration delay)
{
    clock_.cancel(timer_);
    dueAt_ = clock_.now() + delay;
    timer_ = clock_.schedule(delay, [this] { fetch(); });
}

void VmListPoller::fetch()
{
    isFetching_ = true;
    directory_.list(
        [this, isAlive = std::weak_ptr<bool>(isAlive_)](Result<platform::VmList> result) {
            if (isAlive.expired())
                return;
            isFetching_ = false;
            scheduleFetch(period());
            if (isOk(result))
                accept(std::move(valueOf(result)));
        });
}

void VmListPoller::accept(platform::VmList list)
{
    const TimePoint takenAt = clock_.now() - list.age_;
    if (hasList_ && takenAt < takenAt_)
        return;
    hasList_ = true;
    takenAt_ = takenAt;
    list_ = std::move(list);
    if (listHandler_)
        listHandler_();
}

Duration VmListPoller::period()
{
    const Duration base = isPoller_ ? pollerInterval_ : idleInterval_;
    const double factor = 1.0 + jitterFraction * (random_.unit() - 0.5);
    return std::chrono::duration_cast<Duration>(base * factor);
}

} // namespace cardamombay::control
