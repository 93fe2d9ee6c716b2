/// \file
/// \brief Counters and latency histograms of callers' requests.
#pragma once

#include <cardamombay/metrics/registry.hpp>

namespace cardamombay::serving {

/// \brief Metrics of the gateway; listed in docs/operations/fleet_platform.md.
struct GatewayMetrics
{
    explicit GatewayMetrics(metrics::Registry &registry);

    metrics::Counter requests_;
    metrics::Counter served_;
    metrics::Counter refused_; ///< Not run, and said so.
    metrics::Counter failed_;  ///< Outcome unknown or broken off.
    metrics::Counter callerLeft_;
    metrics::Counter retries_;
    metrics::Counter stalls_;          ///< Attempts ended since the endpoint was silent.
    metrics::Counter endpointCrashes_; ///< Endpoints that ended under requests from here.
    metrics::Counter quarantined_;     ///< Requests refused since they end endpoints.
    metrics::Counter peerUpdates_;     ///< Times that duties were dealt anew among entry VMs.
    metrics::Counter storeRestores_;   ///< Times that the store came back from a backup.
    metrics::Counter limitedSends_;    ///< To endpoints that limit the rate of requests.
    metrics::Counter unreadableLimits_;
    metrics::Counter reservations_; ///< Sends to such endpoints that were asked for.
    metrics::Counter reservationsRefused_;
    metrics::Counter reservationsReturned_; ///< Booked and not used.
    metrics::Counter silentOwners_;         ///< Entry VMs that did not answer for an endpoint.
    metrics::Counter cooldowns_;            ///< Times that an endpoint wanted nothing for a while.
    metrics::Gauge cooldownsInForce_;
    metrics::Counter refusalsInCooldown_; ///< Of requests that reached an endpoint all the same.
    metrics::Counter withheldSends_;      ///< Held back by the last look before a send.
    metrics::Counter unreadableCooldowns_;
    metrics::Counter coldStarts_; ///< Times that an endpoint was found cold.
    metrics::Gauge coldEndpoints_;
    metrics::Gauge evacuatedZones_;
    /// Seconds since the store confirmed what is known of the endpoints, at each send.
    metrics::Histogram endpointsAge_;
    metrics::Histogram firstByte_; ///< Seconds from the request to the first event or the answer.
    metrics::Histogram eventGap_;  ///< Seconds between two events.
    metrics::Histogram answerDuration_; ///< Seconds from the request to the end of its answer.
};

} // namespace cardamombay::serving
