/// \file
/// \brief Names of the events in decision records and logs of the group manager.
#pragma once

namespace cardamombay::groups::events {

inline constexpr const char *planDecided = "plan-decided";       ///< The planner chose.
inline constexpr const char *groupFormed = "group-formed";       ///< Rows of a formation written.
inline constexpr const char *groupServing = "group-serving";     ///< Complete and verified.
inline constexpr const char *groupDegraded = "group-degraded";   ///< Lost or mismatched member.
inline constexpr const char *groupDraining = "group-draining";   ///< Row says draining.
inline constexpr const char *groupDissolved = "group-dissolved"; ///< Rows are free.
inline constexpr const char *vmsFreed = "vms-freed";             ///< Rows of an old formation.
inline constexpr const char *commitFailed = "commit-failed";     ///< Nothing is changed yet.
inline constexpr const char *orderRefused = "order-refused";     ///< An endpoint refused.
inline constexpr const char *tenureBegun = "tenure-begun";       ///< Plans the fabric domain now.

} // namespace cardamombay::groups::events
