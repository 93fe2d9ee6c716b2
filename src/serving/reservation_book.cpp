#include <cardamombay/serving/reservation_book.hpp>

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

BookingResult ReservationBook::take(const EndpointLife &endpoint, double perSecond, Duration within,
                                    TimePoint now)
{
    const auto interval = fromSeconds(1 / std::max(perSecond, leastPerSecond));
    const auto until = now + std::min(within, longestAhead);
    const auto [place, isNew] = lines_.try_emplace(endpoint);
    auto &line = place->second;
    // Another owner may have booked sends until then.
    if (isNew)
        line.next_ = now + longestAhead;
    line.askedAt_ = now;
    line.free_.erase(line.free_.begin(), line.free_.lower_bound(now - validFor));
    if (!line.free_.empty() && *line.free_.begin() <= until) {
        const auto opensAt = *line.free_.begin();
        line.free_.erase(line.free_.begin());
        return Booked{std::max(Duration::zero(), opensAt - now)};
    }
    // Bookings at a lower limit reach further ahead than those at the present one.
    const auto earliest = std::max(line.next_, now - keptFor);
    const auto opensAt = std::min(earliest, now + longestAhead + interval);
    if (opensAt > until) {
        line.comeBack_ = std::max(line.comeBack_, opensAt) + interval;
        line.comeBack_ = std::min(line.comeBack_, now + longestComeBack);
        return NoneInTime{line.comeBack_ - now};
    }
    line.next_ = opensAt + interval;
    return Booked{std::max(Duration::zero(), opensAt - now)};
}

void ReservationBook::giveBack(const EndpointLife &endpoint, TimePoint opensAt, TimePoint now)
{
    const auto found = lines_.find(endpoint);
    const bool isValid = opensAt + validFor > now && opensAt <= now + longestAhead;
    if (found != lines_.end() && isValid && found->second.free_.size() < mostFree)
        found->second.free_.insert(opensAt);
}

void ReservationBook::expire(TimePoint now)
{
    std::erase_if(lines_,
                  [now](const auto &one) { return now - one.second.askedAt_ > lineLifetime; });
}

} // namespace cardamombay::serving
