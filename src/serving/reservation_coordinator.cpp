#include <cardamombay/serving/reservation_coordinator.hpp>

#include "serving/log_events.hpp"

#include <cardamombay/core/hash.hpp>
#include <cardamombay/log/log.hpp>
#include <cardamombay/serving/propagation_budget.hpp>

#include <algorithm>
#include <utility>

namespace cardamombay::serving {

namespace {

/// An owner answers within a few milliseconds; after this time the request or its answer counts as
/// lost.
constexpr Duration answerTimeout = std::chrono::milliseconds(80);
/// Number of unanswered requests after which an owner counts as stopped or unreachable.
constexpr std::size_t maxOwnerAttempts = 4;
/// An owner that sent a message within this time is alive, even if requests are lost.
constexpr Duration livenessWindow = std::chrono::milliseconds(500);
/// Peers heard of an owner up to one digest period before it was paused, so they may replace it
/// after a pause of this length.
constexpr Duration minTakeoverTime = livenessWindow - digestPeriod;
/// An entry VM that stands in for an unresponsive owner books no further ahead, so that the owner
/// can soon book again after its return.
constexpr Duration standInBookingAhead = std::chrono::milliseconds(250);
/// Pause of an owner that may have been replaced, from its return.
constexpr Duration returnPause = standInBookingAhead + answerTimeout;
/// How long an unresponsive owner is skipped.
constexpr Duration unresponsiveFor = std::chrono::seconds(3);
/// A newly started process may not know its peers yet and take itself for the owner of other entry
/// VMs' endpoints, so it books nothing for this time.
constexpr Duration peerDiscoveryTime = std::chrono::seconds(1);
/// Maximum number of messages sent per reservation.
constexpr std::size_t maxAttempts = 8;

/// After a refusal, no further sends are requested for this share of the retry time given by the
/// owner.
constexpr double rejectionHoldShare = 0.5;
constexpr Duration minRejectionHold = std::chrono::milliseconds(20);
/// For how long the wait of a booked send says something about the next one, from when it became
/// due. By then all sends that were booked after it have become due as well.
constexpr Duration waitLifetime = ReservationScheduler::maxBookingAhead;

/// Retry time if no owner answered.
constexpr Duration noOwnerRetryAfter = std::chrono::milliseconds(200);

/// Maximum number of unanswered requests.
constexpr std::size_t maxPending = 4096;

} // namespace

Reservation::Reservation(ReservationCoordinator &coordinator, EndpointIncarnation endpoint)
    : coordinator_(coordinator)
    , endpoint_(std::move(endpoint))
{
}

Reservation::~Reservation()
{
    coordinator_.release(*this);
}

bool Reservation::isOpen(TimePoint now) const
{
    return state_ == State::Booked && now >= opensAt_ && isAlive(now);
}

bool Reservation::isAlive(TimePoint now) const
{
    return state_ == State::Pending
           || (state_ == State::Booked && now < opensAt_ + ReservationScheduler::bookingValidity);
}

ReservationCoordinator::ReservationCoordinator(Clock &clock, const SendRates &rates,
                                               GatewayMetrics &metrics, Random random)
    : clock_(clock)
    , rates_(rates)
    , metrics_(metrics)
    , lastNumber_(random.below(std::uint64_t{1} << 32U))
{
}

void ReservationCoordinator::setSelf(EntryId entry, Address address)
{
    self_ = std::move(entry);
    address_ = std::move(address);
    booksFrom_ = clock_.now() + peerDiscoveryTime;
}

bool ReservationCoordinator::isLimited(const EndpointIncarnation &endpoint) const
{
    return rates_.perSecond(endpoint).has_value();
}

std::optional<Duration>
ReservationCoordinator::timeUntilCapacity(const EndpointIncarnation &endpoint, Duration wait) const
{
    const auto now = clock_.now();
    const auto found = rejections_.find(endpoint);
    if (found == rejections_.end() || now >= found->second.until_)
        return std::nullopt;
    // The refusal does not apply to callers that can wait much longer.
    const auto patience = std::min(wait, ReservationScheduler::maxBookingAhead);
    if (now + patience > found->second.noSlotBefore_ + answerTimeout)
        return std::nullopt;
    return std::max(found->second.retryAt_, found->second.until_) - now;
}

Duration ReservationCoordinator::expectedWait(const EndpointIncarnation &endpoint) const
{
    const auto found = lastBookings_.find(endpoint);
    const bool isKnown
        = found != lastBookings_.end() && clock_.now() - found->second.opensAt_ <= waitLifetime;
    return isKnown ? found->second.wait_ : Duration::zero();
}

double ReservationCoordinator::perSecond(const EndpointIncarnation &endpoint) const
{
    return rates_.perSecond(endpoint).value_or(0);
}

bool ReservationCoordinator::isUnresponsive(const EntryId &entry) const
{
    const auto found = unresponsiveUntil_.find(entry);
    return found != unresponsiveUntil_.end() && clock_.now() < found->second;
}

/// \param includeUnresponsive also considers owners that recently did not answer.
ReservationCoordinator::Owner
ReservationCoordinator::highestRankedOwner(const EndpointIncarnation &endpoint,
                                           bool includeUnresponsive) const
{
    const auto key = endpoint.text();
    Owner best;
    bool isKnown = !isLeaving_ || peers_.empty();
    auto most = isKnown ? rendezvousWeight(key, self_.text()) : 0;
    for (const auto &[entry, address] : peers_) {
        const auto weight = rendezvousWeight(key, entry.text());
        if ((isKnown && weight <= most) || (!includeUnresponsive && isUnresponsive(entry)))
            continue;
        best = {entry, address};
        most = weight;
        isKnown = true;
    }
    return best;
}

ReservationCoordinator::Owner
ReservationCoordinator::ownerOf(const EndpointIncarnation &endpoint) const
{
    return highestRankedOwner(endpoint, false);
}

/// The unresponsive entry VM that would otherwise own the endpoint; its name is empty if there is
/// none.
ReservationCoordinator::Owner
ReservationCoordinator::skippedOwner(const EndpointIncarnation &endpoint) const
{
    const auto first = highestRankedOwner(endpoint, true);
    return isUnresponsive(first.entry_) ? first : Owner{};
}

bool ReservationCoordinator::owns(const EndpointIncarnation &endpoint) const
{
    return ownerOf(endpoint).entry_.isEmpty();
}

std::unique_ptr<Reservation> ReservationCoordinator::reserve(const EndpointIncarnation &endpoint,
                                                             Duration within,
                                                             std::function<void()> answered)
{
    metrics_.reservations_.increment();
    auto reservation = std::make_unique<Reservation>(*this, endpoint);
    if (owns(endpoint)) {
        bookLocally(*reservation, within);
        return reservation;
    }
    reservation->answered_ = std::move(answered);
    const auto now = clock_.now();
    startRequest(++lastNumber_, {reservation.get(), endpoint, {}, now, now + within});
    return reservation;
}

void ReservationCoordinator::bookLocally(Reservation &reservation, Duration within)
{
    const auto &endpoint = reservation.endpoint_;
    const auto now = clock_.now();
    applyResult(&reservation, endpoint, now + within,
                bookAsOwner(endpoint, perSecond(endpoint), within), {});
}

BookingResult ReservationCoordinator::bookAsOwner(const EndpointIncarnation &endpoint,
                                                  double perSecond, Duration within)
{
    const auto now = clock_.now();
    if (now < booksFrom_)
        return NoSlotInTime{booksFrom_ - now};
    const bool isStandIn = !skippedOwner(endpoint).entry_.isEmpty();
    const auto ahead = isStandIn ? std::min(within, standInBookingAhead) : within;
    return scheduler_.book(endpoint, perSecond, ahead, now);
}

/// \param reservation null if it was released in the meantime.
/// \param until latest time at which the send had to become due.
/// \param owner owner that booked it; empty for this entry VM.
void ReservationCoordinator::applyResult(Reservation *reservation,
                                         const EndpointIncarnation &endpoint, TimePoint until,
                                         const BookingResult &result, const Address &owner)
{
    const auto now = clock_.now();
    if (const auto *booked = std::get_if<Booked>(&result)) {
        const auto opensAt = now + booked->opensIn_;
        lastBookings_[endpoint] = {booked->opensIn_, opensAt};
        if (reservation == nullptr) {
            returnBooking(endpoint, opensAt, owner);
            return;
        }
        rejections_.erase(endpoint);
        reservation->state_ = Reservation::State::Booked;
        reservation->opensAt_ = opensAt;
        reservation->owner_ = owner;
        return;
    }
    metrics_.reservationsRefused_.increment();
    const auto retryAfter = std::get<NoSlotInTime>(result).retryAfter_;
    const auto pause
        = std::max(minRejectionHold, fromSeconds(toSeconds(retryAfter) * rejectionHoldShare));
    rejections_[endpoint] = {now + pause, now + retryAfter, until};
    if (reservation != nullptr)
        reservation->state_ = Reservation::State::Refused;
}

void ReservationCoordinator::notifyWaiter(Reservation *reservation) const
{
    if (reservation == nullptr)
        return;
    // The callback may destroy the reservation.
    const auto answered = std::exchange(reservation->answered_, {});
    if (answered)
        answered();
}

void ReservationCoordinator::release(Reservation &reservation)
{
    if (reservation.state_ == Reservation::State::Booked) {
        returnBooking(reservation.endpoint_, reservation.opensAt_, reservation.owner_);
        return;
    }
    for (auto &[number, pending] : pending_) {
        if (pending.reservation_ == &reservation)
            pending.reservation_ = nullptr;
    }
}

void ReservationCoordinator::returnBooking(const EndpointIncarnation &endpoint, TimePoint opensAt,
                                           const Address &owner)
{
    const auto now = clock_.now();
    metrics_.reservationsReturned_.increment();
    rejections_.erase(endpoint);
    if (owner.ip_.empty())
        scheduler_.returnBooking(endpoint, opensAt, now);
    else
        send(owner, encode(ReservationReturn{endpoint, std::max(Duration::zero(), opensAt - now),
                                             std::max(Duration::zero(), now - opensAt)}));
}

void ReservationCoordinator::startRequest(std::uint64_t number, Pending pending)
{
    if (pending_.size() >= maxPending)
        pending_.erase(pending_.begin());
    sendRequest(number, pending, ownerOf(pending.endpoint_));
    pending_[number] = std::move(pending);
}

void ReservationCoordinator::sendRequest(std::uint64_t number, Pending &pending, const Owner &owner)
{
    const auto now = clock_.now();
    pending.ownerAttempts_ = pending.owner_ == owner.entry_ ? pending.ownerAttempts_ + 1 : 1;
    pending.owner_ = owner.entry_;
    pending.sentAt_ = now;
    ++pending.attempts_;
    send(owner.address_, encode(ReservationRequest{self_, address_, number, pending.endpoint_,
                                                   perSecond(pending.endpoint_),
                                                   std::max(Duration::zero(), pending.until_ - now),
                                                   skippedOwner(pending.endpoint_).entry_}));
}

bool ReservationCoordinator::take(std::string_view text)
{
    if (const auto request = decodeReservationRequest(text)) {
        take(*request);
        return true;
    }
    if (const auto answer = decodeReservationAnswer(text)) {
        take(*answer);
        return true;
    }
    if (const auto back = decodeReservationReturn(text)) {
        const auto now = clock_.now();
        scheduler_.returnBooking(back->endpoint_, now + back->opensIn_ - back->openSince_, now);
        return true;
    }
    return false;
}

void ReservationCoordinator::take(const ReservationRequest &request)
{
    ReservationAnswer answer;
    answer.from_ = self_;
    answer.address_ = address_;
    answer.number_ = request.number_;
    answer.endpoint_ = request.endpoint_;
    const auto owner = ownerOf(request.endpoint_);
    // The owner that this entry VM replaces may be back.
    if (const auto skipped = skippedOwner(request.endpoint_); !skipped.entry_.isEmpty())
        probe(skipped, request.endpoint_);
    if (!owner.entry_.isEmpty()) {
        answer.kind_ = ReservationAnswer::Kind::NotOwner;
        answer.owner_ = owner.entry_;
        answer.address_ = owner.address_;
        if (owner.entry_ == request.unresponsiveOwner_)
            probe(owner, request.endpoint_);
    } else if (request.within_ <= Duration::zero()) {
        answer.kind_ = ReservationAnswer::Kind::NoSlotInTime;
    } else {
        const auto rate = rates_.perSecond(request.endpoint_).value_or(request.perSecond_);
        const auto result = bookAsOwner(request.endpoint_, rate, request.within_);
        const auto *booked = std::get_if<Booked>(&result);
        answer.kind_ = booked != nullptr ? ReservationAnswer::Kind::Booked
                                         : ReservationAnswer::Kind::NoSlotInTime;
        answer.time_
            = booked != nullptr ? booked->opensIn_ : std::get<NoSlotInTime>(result).retryAfter_;
    }
    send(request.address_, encode(answer));
}

void ReservationCoordinator::take(const ReservationAnswer &answer)
{
    heard(answer.from_);
    auto node = pending_.extract(answer.number_);
    const bool isBooked = answer.kind_ == ReservationAnswer::Kind::Booked;
    if (!node) {
        // The answer came too late; another owner was asked instead.
        if (isBooked)
            returnBooking(answer.endpoint_, clock_.now() + answer.time_, answer.address_);
        return;
    }
    auto &pending = node.mapped();
    if (answer.kind_ == ReservationAnswer::Kind::NotOwner) {
        redirect(std::move(pending), answer);
        return;
    }
    const auto result = isBooked ? BookingResult(Booked{answer.time_})
                                 : BookingResult(NoSlotInTime{answer.time_});
    // An answer to a probe contains no information about the endpoint.
    if (pending.reservation_ != nullptr || isBooked)
        applyResult(pending.reservation_, pending.endpoint_, pending.until_, result,
                    answer.address_);
    notifyWaiter(pending.reservation_);
}

/// Entry VMs may temporarily know different peers, and an unresponsive owner may be back.
void ReservationCoordinator::redirect(Pending pending, const ReservationAnswer &answer)
{
    if (pending.reservation_ == nullptr)
        return;
    const auto now = clock_.now();
    if (pending.attempts_ >= maxAttempts || now >= pending.until_) {
        applyResult(pending.reservation_, pending.endpoint_,
                    now + ReservationScheduler::maxBookingAhead, NoSlotInTime{noOwnerRetryAfter},
                    {});
    } else if (answer.owner_ == self_) {
        bookLocally(*pending.reservation_, pending.until_ - now);
    } else {
        const auto number = ++lastNumber_;
        sendRequest(number, pending, {answer.owner_, answer.address_});
        pending_[number] = std::move(pending);
        return;
    }
    notifyWaiter(pending.reservation_);
}

/// Checks whether an owner that does not answer another entry VM answers this one.
void ReservationCoordinator::probe(const Owner &owner, const EndpointIncarnation &endpoint)
{
    const bool isUnderWay
        = std::any_of(pending_.begin(), pending_.end(), [&owner](const auto &one) {
              return one.second.reservation_ == nullptr && one.second.owner_ == owner.entry_;
          });
    if (isUnderWay)
        return;
    const auto now = clock_.now();
    const auto number = ++lastNumber_;
    Pending pending{nullptr, endpoint, {}, now, now};
    sendRequest(number, pending, owner);
    pending_[number] = std::move(pending);
}

void ReservationCoordinator::heard(const EntryId &entry)
{
    lastContactAt_[entry] = clock_.now();
    unresponsiveUntil_.erase(entry);
}

bool ReservationCoordinator::wasHeardRecently(const EntryId &entry) const
{
    const auto found = lastContactAt_.find(entry);
    return found != lastContactAt_.end() && clock_.now() - found->second <= livenessWindow;
}

void ReservationCoordinator::markOwnerUnresponsive(const EntryId &owner)
{
    const auto now = clock_.now();
    if (!isUnresponsive(owner)) {
        metrics_.silentOwners_.increment();
        log::info(
            event::limitOwnerSilent,
            {{"entry", owner.text()}, {"for-ms", std::to_string(toMilliseconds(unresponsiveFor))}});
    }
    unresponsiveUntil_[owner] = now + unresponsiveFor;
}

void ReservationCoordinator::sweep()
{
    const auto now = clock_.now();
    std::vector<std::map<std::uint64_t, Pending>::node_type> overdue;
    for (auto place = pending_.begin(); place != pending_.end();) {
        const auto next = std::next(place);
        if (now - place->second.sentAt_ > answerTimeout)
            overdue.push_back(pending_.extract(place));
        place = next;
    }
    if (now - std::exchange(lastSweepAt_, now) > minTakeoverTime)
        scheduler_.suspend(returnPause, now);
    for (auto &node : overdue)
        retryRequest(node.key(), std::move(node.mapped()));
    scheduler_.expire(now);
    std::erase_if(lastBookings_,
                  [now](const auto &one) { return now - one.second.opensAt_ > waitLifetime; });
    std::erase_if(rejections_, [now](const auto &one) { return now >= one.second.until_; });
    std::erase_if(unresponsiveUntil_, [now](const auto &one) { return now >= one.second; });
    std::erase_if(lastContactAt_,
                  [now](const auto &one) { return now - one.second > livenessWindow; });
}

/// Keeps the number, so that if both requests are answered the second booking is returned.
void ReservationCoordinator::retryRequest(std::uint64_t number, Pending pending)
{
    const auto now = clock_.now();
    const bool isProbe = pending.reservation_ == nullptr;
    if (pending.ownerAttempts_ >= maxOwnerAttempts && !wasHeardRecently(pending.owner_)) {
        markOwnerUnresponsive(pending.owner_);
        if (isProbe)
            return;
    }
    const bool isTooLate = pending.attempts_ >= maxAttempts || (!isProbe && now >= pending.until_);
    if (!isTooLate && !owns(pending.endpoint_)) {
        startRequest(number, std::move(pending));
        return;
    }
    if (isProbe)
        return;
    if (isTooLate)
        applyResult(pending.reservation_, pending.endpoint_,
                    now + ReservationScheduler::maxBookingAhead, NoSlotInTime{noOwnerRetryAfter},
                    {});
    else
        bookLocally(*pending.reservation_, pending.until_ - now);
    notifyWaiter(pending.reservation_);
}

void ReservationCoordinator::send(const Address &to, std::string_view text) const
{
    if (send_)
        send_(to, text);
}

} // namespace cardamombay::serving
