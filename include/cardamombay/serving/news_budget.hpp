/// \file
/// \brief How the time in which all entry VMs must know of a change is shared out.
/// \details A few entry VMs watch the store, the others hear of it from them and ask for themselves
/// when that stops. Guards that leaving endpoints and configurations are known in time whichever
/// entry VMs lose the store: each step gets a part of the bound, and a part is kept in reserve.
#pragma once

#include <cardamombay/core/time.hpp>

namespace cardamombay::serving {

/// \brief Between two digests: a group begins about three requests in that time.
inline constexpr Duration digestPeriod = std::chrono::milliseconds(100);

/// \brief The steps from the store's acknowledgement to an entry VM that does not watch it.
/// \details In the worst case all that watch lose the store right after its last confirmation:
/// what changes then is known after longestGap_, when the others have asked for themselves.
struct NewsBudget
{
    Duration wait_{};       ///< Longest time between two confirmations at those that watch.
    Duration told_{};       ///< From them to all others, with a datagram that is lost.
    Duration turns_{};      ///< Between the first and the last of the others that begin to ask.
    Duration longestGap_{}; ///< Between two confirmations at an entry VM that reaches the store.
    Duration sparePause_{}; ///< Of those that watch in case others fail, after a change.
};

/// \param bound time in which a change must be known to all entry VMs.
/// \param hasReporters true if digests go by way of reporters.
[[nodiscard]] NewsBudget newsBudget(Duration bound, bool hasReporters);

/// \brief The newest confirmation of a table that has come to be known.
/// \code
/// if (confirmations.silentFor(now) > budget.wait_ + budget.told_)
///     watch.setActive(true);
/// \endcode
class ConfirmationTrail
{
public:
    /// \param asOf when the store confirmed what is known here; may be repeated or older news.
    void note(TimePoint asOf, TimePoint now);

    /// \brief Time since a newer confirmation came. Not its age: a delay is no silence, and where
    /// all news are late the store would be asked for each.
    [[nodiscard]] Duration silentFor(TimePoint now) const { return now - since_; }

    /// \brief Nothing is missed before \p when.
    void startAt(TimePoint when);

private:
    TimePoint asOf_{};
    TimePoint since_{};
};

} // namespace cardamombay::serving
