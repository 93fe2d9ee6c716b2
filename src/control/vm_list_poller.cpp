#include <cardamombay/control/vm_list_poller.hpp>

#include <algorithm>
#include <utility>

namespace cardamombay::control {

namespace {

constexpr Duration wantedWithin = std::chrono::milliseconds(500);
constexpr double jitterShare = 0.2;

} // namespace

VmListPoller::VmListPoller(Clock &clock, platform::VmDirectory &directory, Random random,
                           Duration often, Duration seldom)
    : clock_(clock)
    , directory_(directory)
    , random_(random)
    , often_(often)
    , seldom_(seldom)
{
}

VmListPoller::~VmListPoller()
{
    clock_.cancel(timer_);
}

void VmListPoller::start()
{
    ask();
}

void VmListPoller::setPoller(bool isPoller)
{
    const bool becomesPoller = isPoller && !isPoller_;
    isPoller_ = isPoller;
    if (becomesPoller)
        want();
}

void VmListPoller::want()
{
    if (isAsking_ || dueAt_ <= clock_.now() + wantedWithin)
        return;
    arm(wantedWithin);
}

void VmListPoller::arm(Duration delay)
{
    clock_.cancel(timer_);
    dueAt_ = clock_.now() + delay;
    timer_ = clock_.schedule(delay, [this] { ask(); });
}

void VmListPoller::ask()
{
    isAsking_ = true;
    directory_.list(
        [this, isAlive = std::weak_ptr<bool>(isAlive_)](Result<platform::VmList> result) {
            if (isAlive.expired())
                return;
            isAsking_ = false;
            arm(period());
            if (isOk(result))
                take(std::move(valueOf(result)));
        });
}

void VmListPoller::take(platform::VmList list)
{
    const TimePoint takenAt = clock_.now() - list.age_;
    if (hasList_ && takenAt < takenAt_)
        return;
    hasList_ = true;
    takenAt_ = takenAt;
    list_ = std::move(list);
    if (changed_)
        changed_();
}

Duration VmListPoller::period()
{
    const Duration base = isPoller_ ? often_ : seldom_;
    const double factor = 1.0 + jitterShare * (random_.unit() - 0.5);
    return std::chrono::duration_cast<Duration>(base * factor);
}

} // namespace cardamombay::control
