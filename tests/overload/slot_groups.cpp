#include "overload/slot_groups.hpp"

#include <algorithm>

namespace cardamombay::fixture {

namespace {

constexpr Duration sweepPeriod = std::chrono::milliseconds(20);

} // namespace

SlotGroups::SlotGroups(ManualClock &clock, Random &random, std::size_t groups, SlotEvents events)
    : clock_(clock)
    , random_(random)
    , events_(std::move(events))
{
    slots_.fill(groups * slotsPerGroup);
    clock_.schedule(sweepPeriod, [this] { sweep(); });
}

bool SlotGroups::reaches(std::size_t fromZone, std::size_t zone) const
{
    return fromZone == zone || !cutOff_ || (fromZone != *cutOff_ && zone != *cutOff_);
}

std::size_t SlotGroups::freeSlots(std::size_t zone) const
{
    return slots_[zone] - std::min(slots_[zone], busy_[zone]);
}

bool SlotGroups::send(const SlotRequest &request)
{
    if (start(request))
        return true;
    waiting_.emplace(std::pair(request.rank_, ++arrivals_), request);
    return false;
}

bool SlotGroups::start(const SlotRequest &request)
{
    std::optional<std::size_t> best;
    for (std::size_t zone = 0; zone < zones; ++zone) {
        if (reaches(request.entry_ % zones, zone)
            && freeSlots(zone) > (best ? freeSlots(*best) : 0))
            best = zone;
    }
    if (!best)
        return false;
    ++busy_[*best];
    events_.started_(request);
    const double seconds = meanServiceSeconds * serviceFactor_ * (0.5 + random_.unit());
    clock_.schedule(fromSeconds(seconds), [this, request, zone = *best, seconds] {
        --busy_[zone];
        events_.finished_(request, seconds);
        serveWaiting();
    });
    return true;
}

void SlotGroups::serveWaiting()
{
    std::erase_if(waiting_, [this](const auto &one) {
        const bool isLate = clock_.now() - one.second.arrivedAt_ > waitLimit;
        if (isLate)
            events_.late_(one.second);
        return isLate || start(one.second);
    });
}

void SlotGroups::sweep()
{
    serveWaiting();
    clock_.schedule(sweepPeriod, [this] { sweep(); });
}

} // namespace cardamombay::fixture
