// Rate limit part of Session: reservations, and notices in the answers of endpoints.
#include "serving/session.hpp"

#include <cardamombay/serving/gateway.hpp>

namespace cardamombay::serving {

/// \returns true if the result is already known, so that choosing again may find a target.
bool Session::reserve(const NeedsReservation &needed, TimePoint now)
{
    reservation_ = gateway_.reservations().reserve(needed.endpoint_, holdLeft(now),
                                                   [weak = weak_from_this()] {
                                                       if (const auto self = weak.lock())
                                                           self->reservationAnswered();
                                                   });
    return reservation_->isOpen(now) || !awaitsReservation(now);
}

bool Session::awaitsReservation(TimePoint now) const
{
    return reservation_ && reservation_->isAlive(now);
}

bool Session::hasOpenReservation() const
{
    return reservation_ && reservation_->isOpen(gateway_.parts().clock_.now());
}

void Session::reservationAnswered()
{
    if (!isDone_ && isHeld_)
        (void)retryHeld();
}

/// Releases a reservation at an endpoint that currently accepts no requests, for use by other entry
/// VMs.
void Session::dropUnusableReservation(TimePoint now)
{
    if (reservation_ && gateway_.gate().sendBlock(reservation_->endpoint(), now))
        reservation_.reset();
}

/// Ignores notices of a different endpoint that reuses the address. Refusals are marked as such,
/// since a refusal need not state a limit that is still in force.
void Session::recordNotices(const EndpointResponseHead &answer, TimePoint now)
{
    if (!answer.isMisdirected_)
        gateway_.notices().take({target_.incarnation(), attemptAt_, answer.isRefused_},
                                answer.notices_, now);
}

} // namespace cardamombay::serving
