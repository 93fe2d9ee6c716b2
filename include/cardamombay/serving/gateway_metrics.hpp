/// \file
/// \brief Counters and latency histograms of callers' requests.
#pragma once

#include <cardamombay/metrics/registry.hpp>
#include <cardamombay/net/answer_defect.hpp>
#include <cardamombay/serving/overload_metrics.hpp>

#include <map>

namespace cardamombay::serving {

/// \brief Metrics of the gateway; listed in docs/operations/fleet_platform.md.
struct GatewayMetrics
{
    explicit GatewayMetrics(metrics::Registry &registry);

    metrics::Counter requests_;
    metrics::Counter served_;
    metrics::Counter refused_;        ///< Not run; the caller was told so.
    metrics::Counter refusedForLoad_; ///< Refused since more work was asked for than groups can do.
    metrics::Counter displaced_;      ///< Held requests refused in favour of more urgent ones.
    metrics::Counter failed_;         ///< Outcome unknown, or the answer was aborted.
    metrics::Counter callerLeft_;
    metrics::Counter retries_;
    metrics::Counter quotaGiven_;    ///< Quota for retries given to other entry VMs.
    metrics::Counter quotaReceived_; ///< Quota for retries received from other entry VMs.
    /// Retries of the fleet in the last window, as far as known, as a share of those allowed.
    metrics::Gauge retryBudgetUsed_;
    metrics::Counter stalls_;          ///< Attempts abandoned because the endpoint sent nothing.
    metrics::Counter endpointCrashes_; ///< Endpoints that crashed with requests from this entry VM.
    metrics::Counter quarantined_;     ///< Requests refused because they crash endpoints.
    metrics::Counter peerUpdates_;     ///< Reassignments of duties among entry VMs.
    metrics::Counter storeRestores_;   ///< Restores of the store from a backup.
    metrics::Counter limitedSends_;    ///< Sends to endpoints with a request rate limit.
    metrics::Counter unreadableLimits_;
    metrics::Counter reservations_; ///< Requested reservations of sends to such endpoints.
    metrics::Counter reservationsRefused_;
    metrics::Counter reservationsReturned_; ///< Granted and not used.
    metrics::Counter silentOwners_; ///< Entry VMs that did not answer for an endpoint's limit.
    metrics::Counter cooldowns_;    ///< Cooldowns requested by endpoints.
    metrics::Gauge cooldownsInForce_;
    metrics::Counter refusalsInCooldown_; ///< Refusals of requests sent during a cooldown.
    metrics::Counter withheldSends_;      ///< Sends rejected by the final check.
    metrics::Counter unreadableCooldowns_;
    metrics::Counter coldStarts_; ///< Endpoints detected as cold.
    metrics::Gauge coldEndpoints_;
    metrics::Gauge evacuatedZones_;
    metrics::Gauge unreadableConfiguration_; ///< 1 while it, or a key in it, cannot be read.
    metrics::Gauge lostPaths_;        ///< Endpoints that others reach and this entry VM does not.
    metrics::Gauge partitioned_;      ///< 1 while this entry VM has lost its paths to endpoints.
    metrics::Counter relayed_;        ///< Requests sent to another entry VM, which carries them.
    metrics::Counter relaysRefused_;  ///< Of these, those that it refused.
    metrics::Counter relaysBroken_;   ///< Of these, those whose connection was not made or broke.
    metrics::Counter carried_;        ///< Requests carried for other entry VMs.
    metrics::Gauge avoidedEndpoints_; ///< Endpoints avoided because they break new requests.
    metrics::Counter returnPromises_; ///< Refused callers that were promised room.
    metrics::Counter returnClaims_;   ///< Requests that may be returns; owners were asked.
    metrics::Counter returnClaimsGranted_;    ///< Of these, those that are returns.
    metrics::Counter returnClaimsDenied_;     ///< Of these, those that are new.
    metrics::Counter returnClaimsUnanswered_; ///< Of these, those that count as new for lack of an
                                              ///< answer.
    metrics::Gauge callerBufferBytes_;        ///< Bytes buffered for callers, over all streams.
    metrics::Counter readPauses_;             ///< Streams paused since their callers do not read.
    metrics::Counter callerBufferRefusals_;   ///< Streams refused since the buffers are full.
    metrics::Gauge answerBufferBytes_;        ///< Bytes of incomplete answers of endpoints.
    metrics::Counter oversizedAnswers_;       ///< Attempts given up since the answer is too large.
    /// Attempts whose endpoint has sent what is not an answer.
    std::map<net::AnswerDefect, metrics::Counter> brokenAnswers_;
    /// Requests whose list of prompt parts is malformed or too long to be read whole.
    metrics::Counter incompleteParts_;
    /// Age of the confirmed endpoint data at each send, in seconds.
    metrics::Histogram endpointsAge_;
    metrics::Histogram
        firstByte_; ///< Seconds from the request to the first event or complete answer.
    metrics::Histogram eventGap_;       ///< Seconds between consecutive events.
    metrics::Histogram answerDuration_; ///< Seconds from the request to the end of the answer.
    OverloadMetrics overload_;
};

} // namespace cardamombay::serving
