/// \file
/// \brief Which entry VMs take a duty for the others, such as planning or adding up digests.
/// \details All entry VMs know the same capacities and compute the same order, without a message.
#pragma once

#include <cardamombay/core/ids.hpp>

#include <map>
#include <string_view>
#include <vector>

namespace cardamombay::serving {

/// \brief What an entry VM has for duties beside its callers: cores times the Mbit/s of its link;
/// 0 if it has not said so.
using EntryCapacity = double;

/// \brief Puts entry VMs into the order in which they take \p duty.
/// \details Those that have half of the greatest capacity or more come first, then all others;
/// each part in rendezvous order. A planner on a VM of 0.12 cores and 20 Mbit/s had a view of its
/// engines that was up to 27 s old, where others of 0.5 cores and 200 Mbit/s were idle.
/// \param duty what the entry VMs share out; different duties go to different ones.
/// \param capacities of the entry VMs that are alive.
/// \code
/// const auto planners = dutyOrder("planner", capacities);
/// \endcode
[[nodiscard]] std::vector<EntryId> dutyOrder(std::string_view duty,
                                             const std::map<EntryId, EntryCapacity> &capacities);

} // namespace cardamombay::serving
