/// \file
/// \brief Observed state of an endpoint VM.
/// \details Timestamps use the local clock and are transmitted to other processes as ages.
#pragma once

#include <cardamombay/core/ids.hpp>
#include <cardamombay/core/time.hpp>
#include <cardamombay/endpoint/endpoint_state.hpp>

namespace cardamombay::watching {

/// \brief State of an endpoint VM and a lower bound on the time at which it was valid.
struct Observation
{
    endpoint::EndpointState state_;
    TimePoint observedAt_{}; ///< On the local clock; never later than the actual time.
    bool isStraggler_ = false;
    EntryId by_; ///< The entry VM that probed the VM.
};

/// \brief True if \p candidate replaces \p known.
/// \details A higher incarnation always wins, because the VM has restarted since the lower one.
/// Within an incarnation the later observation wins, so duplicate and late arrivals have no effect.
/// A lower incarnation loses unless it was observed more than \p replacementAge after \p known; the
/// VM was then replaced by one whose incarnations start over.
[[nodiscard]] bool supersedes(const Observation &candidate, const Observation &known,
                              Duration replacementAge);

} // namespace cardamombay::watching
