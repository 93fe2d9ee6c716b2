// What a request has to do with the limits of endpoints: reserved sends, and the words of answers.
#include "serving/session.hpp"

#include <cardamombay/serving/gateway.hpp>

namespace cardamombay::serving {

/// \returns true if the answer is known already, and another choice may find a target.
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

bool Session::hasTurn() const
{
    return reservation_ && reservation_->isOpen(gateway_.parts().clock_.now());
}

void Session::reservationAnswered()
{
    if (!isDone_ && isHeld_)
        (void)retryHeld();
}

/// A send to an endpoint that wants nothing now is of use to another entry VM.
void Session::dropBarredReservation(TimePoint now)
{
    if (reservation_ && gateway_.gate().sendBlock(reservation_->endpoint(), now))
        reservation_.reset();
}

/// Another endpoint that has the address says nothing of this one, and a refusal need not name a
/// limit that holds on.
void Session::takeNotices(const AnswerHead &answer, TimePoint now)
{
    if (!answer.isWrongPlace_)
        gateway_.notices().take({target_.incarnation(), attemptAt_, answer.isRefused_},
                                answer.notices_, now);
}

} // namespace cardamombay::serving
