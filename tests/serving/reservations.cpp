// Tests when sends to rate-limited endpoints are allowed, and recovery from lost messages and
// owners.
#include <cardamombay/core/manual_clock.hpp>
#include <cardamombay/metrics/registry.hpp>
#include <cardamombay/serving/endpoint_limits.hpp>
#include <cardamombay/serving/reservation_coordinator.hpp>

#include <memory>
#include <set>

#include <criterion/criterion.h>

using namespace cardamombay;
using namespace cardamombay::serving;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

const TimePoint start{seconds(100)};
const EndpointIncarnation engine{VmId("e-1"), 7};
constexpr Duration step = milliseconds(20);

Duration opensIn(const BookingResult &result)
{
    return std::get<Booked>(result).opensIn_;
}

bool isRefused(const BookingResult &result)
{
    return std::holds_alternative<NoSlotInTime>(result);
}

/// Entry VMs whose messages arrive after 1 ms unless an entry VM is cut off or the message is lost.
class Fleet
{
public:
    explicit Fleet(std::size_t count)
    {
        for (std::size_t i = 0; i < count; ++i)
            entries_.push_back(std::make_unique<Entry>(*this, i));
        seeAll();
        pass(seconds(1)); // Until the peer discovery time is over.
    }

    void seeAll()
    {
        for (std::size_t i = 0; i < entries_.size(); ++i)
            see(i, {});
    }

    /// \param unseen peers unknown to entry VM \p index.
    void see(std::size_t index, const std::set<std::size_t> &unseen)
    {
        std::map<EntryId, Address> peers;
        for (std::size_t i = 0; i < entries_.size(); ++i) {
            if (i != index && !unseen.contains(i))
                peers.emplace(nameOf(i), addressOf(i));
        }
        coordinator(index).setPeers(std::move(peers));
    }

    [[nodiscard]] ReservationCoordinator &coordinator(std::size_t index)
    {
        return entries_[index]->coordinator_;
    }

    [[nodiscard]] std::size_t owner()
    {
        for (std::size_t i = 0; i < entries_.size(); ++i) {
            if (coordinator(i).owns(engine))
                return i;
        }
        return entries_.size();
    }

    /// Index of an entry VM that does not own the engine.
    [[nodiscard]] std::size_t other() { return (owner() + 1) % entries_.size(); }

    [[nodiscard]] std::unique_ptr<Reservation> reserve(std::size_t index,
                                                       Duration within = seconds(1))
    {
        return coordinator(index).reserve(engine, within, [this] { ++answers_; });
    }

    void pass(Duration time)
    {
        for (Duration done{}; done < time; done += step) {
            clock_.advance(step);
            for (const auto &entry : entries_)
                entry->coordinator_.sweep();
        }
    }

    [[nodiscard]] TimePoint now() const { return clock_.now(); }

    static EntryId nameOf(std::size_t index) { return EntryId("entry-" + std::to_string(index)); }
    static Address addressOf(std::size_t index)
    {
        return {"10.0.0.1", static_cast<std::uint16_t>(7000 + index)};
    }

    ManualClock clock_;
    EndpointLimits limits_; ///< Shared by all entry VMs.
    std::set<std::size_t> cutOff_;
    int losses_ = 0; ///< Number of upcoming messages to drop.
    int messages_ = 0;
    int answers_ = 0;

private:
    struct Entry
    {
        Entry(Fleet &fleet, std::size_t index)
            : coordinator_(fleet.clock_, fleet.limits_, metrics_, Random(index))
        {
            coordinator_.setSelf(nameOf(index), addressOf(index));
            coordinator_.onSend([&fleet, index](const Address &to, std::string_view text) {
                fleet.deliver(index, to, text);
            });
        }
        metrics::Registry registry_;
        GatewayMetrics metrics_{registry_};
        ReservationCoordinator coordinator_;
    };

    void deliver(std::size_t from, const Address &to, std::string_view text)
    {
        ++messages_;
        const auto index = static_cast<std::size_t>(to.port_ - 7000);
        if (losses_ > 0) {
            --losses_;
            return;
        }
        if (!cutOff_.contains(from) && !cutOff_.contains(index))
            clock_.schedule(milliseconds(1), [this, index, text = std::string(text)] {
                cr_assert(coordinator(index).take(text));
            });
    }

    std::vector<std::unique_ptr<Entry>> entries_;
};

/// Announces a limit of two requests per second and waits two seconds, so that the owner's queue is
/// established.
void limit(Fleet &fleet)
{
    fleet.limits_.recordLimit(engine, 2, fleet.now());
    (void)fleet.reserve(fleet.owner());
    fleet.pass(seconds(2));
}

} // namespace

Test(reservation_desk, process_that_has_just_started_books_nothing_as_an_owner)
{
    ManualClock clock;
    metrics::Registry registry;
    GatewayMetrics metrics(registry);
    EndpointLimits limits;
    ReservationCoordinator coordinator(clock, limits, metrics, Random(1));
    limits.recordLimit(engine, 20, clock.now());
    coordinator.setSelf(EntryId("entry"), {"10.0.0.1", 7000});
    cr_assert_eq(coordinator.reserve(engine, seconds(1), {})->state(), Reservation::State::Refused);
    clock.advance(seconds(1));
    coordinator.sweep();
    cr_assert_eq(coordinator.reserve(engine, seconds(1), {})->state(), Reservation::State::Booked);
}

Test(reservation_book, first_send_waits_for_what_another_owner_may_have_booked)
{
    ReservationScheduler scheduler;
    cr_assert_eq(opensIn(scheduler.book(engine, 2, seconds(1), start)),
                 ReservationScheduler::maxBookingAhead);
    ReservationScheduler impatient;
    cr_assert(isRefused(impatient.book(engine, 2, milliseconds(999), start)));
}

Test(reservation_book, sends_are_an_interval_apart)
{
    ReservationScheduler scheduler;
    (void)scheduler.book(engine, 4, milliseconds(1), start);
    const auto now = start + seconds(2);
    const auto first = opensIn(scheduler.book(engine, 4, seconds(1), now));
    cr_assert_eq(first, Duration::zero());
    cr_assert_leq(opensIn(scheduler.book(engine, 4, seconds(1), now)), milliseconds(250));
    const auto third = opensIn(scheduler.book(engine, 4, seconds(1), now));
    cr_assert_eq(opensIn(scheduler.book(engine, 4, seconds(1), now)) - third, milliseconds(250));
}

Test(reservation_book, no_more_than_the_limit_is_booked_in_any_window)
{
    for (const double limit : {0.3, 1.9, 20.0, 50.0}) {
        ReservationScheduler scheduler;
        std::vector<TimePoint> sends;
        for (auto now = start; now < start + seconds(30); now += milliseconds(7)) {
            const auto result = scheduler.book(engine, limit, milliseconds(300), now);
            if (!isRefused(result))
                sends.push_back(now + opensIn(result));
        }
        std::size_t first = 0;
        for (std::size_t last = 0; last < sends.size(); ++last) {
            while (sends[last] - sends[first] > seconds(10))
                ++first;
            cr_expect_leq(static_cast<double>(last - first + 1), 1.1 * limit * 10 + 2);
        }
        cr_expect_geq(static_cast<double>(sends.size()), 0.9 * limit * 28);
    }
}

Test(reservation_book, send_that_is_given_back_goes_to_the_next)
{
    ReservationScheduler scheduler;
    (void)scheduler.book(engine, 2, milliseconds(1), start);
    const auto now = start + seconds(2);
    (void)scheduler.book(engine, 2, seconds(1), now);
    const auto second = opensIn(scheduler.book(engine, 2, seconds(1), now));
    cr_assert(isRefused(scheduler.book(engine, 2, second, now)));
    scheduler.returnBooking(engine, now + second, now);
    cr_assert_eq(opensIn(scheduler.book(engine, 2, second, now)), second);
    cr_assert(isRefused(scheduler.book(engine, 2, second, now)));
}

Test(reservation_book, send_that_is_given_back_too_late_is_lost)
{
    ReservationScheduler scheduler;
    (void)scheduler.book(engine, 0.5, milliseconds(1), start);
    const auto now = start + seconds(2);
    (void)scheduler.book(engine, 0.5, seconds(1), now);
    scheduler.returnBooking(engine, now - ReservationScheduler::bookingValidity, now);
    cr_assert(isRefused(scheduler.book(engine, 0.5, seconds(1), now)));
}

Test(reservation_book, endpoint_that_takes_nothing_is_asked_once_in_ten_seconds)
{
    ReservationScheduler scheduler;
    int sends = 0;
    for (auto now = start; now < start + seconds(60); now += milliseconds(50))
        sends += isRefused(scheduler.book(engine, 0, seconds(1), now)) ? 0 : 1;
    cr_assert_geq(sends, 5);
    cr_assert_leq(sends, 7);
}

Test(reservation_book, absurd_limit_is_no_limit_and_harms_nothing)
{
    ReservationScheduler scheduler;
    (void)scheduler.book(engine, 1e300, milliseconds(1), start);
    for (int i = 0; i < 1000; ++i)
        cr_assert_not(isRefused(scheduler.book(engine, 1e300, seconds(1), start + seconds(2))));
}

Test(reservation_book, limit_that_rises_is_used_at_once)
{
    ReservationScheduler scheduler;
    (void)scheduler.book(engine, 0.3, seconds(1), start);
    const auto now = start + seconds(1);
    cr_assert(isRefused(scheduler.book(engine, 0.3, seconds(1), now)));
    int sends = 0;
    for (auto at = now; at < now + seconds(3); at += milliseconds(10))
        sends += isRefused(scheduler.book(engine, 20, milliseconds(500), at)) ? 0 : 1;
    cr_assert_geq(sends, 40);
}

Test(reservation_book, callers_are_told_to_come_back_one_after_the_other)
{
    ReservationScheduler scheduler;
    Duration before{};
    for (int i = 0; i < 4; ++i) {
        const auto result = scheduler.book(engine, 2, milliseconds(100), start);
        const auto retryAfter = std::get<NoSlotInTime>(result).retryAfter_;
        cr_assert_geq(retryAfter - before, milliseconds(500));
        before = retryAfter;
    }
}

Test(reservation_desk, all_entry_vms_agree_on_one_owner)
{
    Fleet fleet(7);
    int owners = 0;
    for (std::size_t i = 0; i < 7; ++i)
        owners += fleet.coordinator(i).owns(engine) ? 1 : 0;
    cr_assert_eq(owners, 1);
}

Test(reservation_desk, owner_books_for_the_others)
{
    Fleet fleet(7);
    limit(fleet);
    const auto first = fleet.reserve(fleet.other());
    cr_assert_eq(first->state(), Reservation::State::Pending);
    fleet.pass(step);
    cr_assert(first->isOpen(fleet.now()));
    cr_assert_eq(fleet.answers_, 1);
    const auto own = fleet.reserve(fleet.owner());
    cr_assert_eq(own->state(), Reservation::State::Booked);
    cr_assert_not(own->isOpen(fleet.now()));
}

Test(reservation_desk, lost_message_is_repeated_to_the_same_owner)
{
    for (const int before : {0, 1}) {
        Fleet fleet(7);
        limit(fleet);
        const auto owner = fleet.owner();
        const auto other = fleet.other();
        const auto reservation = fleet.reserve(other);
        // Loses the request or the answer to it.
        if (before == 0)
            fleet.cutOff_ = {owner};
        fleet.losses_ = before;
        fleet.pass(milliseconds(10));
        fleet.cutOff_.clear();
        fleet.pass(milliseconds(140));
        cr_expect_eq(reservation->state(), Reservation::State::Booked, "%d", before);
        cr_expect_eq(fleet.owner(), owner);
        cr_expect_not(fleet.coordinator(other).owns(engine));
    }
}

Test(reservation_desk, send_that_is_booked_twice_is_given_back_once)
{
    Fleet fleet(2);
    limit(fleet);
    const auto owner = fleet.owner();
    const auto other = fleet.other();
    const auto reservation = fleet.reserve(other);
    fleet.clock_.advance(milliseconds(1));
    fleet.losses_ = 1; // The answer.
    fleet.pass(milliseconds(200));
    cr_assert_eq(reservation->state(), Reservation::State::Booked);
    // One send was booked for the lost answer, and one for the repeated request.
    const auto next = fleet.reserve(owner);
    cr_assert_eq(next->state(), Reservation::State::Booked);
}

Test(reservation_desk, dropped_reservation_is_given_back)
{
    Fleet fleet(7);
    limit(fleet);
    auto reservation = fleet.reserve(fleet.other());
    fleet.pass(step);
    cr_assert(reservation->isOpen(fleet.now()));
    reservation.reset();
    fleet.pass(step);
    const auto next = fleet.reserve(fleet.owner());
    cr_assert(next->isOpen(fleet.now()));
}

Test(reservation_desk, used_reservation_is_not_given_back)
{
    Fleet fleet(7);
    limit(fleet);
    auto reservation = fleet.reserve(fleet.other());
    fleet.pass(step);
    reservation->use();
    reservation.reset();
    fleet.pass(step);
    cr_assert_not(fleet.reserve(fleet.owner())->isOpen(fleet.now()));
}

Test(reservation_desk, answer_for_a_dropped_reservation_gives_its_send_back)
{
    Fleet fleet(7);
    limit(fleet);
    fleet.reserve(fleet.other()).reset();
    fleet.pass(step);
    cr_assert_eq(fleet.answers_, 0);
    cr_assert(fleet.reserve(fleet.owner())->isOpen(fleet.now()));
}

Test(reservation_desk, silent_owner_is_passed_over_by_all_until_it_answers)
{
    Fleet fleet(7);
    limit(fleet);
    const auto owner = fleet.owner();
    const auto other = fleet.other();
    fleet.cutOff_ = {owner};
    std::size_t booked = 0;
    for (int i = 0; i < 40; ++i) {
        const auto reservation = fleet.reserve(other);
        fleet.pass(milliseconds(100));
        if (reservation->state() == Reservation::State::Booked) {
            reservation->use();
            ++booked;
        }
    }
    cr_assert_geq(booked, 2);
    cr_assert_leq(booked, 9); // Two a second.
    fleet.cutOff_.clear();
    fleet.pass(seconds(2));
    const auto reservation = fleet.reserve(other);
    fleet.pass(step);
    cr_assert_not(fleet.coordinator(other).owns(engine));
    cr_assert_eq(fleet.owner(), owner);
}

Test(reservation_desk, entry_vm_that_does_not_see_the_owner_is_sent_there)
{
    Fleet fleet(7);
    limit(fleet);
    const auto owner = fleet.owner();
    const auto other = fleet.other();
    std::set<std::size_t> unseen;
    for (std::size_t i = 0; i < 7; ++i) {
        if (i != other && i != (other + 1) % 7)
            unseen.insert(i);
    }
    cr_assert(unseen.contains(owner));
    fleet.see(other, unseen);
    const auto reservation = fleet.reserve(other);
    fleet.pass(step);
    const bool isOwnOwner = fleet.coordinator(other).owns(engine);
    cr_assert(isOwnOwner || reservation->state() == Reservation::State::Booked);
}

Test(reservation_desk, entry_vm_that_leaves_owns_nothing)
{
    Fleet fleet(7);
    limit(fleet);
    const auto owner = fleet.owner();
    fleet.coordinator(owner).leave();
    cr_assert_not(fleet.coordinator(owner).owns(engine));
    const auto reservation = fleet.reserve(owner);
    cr_assert_eq(reservation->state(), Reservation::State::Pending);
}

Test(reservation_desk, refusal_is_remembered_for_a_while)
{
    Fleet fleet(1);
    fleet.limits_.recordLimit(engine, 0.5, fleet.now());
    cr_assert_not(fleet.coordinator(0).timeUntilCapacity(engine, milliseconds(100)));
    const auto reservation = fleet.reserve(0, milliseconds(100));
    cr_assert_eq(reservation->state(), Reservation::State::Refused);
    cr_assert_geq(*fleet.coordinator(0).timeUntilCapacity(engine, milliseconds(100)), seconds(1));
    fleet.pass(seconds(5));
    cr_assert_not(fleet.coordinator(0).timeUntilCapacity(engine, milliseconds(100)));
}

Test(reservation_desk, refusal_of_an_impatient_request_is_none_of_a_patient_one)
{
    Fleet fleet(1);
    fleet.limits_.recordLimit(engine, 0.5, fleet.now());
    const auto reservation = fleet.reserve(0, milliseconds(100));
    cr_assert(fleet.coordinator(0).timeUntilCapacity(engine, milliseconds(100)));
    cr_assert_not(fleet.coordinator(0).timeUntilCapacity(engine, seconds(1)));
}

Test(reservation_messages, are_read_as_they_were_written)
{
    const ReservationRequest request{EntryId("a"), {"10.0.0.1", 7340}, 3,           engine,
                                     1.9,          milliseconds(250),  EntryId("b")};
    cr_assert_eq(decodeReservationRequest(encode(request)), request);
    const ReservationAnswer answer{
        EntryId("a"),    {"10.0.0.1", 7340}, 3, engine, ReservationAnswer::Kind::NotOwner,
        milliseconds(7), EntryId("b")};
    cr_assert_eq(decodeReservationAnswer(encode(answer)), answer);
    const ReservationReturn back{engine, milliseconds(7), milliseconds(0)};
    cr_assert_eq(decodeReservationReturn(encode(back)), back);
    cr_assert_not(decodeReservationAnswer(encode(request)));
    cr_assert_not(decodeReservationRequest(
        R"({"jsonrpc":"2.0","method":"reserve","params":{"address":"no address"}})"));
}
