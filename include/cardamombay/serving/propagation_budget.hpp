/// \file
/// \brief Divides the time within which all entry VMs must learn of a change among the steps in
/// between.
/// \details A few entry VMs watch the store and relay changes; the others query the store
/// themselves when the relay stops. Each step gets a part of the bound and a part is kept in
/// reserve, so that leaving endpoints and new configurations are known in time whichever entry VMs
/// lose the store.
#pragma once

#include <cardamombay/core/time.hpp>

namespace cardamombay::serving {

/// \brief Interval between digests; a group starts about three requests in that time.
inline constexpr Duration digestPeriod = std::chrono::milliseconds(100);

/// \brief Time limits of the steps between the store's acknowledgement and an entry VM that doesn't
/// watch the store.
/// \details In the worst case all watchers lose the store right after its last confirmation. A
/// change made then is known after maxGap_, once the others have queried the store themselves.
struct PropagationBudget
{
    Duration wait_{};      ///< Maximum time between two confirmations at a watcher.
    Duration relayTime_{}; ///< From the watchers to all others, allowing for one lost datagram.
    Duration stagger_{};   ///< Period over which the others' first own queries are spread.
    Duration maxGap_{};    ///< Maximum time between two confirmations at an entry VM that reaches
                           ///< the store.
    Duration standbyPause_{}; ///< Delay after a change at standby watchers.
};

/// \param bound time within which a change must be known to all entry VMs.
/// \param hasReporters true if digests are sent by way of reporters.
[[nodiscard]] PropagationBudget propagationBudget(Duration bound, bool hasReporters);

/// \brief Tracks the newest known confirmation of a table.
/// \code
/// if (confirmations.timeSinceUpdate(now) > budget.wait_ + budget.relayTime_)
///     watch.setActive(true);
/// \endcode
class ConfirmationTracker
{
public:
    /// \param asOf when the store confirmed the state here; may be the same as before, or older.
    void note(TimePoint asOf, TimePoint now);

    /// \brief Time since a newer confirmation arrived. This differs from the confirmation's age: if
    /// all messages are late, confirmations are old but still advance, and the store need not be
    /// queried.
    [[nodiscard]] Duration timeSinceUpdate(TimePoint now) const { return now - since_; }

    /// \brief Doesn't count the time before \p when as silence.
    void startAt(TimePoint when);

private:
    TimePoint asOf_{};
    TimePoint since_{};
};

} // namespace cardamombay::serving
