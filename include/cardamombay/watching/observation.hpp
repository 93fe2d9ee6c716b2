/// \file
/// \brief What is known of one endpoint VM.
/// \details Values only. Instants are of the local clock; between processes they travel as ages.
#pragma once

#include <cardamombay/core/ids.hpp>
#include <cardamombay/core/time.hpp>
#include <cardamombay/endpoint/endpoint_state.hpp>

namespace cardamombay::watching {

/// \brief Latest state of an endpoint VM and the instant after which it certainly held.
struct Observation
{
    endpoint::EndpointState state_;
    TimePoint observedAt_{}; ///< On this entry VM's clock; never later than the truth.
    bool isStraggler_ = false;
    EntryId by_; ///< The entry VM that probed.
};

/// \brief True if \p candidate replaces \p known.
/// \details A later incarnation wins whatever its age: the former life is over. Within one
/// incarnation the later instant wins, so duplicates and late arrivals change nothing. An earlier
/// incarnation loses, unless what is known is older than \p replacedTime; then the VM was replaced
/// by one that counts anew.
[[nodiscard]] bool supersedes(const Observation &candidate, const Observation &known,
                              Duration replacedTime);

} // namespace cardamombay::watching
