/// \file
/// \brief Enforces endpoints' rate limits across all entry VMs by reserving each send.
/// \details Rendezvous hashing assigns each rate-limited endpoint to one entry VM, the owner, which
/// schedules the sends of all entry VMs. An owner that does not answer is skipped for a while. Does
/// not choose between endpoints.
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

/// \brief One requested send; returned to the owner if destroyed unused. The coordinator must
/// outlive it.
class Reservation
{
public:
    enum class State {
        Pending, ///< Waiting for the owner's answer.
        Booked,  ///< Due at opensAt_.
        Refused, ///< No send in time.
        Used,
    };

    Reservation(ReservationCoordinator &coordinator, EndpointIncarnation endpoint);
    Reservation(const Reservation &) = delete;
    Reservation &operator=(const Reservation &) = delete;
    ~Reservation();

    [[nodiscard]] const EndpointIncarnation &endpoint() const { return endpoint_; }
    [[nodiscard]] State state() const { return state_; }
    /// \brief True if the send is due and has not expired.
    [[nodiscard]] bool isOpen(TimePoint now) const;
    /// \brief True if the reservation can still be used now or later.
    [[nodiscard]] bool isAlive(TimePoint now) const;
    /// \brief Marks the reservation as used.
    void use() { state_ = State::Used; }

private:
    friend class ReservationCoordinator;

    ReservationCoordinator &coordinator_;
    EndpointIncarnation endpoint_;
    State state_ = State::Pending;
    TimePoint opensAt_{};
    Address owner_; ///< The owner that booked it; empty for this entry VM.
    std::function<void()> answered_;
};

/// \brief Client and owner side of one entry VM. Not thread-safe: used on the gateway's thread
/// only.
class ReservationCoordinator
{
public:
    /// \param clock, rates, metrics must outlive the coordinator.
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
    /// \brief Records that a message from a peer was received.
    void heard(const EntryId &entry);
    /// \brief Gives up ownership of all endpoints, since this entry VM is shutting down.
    void leave() { isLeaving_ = true; }
    /// \returns false if \p text is not a reservation message.
    bool take(std::string_view text);
    /// \}

    /// \brief Requests a send to \p endpoint that becomes due within \p within.
    /// \param answered called once if the answer arrives after this function has returned.
    [[nodiscard]] std::unique_ptr<Reservation>
    reserve(const EndpointIncarnation &endpoint, Duration within, std::function<void()> answered);

    /// \brief True if this entry VM owns \p endpoint.
    [[nodiscard]] bool owns(const EndpointIncarnation &endpoint) const;

    /// \brief Retries or fails requests that timed out. Call periodically.
    void sweep();

    /// \brief True if sends to the endpoint need a reservation.
    [[nodiscard]] bool isLimited(const EndpointIncarnation &endpoint) const;

    /// \brief Time after which a caller should retry; no value if a send may become due within \p
    /// wait.
    [[nodiscard]] std::optional<Duration> timeUntilCapacity(const EndpointIncarnation &endpoint,
                                                            Duration wait) const;

    /// \brief How long the last booked send to the endpoint had to wait until it became due; zero
    /// if there is none, or if it became due long ago.
    [[nodiscard]] Duration expectedWait(const EndpointIncarnation &endpoint) const;

private:
    friend class Reservation;

    struct Owner
    {
        EntryId entry_; ///< Empty for this entry VM.
        Address address_;
    };
    struct Pending
    {
        Reservation *reservation_ = nullptr; ///< Null once released, and for probes.
        EndpointIncarnation endpoint_;
        EntryId owner_;
        TimePoint sentAt_{};
        TimePoint until_{}; ///< The send must be due by then.
        std::size_t attempts_ = 0;
        std::size_t ownerAttempts_ = 0; ///< Requests sent to the current owner.
    };
    /// The last refusal for an endpoint.
    struct Rejection
    {
        TimePoint until_{};
        TimePoint retryAt_{};
        TimePoint noSlotBefore_{}; ///< No send becomes due earlier.
    };

    /// The last booking of this entry VM for an endpoint.
    struct LastBooking
    {
        Duration wait_{}; ///< From the answer of the owner until the send became due.
        TimePoint opensAt_{};
    };

    [[nodiscard]] double perSecond(const EndpointIncarnation &endpoint) const;
    [[nodiscard]] Owner ownerOf(const EndpointIncarnation &endpoint) const;
    [[nodiscard]] Owner skippedOwner(const EndpointIncarnation &endpoint) const;
    [[nodiscard]] Owner highestRankedOwner(const EndpointIncarnation &endpoint,
                                           bool includeUnresponsive) const;
    [[nodiscard]] bool isUnresponsive(const EntryId &entry) const;
    [[nodiscard]] bool wasHeardRecently(const EntryId &entry) const;
    void startRequest(std::uint64_t number, Pending pending);
    void sendRequest(std::uint64_t number, Pending &pending, const Owner &owner);
    void retryRequest(std::uint64_t number, Pending pending);
    void bookLocally(Reservation &reservation, Duration within);
    [[nodiscard]] BookingResult bookAsOwner(const EndpointIncarnation &endpoint, double perSecond,
                                            Duration within);
    void applyResult(Reservation *reservation, const EndpointIncarnation &endpoint, TimePoint until,
                     const BookingResult &result, const Address &owner);
    void notifyWaiter(Reservation *reservation) const;
    void release(Reservation &reservation);
    void returnBooking(const EndpointIncarnation &endpoint, TimePoint opensAt,
                       const Address &owner);
    void take(const ReservationRequest &request);
    void take(const ReservationAnswer &answer);
    void redirect(Pending pending, const ReservationAnswer &answer);
    void probe(const Owner &owner, const EndpointIncarnation &endpoint);
    void markOwnerUnresponsive(const EntryId &owner);
    void send(const Address &to, std::string_view text) const;

    Clock &clock_;
    const SendRates &rates_;
    GatewayMetrics &metrics_;
    EntryId self_;
    Address address_;
    bool isLeaving_ = false;
    std::map<EntryId, Address> peers_;
    std::function<void(const Address &, std::string_view)> send_;
    ReservationScheduler scheduler_;
    std::uint64_t lastNumber_; ///< Number of the last request.
    std::map<std::uint64_t, Pending> pending_;
    std::map<EndpointIncarnation, Rejection> rejections_;
    std::map<EndpointIncarnation, LastBooking> lastBookings_;
    std::map<EntryId, TimePoint> unresponsiveUntil_;
    std::map<EntryId, TimePoint> lastContactAt_; ///< Recent contacts.
    TimePoint lastSweepAt_{};
    TimePoint booksFrom_{}; ///< This entry VM books nothing as an owner before.
};

} // namespace cardamombay::serving
