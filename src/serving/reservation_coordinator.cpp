#include <cardamombay/serving/reservation_coordinator.hpp>

#include "serving/log_events.hpp"

#include <cardamombay/core/hash.hpp>
#include <cardamombay/log/log.hpp>

#include <algorithm>
#include <utility>

namespace cardamombay::serving {

namespace {

/// An owner answers within a few milliseconds; after this time the request or its answer is lost.
constexpr Duration answerPatience = std::chrono::milliseconds(80);
/// Requests to one owner without an answer from which on it counts as stopped or cut off.
constexpr std::size_t asksOfOwner = 4;
/// An owner that was heard of in this time is there, though messages are lost.
constexpr Duration heardLately = std::chrono::milliseconds(500);
/// An owner that did not answer is passed over for that long.
constexpr Duration silenceHeld = std::chrono::seconds(3);
/// A process that has just started may not know its peers yet, and take itself for the owner of
/// endpoints that another one owns; it books nothing for that long.
constexpr Duration learnsPeersFor = std::chrono::seconds(1);
/// Messages for one reservation.
constexpr std::size_t mostTries = 8;

/// An endpoint without a send in time is not asked for again for this share of the time that the
/// owner named.
constexpr double fullShare = 0.5;
constexpr Duration shortestFull = std::chrono::milliseconds(20);
/// The same where no owner answered.
constexpr Duration fullWithoutOwner = std::chrono::milliseconds(200);

/// Requests for reservations that wait for an answer.
constexpr std::size_t mostAsked = 4096;

} // namespace

Reservation::Reservation(ReservationCoordinator &desk, EndpointIncarnation endpoint)
    : desk_(desk)
    , endpoint_(std::move(endpoint))
{
}

Reservation::~Reservation()
{
    desk_.drop(*this);
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
    , number_(random.below(std::uint64_t{1} << 32U))
{
}

void ReservationCoordinator::setSelf(EntryId entry, Address address)
{
    self_ = std::move(entry);
    address_ = std::move(address);
    bookingFrom_ = clock_.now() + learnsPeersFor;
}

bool ReservationCoordinator::isLimited(const EndpointIncarnation &endpoint) const
{
    return rates_.perSecond(endpoint).has_value();
}

std::optional<Duration>
ReservationCoordinator::timeUntilCapacity(const EndpointIncarnation &endpoint, Duration wait) const
{
    const auto now = clock_.now();
    const auto found = full_.find(endpoint);
    if (found == full_.end() || now >= found->second.until_)
        return std::nullopt;
    // A refusal tells nothing to those who can wait much longer.
    const auto patience = std::min(wait, ReservationScheduler::maxBookingAhead);
    if (now + patience > found->second.noneBefore_ + answerPatience)
        return std::nullopt;
    return std::max(found->second.comeBackAt_, found->second.until_) - now;
}

double ReservationCoordinator::perSecond(const EndpointIncarnation &endpoint) const
{
    return rates_.perSecond(endpoint).value_or(0);
}

bool ReservationCoordinator::isSilent(const EntryId &entry) const
{
    const auto found = silentUntil_.find(entry);
    return found != silentUntil_.end() && clock_.now() < found->second;
}

/// \param withSilent also those that did not answer lately.
ReservationCoordinator::Owner
ReservationCoordinator::firstOwner(const EndpointIncarnation &endpoint, bool withSilent) const
{
    const auto key = endpoint.text();
    Owner best;
    bool isKnown = !isLeaving_ || peers_.empty();
    auto most = isKnown ? rendezvousWeight(key, self_.text()) : 0;
    for (const auto &[entry, address] : peers_) {
        const auto weight = rendezvousWeight(key, entry.text());
        if ((isKnown && weight <= most) || (!withSilent && isSilent(entry)))
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
    return firstOwner(endpoint, false);
}

/// The entry VM that would own the endpoint if it were not silent; without a name if that is none.
ReservationCoordinator::Owner
ReservationCoordinator::passedOver(const EndpointIncarnation &endpoint) const
{
    const auto first = firstOwner(endpoint, true);
    return isSilent(first.entry_) ? first : Owner{};
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
        bookHere(*reservation, within);
        return reservation;
    }
    reservation->answered_ = std::move(answered);
    const auto now = clock_.now();
    ask(++number_, {reservation.get(), endpoint, {}, now, now + within});
    return reservation;
}

void ReservationCoordinator::bookHere(Reservation &reservation, Duration within)
{
    const auto &endpoint = reservation.endpoint_;
    const auto now = clock_.now();
    settle(&reservation, endpoint, now + within, bookAsOwner(endpoint, perSecond(endpoint), within),
           {});
}

BookingResult ReservationCoordinator::bookAsOwner(const EndpointIncarnation &endpoint,
                                                  double perSecond, Duration within)
{
    const auto now = clock_.now();
    if (now < bookingFrom_)
        return NoSlotInTime{bookingFrom_ - now};
    return book_.book(endpoint, perSecond, within, now);
}

/// \param reservation null if it was dropped meanwhile.
/// \param until the send had to open by then.
/// \param owner who booked it; empty for this entry VM.
void ReservationCoordinator::settle(Reservation *reservation, const EndpointIncarnation &endpoint,
                                    TimePoint until, const BookingResult &result,
                                    const Address &owner)
{
    const auto now = clock_.now();
    if (const auto *booked = std::get_if<Booked>(&result)) {
        const auto opensAt = now + booked->opensIn_;
        if (reservation == nullptr) {
            returnBooking(endpoint, opensAt, owner);
            return;
        }
        full_.erase(endpoint);
        reservation->state_ = Reservation::State::Booked;
        reservation->opensAt_ = opensAt;
        reservation->owner_ = owner;
        return;
    }
    metrics_.reservationsRefused_.increment();
    const auto comeBackIn = std::get<NoSlotInTime>(result).retryAfter_;
    const auto pause = std::max(shortestFull, fromSeconds(toSeconds(comeBackIn) * fullShare));
    full_[endpoint] = {now + pause, now + comeBackIn, until};
    if (reservation != nullptr)
        reservation->state_ = Reservation::State::Refused;
}

void ReservationCoordinator::tell(Reservation *reservation) const
{
    if (reservation == nullptr)
        return;
    // It may drop the reservation.
    const auto answered = std::exchange(reservation->answered_, {});
    if (answered)
        answered();
}

void ReservationCoordinator::drop(Reservation &reservation)
{
    if (reservation.state_ == Reservation::State::Booked) {
        returnBooking(reservation.endpoint_, reservation.opensAt_, reservation.owner_);
        return;
    }
    for (auto &[number, asked] : asked_) {
        if (asked.reservation_ == &reservation)
            asked.reservation_ = nullptr;
    }
}

void ReservationCoordinator::returnBooking(const EndpointIncarnation &endpoint, TimePoint opensAt,
                                           const Address &owner)
{
    const auto now = clock_.now();
    metrics_.reservationsReturned_.increment();
    full_.erase(endpoint);
    if (owner.ip_.empty())
        book_.returnBooking(endpoint, opensAt, now);
    else
        send(owner, encode(ReservationReturn{endpoint, std::max(Duration::zero(), opensAt - now),
                                             std::max(Duration::zero(), now - opensAt)}));
}

void ReservationCoordinator::ask(std::uint64_t number, Pending asked)
{
    if (asked_.size() >= mostAsked)
        asked_.erase(asked_.begin());
    askOwner(number, asked, ownerOf(asked.endpoint_));
    asked_[number] = std::move(asked);
}

void ReservationCoordinator::askOwner(std::uint64_t number, Pending &asked, const Owner &owner)
{
    const auto now = clock_.now();
    asked.asks_ = asked.owner_ == owner.entry_ ? asked.asks_ + 1 : 1;
    asked.owner_ = owner.entry_;
    asked.askedAt_ = now;
    ++asked.tries_;
    send(owner.address_, encode(ReservationRequest{self_, address_, number, asked.endpoint_,
                                                   perSecond(asked.endpoint_),
                                                   std::max(Duration::zero(), asked.until_ - now),
                                                   passedOver(asked.endpoint_).entry_}));
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
        book_.returnBooking(back->endpoint_, now + back->opensIn_ - back->openSince_, now);
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
    // The owner whose place this one has taken may be back.
    if (const auto silent = passedOver(request.endpoint_); !silent.entry_.isEmpty())
        probe(silent, request.endpoint_);
    if (!owner.entry_.isEmpty()) {
        answer.kind_ = ReservationAnswer::Kind::NotOwner;
        answer.owner_ = owner.entry_;
        answer.address_ = owner.address_;
        if (owner.entry_ == request.silentOwner_)
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
    auto node = asked_.extract(answer.number_);
    const bool isBooked = answer.kind_ == ReservationAnswer::Kind::Booked;
    if (!node) {
        // It came too late, and another one was asked instead.
        if (isBooked)
            returnBooking(answer.endpoint_, clock_.now() + answer.time_, answer.address_);
        return;
    }
    auto &asked = node.mapped();
    if (answer.kind_ == ReservationAnswer::Kind::NotOwner) {
        redirect(std::move(asked), answer);
        return;
    }
    const auto result = isBooked ? BookingResult(Booked{answer.time_})
                                 : BookingResult(NoSlotInTime{answer.time_});
    // An answer to a probe says nothing of the endpoint.
    if (asked.reservation_ != nullptr || isBooked)
        settle(asked.reservation_, asked.endpoint_, asked.until_, result, answer.address_);
    tell(asked.reservation_);
}

/// Entry VMs may see different peers for a while, and one that was silent may be back.
void ReservationCoordinator::redirect(Pending asked, const ReservationAnswer &answer)
{
    if (asked.reservation_ == nullptr)
        return;
    const auto now = clock_.now();
    if (asked.tries_ >= mostTries || now >= asked.until_) {
        settle(asked.reservation_, asked.endpoint_, now + ReservationScheduler::maxBookingAhead,
               NoSlotInTime{fullWithoutOwner}, {});
    } else if (answer.owner_ == self_) {
        bookHere(*asked.reservation_, asked.until_ - now);
    } else {
        const auto number = ++number_;
        askOwner(number, asked, {answer.owner_, answer.address_});
        asked_[number] = std::move(asked);
        return;
    }
    tell(asked.reservation_);
}

/// Finds out whether an owner that another entry VM gets no answer from answers this one.
void ReservationCoordinator::probe(const Owner &owner, const EndpointIncarnation &endpoint)
{
    const bool isUnderWay = std::any_of(asked_.begin(), asked_.end(), [&owner](const auto &one) {
        return one.second.reservation_ == nullptr && one.second.owner_ == owner.entry_;
    });
    if (isUnderWay)
        return;
    const auto now = clock_.now();
    const auto number = ++number_;
    Pending asked{nullptr, endpoint, {}, now, now};
    askOwner(number, asked, owner);
    asked_[number] = std::move(asked);
}

void ReservationCoordinator::heard(const EntryId &entry)
{
    heardAt_[entry] = clock_.now();
    silentUntil_.erase(entry);
}

bool ReservationCoordinator::wasHeard(const EntryId &entry) const
{
    const auto found = heardAt_.find(entry);
    return found != heardAt_.end() && clock_.now() - found->second <= heardLately;
}

void ReservationCoordinator::ownerSilent(const EntryId &owner)
{
    const auto now = clock_.now();
    if (!isSilent(owner)) {
        metrics_.silentOwners_.increment();
        log::info(
            event::limitOwnerSilent,
            {{"entry", owner.text()}, {"for-ms", std::to_string(toMilliseconds(silenceHeld))}});
    }
    silentUntil_[owner] = now + silenceHeld;
}

void ReservationCoordinator::sweep()
{
    const auto now = clock_.now();
    std::vector<std::map<std::uint64_t, Pending>::node_type> overdue;
    for (auto place = asked_.begin(); place != asked_.end();) {
        const auto next = std::next(place);
        if (now - place->second.askedAt_ > answerPatience)
            overdue.push_back(asked_.extract(place));
        place = next;
    }
    // Others have passed this one over by then.
    if (now - std::exchange(sweptAt_, now) > answerPatience * asksOfOwner)
        book_.suspend(now);
    for (auto &node : overdue)
        askAgain(node.key(), std::move(node.mapped()));
    book_.expire(now);
    std::erase_if(full_, [now](const auto &one) { return now >= one.second.until_; });
    std::erase_if(silentUntil_, [now](const auto &one) { return now >= one.second; });
    std::erase_if(heardAt_, [now](const auto &one) { return now - one.second > heardLately; });
}

/// The number stays: if both requests are answered, the second send is given back.
void ReservationCoordinator::askAgain(std::uint64_t number, Pending asked)
{
    const auto now = clock_.now();
    const bool isProbe = asked.reservation_ == nullptr;
    if (asked.asks_ >= asksOfOwner && !wasHeard(asked.owner_)) {
        ownerSilent(asked.owner_);
        if (isProbe)
            return;
    }
    const bool isTooLate = asked.tries_ >= mostTries || (!isProbe && now >= asked.until_);
    if (!isTooLate && !owns(asked.endpoint_)) {
        ask(number, std::move(asked));
        return;
    }
    if (isProbe)
        return;
    if (isTooLate)
        settle(asked.reservation_, asked.endpoint_, now + ReservationScheduler::maxBookingAhead,
               NoSlotInTime{fullWithoutOwner}, {});
    else
        bookHere(*asked.reservation_, asked.until_ - now);
    tell(asked.reservation_);
}

void ReservationCoordinator::send(const Address &to, std::string_view text) const
{
    if (send_)
        send_(to, text);
}

} // namespace cardamombay::serving
