/// \file
/// \brief Reserves sends to endpoints that limit the rate of requests from all entry VMs together.
/// \details One entry VM owns each such endpoint, chosen by rendezvous hashing, and books the sends
/// of all of them. An owner that does not answer is passed over for a while. Guards the limits of
/// endpoints; decides nothing about which endpoint is best.
#pragma once

#include <cardamombay/core/clock.hpp>
#include <cardamombay/core/random.hpp>
#include <cardamombay/serving/gateway_metrics.hpp>
#include <cardamombay/serving/reservation_messages.hpp>
#include <cardamombay/serving/reservation_scheduler.hpp>
#include <cardamombay/serving/send_rates.hpp>

#include <functional>
#include <map>
#include <memory>
#include <unordered_map>

namespace cardamombay::serving {

class ReservationCoordinator;

/// \brief One send that was asked for; given back if it is dropped unused. The desk outlives it.
class Reservation
{
public:
    enum class State {
        Pending, ///< The owner has not answered yet.
        Booked,  ///< It opens at opensAt().
        Refused, ///< None in time.
        Used,
    };

    Reservation(ReservationCoordinator &desk, EndpointIncarnation endpoint);
    Reservation(const Reservation &) = delete;
    Reservation &operator=(const Reservation &) = delete;
    ~Reservation();

    [[nodiscard]] const EndpointIncarnation &endpoint() const { return endpoint_; }
    [[nodiscard]] State state() const { return state_; }
    /// \brief True if the send may leave now.
    [[nodiscard]] bool isOpen(TimePoint now) const;
    /// \brief True if it may still become a send.
    [[nodiscard]] bool isAlive(TimePoint now) const;
    /// \brief The send leaves.
    void use() { state_ = State::Used; }

private:
    friend class ReservationCoordinator;

    ReservationCoordinator &desk_;
    EndpointIncarnation endpoint_;
    State state_ = State::Pending;
    TimePoint opensAt_{};
    Address owner_; ///< Who booked it; empty: this entry VM.
    std::function<void()> answered_;
};

/// \brief One entry VM's side, and its lines as an owner; belongs to the gateway's thread.
class ReservationCoordinator
{
public:
    /// \param clock, rates, metrics outlive the desk.
    ReservationCoordinator(Clock &clock, const SendRates &rates, GatewayMetrics &metrics,
                           Random random);

    /// \name Peers
    /// \{
    void setSelf(EntryId entry, Address address);
    void setPeers(std::map<EntryId, Address> peers) { peers_ = std::move(peers); }
    void onSend(std::function<void(const Address &, std::string_view)> send)
    {
        send_ = std::move(send);
    }
    /// \brief A peer has told something.
    void heard(const EntryId &entry);
    /// \brief This entry VM stops, and owns nothing any more.
    void leave() { isLeaving_ = true; }
    /// \returns false if \p text is no message of a desk.
    bool take(std::string_view text);
    /// \}

    /// \brief Asks for a send to \p endpoint that opens within \p within.
    /// \param answered called once if the answer comes later than the return of this function.
    [[nodiscard]] std::unique_ptr<Reservation>
    reserve(const EndpointIncarnation &endpoint, Duration within, std::function<void()> answered);

    /// \brief True if this entry VM owns \p endpoint.
    [[nodiscard]] bool owns(const EndpointIncarnation &endpoint) const;

    /// \brief Ends what was not answered in time. Call with each sweep.
    void sweep();

    /// \brief True if a send needs a reservation.
    [[nodiscard]] bool isLimited(const EndpointIncarnation &endpoint) const;

    /// \brief Time until a caller may find a send there; nothing if one may open within \p wait.
    [[nodiscard]] std::optional<Duration> timeUntilCapacity(const EndpointIncarnation &endpoint,
                                                            Duration wait) const;

private:
    friend class Reservation;

    struct Owner
    {
        EntryId entry_; ///< Empty: this entry VM.
        Address address_;
    };
    struct Pending
    {
        Reservation *reservation_ = nullptr; ///< Null once it was dropped.
        EndpointIncarnation endpoint_;
        EntryId owner_;
        TimePoint askedAt_{};
        TimePoint until_{}; ///< The send must open by then.
        std::size_t tries_ = 0;
        std::size_t asks_ = 0; ///< Of this owner.
    };
    /// What the last refusal for an endpoint said.
    struct Full
    {
        TimePoint until_{};
        TimePoint comeBackAt_{};
        TimePoint noneBefore_{}; ///< No send opens before.
    };

    [[nodiscard]] double perSecond(const EndpointIncarnation &endpoint) const;
    [[nodiscard]] Owner ownerOf(const EndpointIncarnation &endpoint) const;
    [[nodiscard]] Owner passedOver(const EndpointIncarnation &endpoint) const;
    [[nodiscard]] Owner firstOwner(const EndpointIncarnation &endpoint, bool withSilent) const;
    [[nodiscard]] bool isSilent(const EntryId &entry) const;
    [[nodiscard]] bool wasHeard(const EntryId &entry) const;
    void ask(std::uint64_t number, Pending asked);
    void askOwner(std::uint64_t number, Pending &asked, const Owner &owner);
    void askAgain(std::uint64_t number, Pending asked);
    void bookHere(Reservation &reservation, Duration within);
    [[nodiscard]] BookingResult bookAsOwner(const EndpointIncarnation &endpoint, double perSecond,
                                            Duration within);
    void settle(Reservation *reservation, const EndpointIncarnation &endpoint, TimePoint until,
                const BookingResult &result, const Address &owner);
    void tell(Reservation *reservation) const;
    void drop(Reservation &reservation);
    void returnBooking(const EndpointIncarnation &endpoint, TimePoint opensAt,
                       const Address &owner);
    void take(const ReservationRequest &request);
    void take(const ReservationAnswer &answer);
    void redirect(Pending asked, const ReservationAnswer &answer);
    void probe(const Owner &owner, const EndpointIncarnation &endpoint);
    void ownerSilent(const EntryId &owner);
    void send(const Address &to, std::string_view text) const;

    Clock &clock_;
    const SendRates &rates_;
    GatewayMetrics &metrics_;
    EntryId self_;
    Address address_;
    bool isLeaving_ = false;
    std::map<EntryId, Address> peers_;
    std::function<void(const Address &, std::string_view)> send_;
    ReservationScheduler book_;
    std::uint64_t number_; ///< Of the last request.
    std::map<std::uint64_t, Pending> asked_;
    std::map<EndpointIncarnation, Full> full_;
    std::map<EntryId, TimePoint> silentUntil_;
    std::map<EntryId, TimePoint> heardAt_; ///< Lately.
    TimePoint sweptAt_{};
    TimePoint bookingFrom_{}; ///< Books nothing as an owner before.
};

} // namespace cardamombay::serving
