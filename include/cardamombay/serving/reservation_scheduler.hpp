/// \file
/// \brief Hands out the sends that an endpoint's limit allows.
/// \details The owner of an endpoint among the entry VMs keeps one line for it: sends are booked
/// one after the other, as far apart as the limit asks for. Guards that all entry VMs together keep
/// to the limit. Does no I/O.
#pragma once

#include <cardamombay/core/time.hpp>
#include <cardamombay/serving/endpoint.hpp>

#include <map>
#include <set>
#include <variant>

namespace cardamombay::serving {

/// \brief A send may leave after that time.
struct Booked
{
    Duration opensIn_{};
};

/// \brief There is no send in time.
struct NoSlotInTime
{
    Duration retryAfter_{}; ///< When the caller may find one; later for each caller that is told.
};

using BookingResult = std::variant<Booked, NoSlotInTime>;

/// \brief Lines of the endpoints that one entry VM owns; belongs to the gateway's thread.
/// \code
/// const auto result = book.take(endpoint, 3.4, milliseconds(500), now);
/// if (const auto *booked = std::get_if<Booked>(&result))
///     sendAfter(booked->opensIn_);
/// \endcode
class ReservationScheduler
{
public:
    /// \brief Sends are booked that long ahead at most.
    static constexpr Duration maxBookingAhead = std::chrono::seconds(1);
    /// \brief A booked send leaves within that time after it opens, or lapses.
    static constexpr Duration bookingValidity = std::chrono::milliseconds(250);
    /// \brief Also an endpoint that takes nothing gets so many requests a second, since only an
    /// answer tells that its limit has ended.
    static constexpr double minPerSecond = 0.1;

    /// \brief Books a send that opens within \p within.
    [[nodiscard]] BookingResult book(const EndpointIncarnation &endpoint, double perSecond,
                                     Duration within, TimePoint now);

    /// \brief Takes back a send that was to open at \p opensAt and is not used.
    void returnBooking(const EndpointIncarnation &endpoint, TimePoint opensAt, TimePoint now);

    /// \brief Nothing opens for a while, since others may have booked sends while this entry VM
    /// stood still.
    void suspend(TimePoint now);

    /// \brief Drops the lines of endpoints that nobody asked for lately.
    void expire(TimePoint now);

private:
    struct Line
    {
        TimePoint last_{};           ///< When the last booked send opens.
        TimePoint comeBack_{};       ///< The latest time that a caller was told.
        std::set<TimePoint> free_{}; ///< Booked sends that were given back.
        TimePoint askedAt_{};
    };

    std::map<EndpointIncarnation, Line> lines_;
};

} // namespace cardamombay::serving
