/// \file
/// \brief Names of the log events of the serving modules; listed in docs/OPERATIONS.md.
#pragma once

#include <string_view>

namespace cardamombay::serving::event {

/// \name Requests
/// \{
inline constexpr std::string_view requestFinished = "request-finished";
inline constexpr std::string_view attemptFailed = "attempt-failed";
inline constexpr std::string_view retryTaken = "retry-taken";
inline constexpr std::string_view retryRefused = "retry-refused";
inline constexpr std::string_view quotaRecovered = "retry-quota-recovered";
inline constexpr std::string_view quotaGiven = "retry-quota-given";
inline constexpr std::string_view requestQuarantined = "request-quarantined";
inline constexpr std::string_view quarantineLifted = "quarantine-lifted";
inline constexpr std::string_view callerBuffersFull = "caller-buffers-full";
inline constexpr std::string_view callerBuffersFree = "caller-buffers-free";
inline constexpr std::string_view endpointCrashed = "endpoint-crashed";
inline constexpr std::string_view endpointCrashTold = "endpoint-crash-told";
inline constexpr std::string_view endpointCrashRuledOut = "endpoint-crash-ruled-out";
inline constexpr std::string_view endpointCrashRetracted = "endpoint-crash-retracted";
inline constexpr std::string_view pathsLost = "endpoint-paths-lost";
inline constexpr std::string_view pathsRestored = "endpoint-paths-restored";
inline constexpr std::string_view endpointAvoided = "endpoint-avoided";
inline constexpr std::string_view endpointUsedAgain = "endpoint-used-again";
inline constexpr std::string_view breakReportIgnored = "break-report-ignored";
inline constexpr std::string_view endpointLimited = "endpoint-limited";
inline constexpr std::string_view endpointLimitEnded = "endpoint-limit-ended";
inline constexpr std::string_view endpointCooldown = "endpoint-cooldown";
inline constexpr std::string_view endpointCooldownEnded = "endpoint-cooldown-ended";
inline constexpr std::string_view cooldownUnreadable = "endpoint-cooldown-unreadable";
inline constexpr std::string_view endpointSaysLeaving = "endpoint-says-leaving";
inline constexpr std::string_view endpointCold = "endpoint-cold";
inline constexpr std::string_view limitOwnerSilent = "limit-owner-silent";
inline constexpr std::string_view returnOwnerLost = "return-owner-lost";
inline constexpr std::string_view returnPromiseVoid = "return-promise-void";
inline constexpr std::string_view returnMessageIgnored = "return-message-ignored";
inline constexpr std::string_view endpointLimitUnreadable = "endpoint-limit-unreadable";
/// \}

/// \name State of this entry VM
/// \{
inline constexpr std::string_view configurationInForce = "configuration-in-force";
inline constexpr std::string_view configurationRefused = "configuration-refused";
inline constexpr std::string_view teamsUnreadable = "configuration-teams-unreadable";
inline constexpr std::string_view usualSizesUnknown = "usual-sizes-unknown";
inline constexpr std::string_view zoneEvacuated = "zone-evacuated";
inline constexpr std::string_view zoneReturned = "zone-returned";
inline constexpr std::string_view evacuationRefused = "evacuation-refused";
inline constexpr std::string_view configurationAsked = "configuration-asked-of-peers";
inline constexpr std::string_view configurationFromPeer = "configuration-from-peer";
inline constexpr std::string_view endpointListed = "endpoint-listed";
inline constexpr std::string_view endpointsChanged = "endpoints-changed";
inline constexpr std::string_view endpointGone = "endpoint-gone";
inline constexpr std::string_view endpointLeaving = "endpoint-leaving";
inline constexpr std::string_view viewBehind = "view-behind";
inline constexpr std::string_view endpointRestarted = "endpoint-restarted";
inline constexpr std::string_view endpointRefused = "endpoint-entry-refused";
inline constexpr std::string_view storeCallFailed = "store-call-failed";
inline constexpr std::string_view storeLost = "store-lost";
inline constexpr std::string_view absenceExcused = "absence-excused";
inline constexpr std::string_view timelineRefused = "store-timeline-refused";
inline constexpr std::string_view storeRestored = "store-restored";
inline constexpr std::string_view storeRegained = "store-regained";
inline constexpr std::string_view readiness = "readiness-changed";
inline constexpr std::string_view peersChanged = "peers-changed";
inline constexpr std::string_view reporterChanged = "reporter-changed";
/// \}

/// \name Groups
/// \{
inline constexpr std::string_view leaseGained = "planner-lease-gained";
inline constexpr std::string_view plannerStandsBy = "planner-stands-by";
inline constexpr std::string_view leaseLost = "planner-lease-lost";
inline constexpr std::string_view groupPlanned = "group-planned";
inline constexpr std::string_view capacity = "group-capacity";
inline constexpr std::string_view mixReviewed = "model-mix-reviewed";
inline constexpr std::string_view engineSilent = "engine-silent";
inline constexpr std::string_view orderSent = "order-sent";
inline constexpr std::string_view orderAnswered = "order-answered";
/// \}

} // namespace cardamombay::serving::event
