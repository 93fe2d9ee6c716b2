/// \file
/// \brief Selects the entry VMs that perform a duty for the others, such as planning or adding up
/// digests.
/// \details All entry VMs know the same capacities and compute the same order without exchanging
/// messages.
#pragma once

#include <cardamombay/core/ids.hpp>

#include <map>
#include <string_view>
#include <vector>

namespace cardamombay::serving {

/// \brief Resources of an entry VM: cores times the bandwidth of its link in Mbit/s; 0 if unknown.
using EntryCapacity = double;

/// \brief Ranks entry VMs for \p duty; the first one performs it, the next ones take over.
/// \details Entry VMs with at least half of the greatest capacity come first, then all others; each
/// part is in rendezvous order. Without regard to capacity, a planner on a VM of 0.12 cores and 20
/// Mbit/s had a view of its engines that was up to 27 s old, while others of 0.5 cores and 200
/// Mbit/s were idle.
/// \param duty name of the duty; different duties go to different entry VMs.
/// \param capacities of the live entry VMs.
/// \code
/// const auto planners = dutyOrder("planner", capacities);
/// \endcode
[[nodiscard]] std::vector<EntryId> dutyOrder(std::string_view duty,
                                             const std::map<EntryId, EntryCapacity> &capacities);

} // namespace cardamombay::serving
