#include <cardamombay/serving/gateway_metrics.hpp>

namespace cardamombay::serving {

namespace {

/// Bounds in seconds; cover latency goals of 0.15 to 0.4 s and time-outs of up to 8 s.
const std::vector<double> latencyBuckets{0.01, 0.025, 0.05, 0.1, 0.15, 0.2,
                                         0.3,  0.4,   0.8,  1.6, 4,    8};

/// Bounds in seconds; cover the 2 to 4 s after which a leaving endpoint gets no new requests.
const std::vector<double> ageBuckets{0.25, 0.5, 1, 1.25, 1.5, 1.75, 2, 2.5, 3, 4, 8};

std::map<net::AnswerDefect, metrics::Counter> brokenAnswerCounters(metrics::Registry &registry)
{
    std::map<net::AnswerDefect, metrics::Counter> result;
    for (const auto defect : net::answerDefects)
        result.emplace(defect,
                       registry.counter("cardamombay_gateway_broken_answers_total",
                                        "Attempts whose endpoint has sent what is not an answer.",
                                        {{"defect", std::string(nameOf(defect))}}));
    return result;
}

} // namespace

GatewayMetrics::GatewayMetrics(metrics::Registry &registry)
    : requests_(registry.counter("cardamombay_gateway_requests_total", "Requests taken."))
    , served_(registry.counter("cardamombay_gateway_served_total", "Requests answered whole."))
    , refused_(registry.counter("cardamombay_gateway_refused_total", "Requests not run."))
    , refusedForLoad_(
          registry.counter("cardamombay_gateway_refused_for_load_total",
                           "Requests refused since more work was asked for than groups can do."))
    , displaced_(registry.counter("cardamombay_gateway_displaced_total",
                                  "Held requests refused in favour of more urgent ones."))
    , failed_(registry.counter("cardamombay_gateway_failed_total",
                               "Requests whose outcome is unknown or that were broken off."))
    , callerLeft_(registry.counter("cardamombay_gateway_caller_left_total",
                                   "Requests whose caller left before the end."))
    , retries_(registry.counter("cardamombay_gateway_repeats_total",
                                "Attempts beyond the first of a request."))
    , quotaGiven_(registry.counter("cardamombay_gateway_repeat_quota_given_total",
                                   "Repeats left to other entry VMs."))
    , quotaReceived_(registry.counter("cardamombay_gateway_repeat_quota_received_total",
                                      "Repeats that other entry VMs left to this one."))
    , retryBudgetUsed_(registry.gauge(
          "cardamombay_gateway_repeat_budget_used",
          "Share of the fleet's budget of repeats that is used, for the service nearest to it."))
    , stalls_(registry.counter("cardamombay_gateway_stalls_total",
                               "Attempts ended because the endpoint was silent."))
    , endpointCrashes_(registry.counter("cardamombay_gateway_endpoint_crashes_total",
                                        "Endpoints that ended while they had requests from here."))
    , quarantined_(
          registry.counter("cardamombay_gateway_quarantined_total",
                           "Requests refused because they end the endpoints that run them."))
    , peerUpdates_(registry.counter("cardamombay_gateway_peer_updates_total",
                                    "Times that duties were dealt anew among the entry VMs."))
    , storeRestores_(registry.counter("cardamombay_gateway_store_restores_total",
                                      "Times that the store came back from a backup."))
    , limitedSends_(registry.counter("cardamombay_gateway_limited_sends_total",
                                     "Attempts at endpoints that limit the rate of requests."))
    , unreadableLimits_(
          registry.counter("cardamombay_gateway_unreadable_limits_total",
                           "Answers that name a limit of the rate that cannot be read."))
    , reservations_(registry.counter("cardamombay_gateway_reservations_total",
                                     "Sends to endpoints with a limit that were asked for."))
    , reservationsRefused_(registry.counter("cardamombay_gateway_reservations_refused_total",
                                            "Of these, those that the limit left no time for."))
    , reservationsReturned_(registry.counter("cardamombay_gateway_reservations_returned_total",
                                             "Booked sends that were not used."))
    , silentOwners_(registry.counter("cardamombay_gateway_silent_limit_owners_total",
                                     "Entry VMs that did not answer for an endpoint's limit."))
    , cooldowns_(registry.counter("cardamombay_gateway_cooldowns_total",
                                  "Times that an endpoint refused and asked to be left alone."))
    , cooldownsInForce_(registry.gauge("cardamombay_gateway_cooldowns_in_force",
                                       "Endpoints that are left alone since they asked for it."))
    , refusalsInCooldown_(registry.counter("cardamombay_gateway_refusals_in_cooldown_total",
                                           "Requests that reached an endpoint in its cooldown."))
    , withheldSends_(registry.counter("cardamombay_gateway_withheld_sends_total",
                                      "Sends that an endpoint's notice forbade at the last look."))
    , unreadableCooldowns_(registry.counter("cardamombay_gateway_unreadable_cooldowns_total",
                                            "Refusals whose cooldown cannot be read."))
    , coldStarts_(registry.counter("cardamombay_gateway_cold_starts_total",
                                   "Times that an endpoint was found cold."))
    , coldEndpoints_(registry.gauge("cardamombay_gateway_cold_endpoints",
                                    "Endpoints that take only few requests a second for now."))
    , evacuatedZones_(registry.gauge("cardamombay_gateway_evacuated_zones",
                                     "Availability zones whose endpoints get no requests."))
    , unreadableConfiguration_(
          registry.gauge("cardamombay_gateway_configuration_unreadable",
                         "1 while the configuration or its keys cannot be read."))
    , lostPaths_(registry.gauge("cardamombay_gateway_lost_paths",
                                "Endpoints that other entry VMs reach and this one does not."))
    , partitioned_(registry.gauge("cardamombay_gateway_partitioned",
                                  "1 while this entry VM has lost its paths to endpoints."))
    , relayed_(registry.counter("cardamombay_gateway_relayed_total",
                                "Requests sent to another entry VM, which carries them."))
    , relaysRefused_(registry.counter("cardamombay_gateway_relays_refused_total",
                                      "Of these, those that it refused."))
    , relaysBroken_(
          registry.counter("cardamombay_gateway_relays_broken_total",
                           "Of these, those whose connection was not established or broke."))
    , carried_(registry.counter("cardamombay_gateway_carried_total",
                                "Requests carried for other entry VMs."))
    , avoidedEndpoints_(registry.gauge("cardamombay_gateway_avoided_endpoints",
                                       "Endpoints avoided because they break new requests."))
    , returnPromises_(registry.counter("cardamombay_gateway_return_promises_total",
                                       "Refused callers for whose return room was promised."))
    , returnClaims_(registry.counter("cardamombay_gateway_return_claims_total",
                                     "Requests for which an owner of promises was asked."))
    , returnClaimsGranted_(registry.counter("cardamombay_gateway_return_claims_granted_total",
                                            "Of these, those with a promise."))
    , returnClaimsDenied_(registry.counter("cardamombay_gateway_return_claims_denied_total",
                                           "Of these, those without a promise."))
    , returnClaimsUnanswered_(
          registry.counter("cardamombay_gateway_return_claims_unanswered_total",
                           "Of these, those whose owner did not answer in time."))
    , callerBufferBytes_(registry.gauge("cardamombay_gateway_caller_buffer_bytes",
                                        "Bytes of streams that callers have not read yet."))
    , readPauses_(registry.counter("cardamombay_gateway_read_pauses_total",
                                   "Times that a stream was paused for a caller to read."))
    , callerBufferRefusals_(
          registry.counter("cardamombay_gateway_caller_buffer_refusals_total",
                           "Streams refused because callers had too many bytes left to read."))
    , answerBufferBytes_(registry.gauge("cardamombay_gateway_answer_buffer_bytes",
                                        "Bytes of incomplete answers of endpoints."))
    , oversizedAnswers_(registry.counter("cardamombay_gateway_oversized_answers_total",
                                         "Attempts given up because the answer is too large."))
    , brokenAnswers_(brokenAnswerCounters(registry))
    , incompleteParts_(
          registry.counter("cardamombay_gateway_incomplete_prompt_parts_total",
                           "Requests whose list of prompt parts is malformed or too long."))
    , endpointsAge_(registry.histogram(
          "cardamombay_gateway_endpoints_age_seconds",
          "Age of the knowledge of endpoints by which a request was sent.", ageBuckets))
    , firstByte_(registry.histogram("cardamombay_gateway_first_byte_seconds",
                                    "From a request to its first event or its answer.",
                                    latencyBuckets))
    , eventGap_(registry.histogram("cardamombay_gateway_pause_seconds",
                                   "Between two events of a stream.", latencyBuckets))
    , answerDuration_(registry.histogram("cardamombay_gateway_answer_seconds",
                                         "From a request to the end of its answer.",
                                         latencyBuckets))
    , overload_(registry)
{
}

} // namespace cardamombay::serving
