/// \file
/// \brief Schedules the sends that an endpoint's rate limit allows.
/// \details The entry VM that owns an endpoint keeps one queue for it, in which sends are booked at
/// the interval given by the limit. This enforces the limit across all entry VMs. Does no I/O.
#pragma once

#include <cardamombay/core/time.hpp>
#include <cardamombay/serving/endpoint.hpp>

#include <map>
#include <set>
#include <variant>

namespace cardamombay::serving {

/// \brief A booked send, which becomes due after a delay.
struct Booked
{
    Duration opensIn_{};
};

/// \brief No send is available within the requested time.
struct NoSlotInTime
{
    /// When the caller should try again; increases with each refused caller.
    Duration retryAfter_{};
};

using BookingResult = std::variant<Booked, NoSlotInTime>;

/// \brief Queues of the endpoints that one entry VM owns. Not thread-safe: used on the gateway's
/// thread only.
/// \code
/// const auto result = scheduler.book(endpoint, 3.4, milliseconds(500), now);
/// if (const auto *booked = std::get_if<Booked>(&result))
///     sendAfter(booked->opensIn_);
/// \endcode
class ReservationScheduler
{
public:
    /// \brief Maximum time that a send is booked in advance.
    static constexpr Duration maxBookingAhead = std::chrono::seconds(1);
    /// \brief A booked send expires if it is not used within this time after it becomes due.
    static constexpr Duration bookingValidity = std::chrono::milliseconds(250);
    /// \brief Minimum rate, also for endpoints with a limit of zero, since only a response tells
    /// that a limit has ended.
    static constexpr double minPerSecond = 0.1;

    /// \brief Books a send that becomes due within \p within.
    [[nodiscard]] BookingResult book(const EndpointIncarnation &endpoint, double perSecond,
                                     Duration within, TimePoint now);

    /// \brief Returns an unused booking that becomes due at \p opensAt.
    void returnBooking(const EndpointIncarnation &endpoint, TimePoint opensAt, TimePoint now);

    /// \brief Books no send that becomes due within \p time, since other owners may have booked
    /// sends while this entry VM was unresponsive.
    void suspend(Duration time, TimePoint now);

    /// \brief Removes the queues of endpoints without recent requests.
    void expire(TimePoint now);

private:
    struct Queue
    {
        TimePoint lastOpensAt_{};        ///< When the last booked send becomes due.
        TimePoint latestRetryAt_{};      ///< Latest retry time given to a caller.
        std::set<TimePoint> returned_{}; ///< Due times of returned bookings.
        TimePoint lastRequestAt_{};
    };

    std::map<EndpointIncarnation, Queue> queues_;
};

} // namespace cardamombay::serving
