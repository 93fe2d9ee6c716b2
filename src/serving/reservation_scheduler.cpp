#include <cardamombay/serving/reservation_scheduler.hpp>

#include <algorithm>
#include <optional>

namespace cardamombay::serving {

namespace {

/// Unbooked sends remain available for this time, so that a late request does not reduce the rate.
constexpr Duration unusedSlotGrace = std::chrono::milliseconds(200);

/// Maximum retry time given to a caller.
constexpr Duration maxRetryAfter = std::chrono::seconds(5);

/// Queues without recent requests are removed; a new queue starts with a pause.
constexpr Duration queueLifetime = std::chrono::seconds(30);

/// Maximum number of returned bookings kept for reuse.
constexpr std::size_t maxReturned = 64;

} // namespace

BookingResult ReservationScheduler::book(const EndpointIncarnation &endpoint, double perSecond,
                                         Duration within, TimePoint now)
{
    const auto interval = fromSeconds(1 / std::max(perSecond, minPerSecond));
    const auto until = now + std::min(within, maxBookingAhead);
    const auto [place, isNew] = queues_.try_emplace(endpoint);
    auto &queue = place->second;
    // A previous owner may have booked sends until then.
    if (isNew)
        queue.lastOpensAt_ = now + maxBookingAhead - interval;
    queue.lastRequestAt_ = now;
    queue.returned_.erase(queue.returned_.begin(),
                          queue.returned_.lower_bound(now - bookingValidity));
    if (!queue.returned_.empty() && *queue.returned_.begin() <= until) {
        const auto opensAt = *queue.returned_.begin();
        queue.returned_.erase(queue.returned_.begin());
        return Booked{std::max(Duration::zero(), opensAt - now)};
    }
    const auto opensAt = std::max(queue.lastOpensAt_ + interval, now - unusedSlotGrace);
    if (opensAt > until) {
        queue.latestRetryAt_ = std::max(queue.latestRetryAt_, opensAt) + interval;
        queue.latestRetryAt_ = std::min(queue.latestRetryAt_, now + maxRetryAfter);
        return NoSlotInTime{queue.latestRetryAt_ - now};
    }
    queue.lastOpensAt_ = opensAt;
    return Booked{std::max(Duration::zero(), opensAt - now)};
}

void ReservationScheduler::returnBooking(const EndpointIncarnation &endpoint, TimePoint opensAt,
                                         TimePoint now)
{
    const auto found = queues_.find(endpoint);
    const bool isValid = opensAt + bookingValidity > now && opensAt <= now + maxBookingAhead;
    if (found != queues_.end() && isValid && found->second.returned_.size() < maxReturned)
        found->second.returned_.insert(opensAt);
}

void ReservationScheduler::suspend(Duration time, TimePoint now)
{
    for (auto &[endpoint, queue] : queues_) {
        queue.lastOpensAt_ = std::max(queue.lastOpensAt_, now + time);
        queue.returned_.clear();
    }
}

void ReservationScheduler::expire(TimePoint now)
{
    std::erase_if(queues_, [now](const auto &one) {
        return now - one.second.lastRequestAt_ > queueLifetime;
    });
}

} // namespace cardamombay::serving
