/// \file
/// \brief Event names in the decision records and logs of the group manager.
#pragma once

namespace cardamombay::groups::events {

inline constexpr const char *planDecided = "plan-decided";     ///< The planner made a decision.
inline constexpr const char *groupFormed = "group-formed";     ///< A formation was written.
inline constexpr const char *groupServing = "group-serving";   ///< All members ready and verified.
inline constexpr const char *groupDegraded = "group-degraded"; ///< A member is lost or mismatched.
inline constexpr const char *groupDraining = "group-draining"; ///< The row's phase is draining.
inline constexpr const char *groupDissolved = "group-dissolved"; ///< The slot and its VMs are free.
inline constexpr const char *vmsFreed = "vms-freed"; ///< VM rows of a former formation freed.
inline constexpr const char *commitFailed
    = "commit-failed"; ///< A commit failed; the cache is unchanged.
inline constexpr const char *orderRefused = "order-refused"; ///< An endpoint refused an order.
inline constexpr const char *tenureBegun = "tenure-begun"; ///< Took the planner lease of a domain.

} // namespace cardamombay::groups::events
