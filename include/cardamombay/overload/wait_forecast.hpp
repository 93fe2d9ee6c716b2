/// \file
/// \brief Predicts how long a request waits for room at a group, and whether that is of use.
/// \details Pure functions.
#pragma once

#include <cardamombay/overload/admission_figures.hpp>

namespace cardamombay::overload {

/// \brief Predicted wait of a held request.
/// \param others demand of the other entry VMs. This entry VM's own held work is in \p ownAhead
/// only; counted in both, it would lengthen the forecast twice.
/// \param rank of the request.
/// \param ownAhead work that this entry VM serves before it, in seconds; see workAhead().
/// \param room rate of work that the groups can take, in groups.
/// \returns the longest representable duration if there is no room.
[[nodiscard]] Duration forecastWait(const ModelDemand &others, Rank rank, double ownAhead,
                                    double room);

/// \brief Times of a request that determine how long it may wait.
struct WaitLimits
{
    Duration latencyGoal_{};   ///< Target for the time from arrival to the first event.
    Duration patience_{};      ///< Time from arrival after which the caller leaves.
    Duration elapsed_{};       ///< Time since arrival.
    Duration firstEvent_{};    ///< Expected time from the send to the first event.
    bool hasReturned_ = false; ///< Its caller came back when told to, and will not come again.
};

/// \brief Longest further wait after which sending the request is still of use to its caller; never
/// negative.
[[nodiscard]] Duration usefulWait(const WaitLimits &limits);

} // namespace cardamombay::overload
