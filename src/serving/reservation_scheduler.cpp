#include <cardamombay/serving/reservation_scheduler.hpp>

#include <algorithm>
#include <optional>

namespace cardamombay::serving {

namespace {

/// Sends that nobody booked are not lost for that long, so that a late request does not cost the
/// endpoint its turn.
constexpr Duration keptFor = std::chrono::milliseconds(200);

/// Longest time that a caller is told.
constexpr Duration longestComeBack = std::chrono::seconds(5);

/// A line that nobody has asked for lately is dropped; a new one begins with a pause.
constexpr Duration lineLifetime = std::chrono::seconds(30);

/// Given-back sends that are kept for others.
constexpr std::size_t mostFree = 64;

} // namespace

BookingResult ReservationScheduler::book(const EndpointIncarnation &endpoint, double perSecond,
                                         Duration within, TimePoint now)
{
    const auto interval = fromSeconds(1 / std::max(perSecond, minPerSecond));
    const auto until = now + std::min(within, maxBookingAhead);
    const auto [place, isNew] = lines_.try_emplace(endpoint);
    auto &line = place->second;
    // Another owner may have booked sends until then.
    if (isNew)
        line.last_ = now + maxBookingAhead - interval;
    line.askedAt_ = now;
    line.free_.erase(line.free_.begin(), line.free_.lower_bound(now - bookingValidity));
    if (!line.free_.empty() && *line.free_.begin() <= until) {
        const auto opensAt = *line.free_.begin();
        line.free_.erase(line.free_.begin());
        return Booked{std::max(Duration::zero(), opensAt - now)};
    }
    const auto opensAt = std::max(line.last_ + interval, now - keptFor);
    if (opensAt > until) {
        line.comeBack_ = std::max(line.comeBack_, opensAt) + interval;
        line.comeBack_ = std::min(line.comeBack_, now + longestComeBack);
        return NoSlotInTime{line.comeBack_ - now};
    }
    line.last_ = opensAt;
    return Booked{std::max(Duration::zero(), opensAt - now)};
}

void ReservationScheduler::returnBooking(const EndpointIncarnation &endpoint, TimePoint opensAt,
                                         TimePoint now)
{
    const auto found = lines_.find(endpoint);
    const bool isValid = opensAt + bookingValidity > now && opensAt <= now + maxBookingAhead;
    if (found != lines_.end() && isValid && found->second.free_.size() < mostFree)
        found->second.free_.insert(opensAt);
}

void ReservationScheduler::suspend(TimePoint now)
{
    for (auto &[endpoint, line] : lines_) {
        line.last_ = std::max(line.last_, now + maxBookingAhead);
        line.free_.clear();
    }
}

void ReservationScheduler::expire(TimePoint now)
{
    std::erase_if(lines_,
                  [now](const auto &one) { return now - one.second.askedAt_ > lineLifetime; });
}

} // namespace cardamombay::serving
