/// \file
/// \brief Accepts callers' requests and forwards each of them to an endpoint.
/// \details Owns the state that all sessions share: routes, retry budget, crash detection and
/// quarantine. Session handles a single request. Not thread-safe; runs on one thread.
#pragma once

#include <cardamombay/core/clock.hpp>
#include <cardamombay/core/random.hpp>
#include <cardamombay/net/http_server.hpp>
#include <cardamombay/net/upstream.hpp>
#include <cardamombay/serving/answer_buffers.hpp>
#include <cardamombay/serving/balancer.hpp>
#include <cardamombay/serving/caller_buffers.hpp>
#include <cardamombay/serving/carriers.hpp>
#include <cardamombay/serving/cold_endpoints.hpp>
#include <cardamombay/serving/crash_detector.hpp>
#include <cardamombay/serving/dialect.hpp>
#include <cardamombay/serving/endpoint_gate.hpp>
#include <cardamombay/serving/endpoint_notices.hpp>
#include <cardamombay/serving/endpoint_paths.hpp>
#include <cardamombay/serving/failure_blame.hpp>
#include <cardamombay/serving/gateway_metrics.hpp>
#include <cardamombay/serving/overload_control.hpp>
#include <cardamombay/serving/poison_pills.hpp>
#include <cardamombay/serving/reservation_coordinator.hpp>
#include <cardamombay/serving/retry_limiter.hpp>

#include <map>
#include <memory>
#include <optional>
#include <span>
#include <unordered_map>
#include <utility>
#include <vector>

namespace cardamombay::serving {

class Session;
struct RequestOrigin;

/// \brief Limits agreed with the operators of the platform.
struct GatewayBounds
{
    /// Maximum age of the last confirmed configuration. Beyond it, requests with a key are refused,
    /// since the key may have been revoked in the meantime.
    Duration longestUnconfirmed_ = std::chrono::seconds(4);
    double retryShare_ = 0.2; ///< Retries per request, over all entry VMs.
    Duration retryWindow_ = std::chrono::seconds(10);
    double retryReserve_ = 100; ///< Retries per window regardless of load, over all entry VMs.
    /// Bytes that may be buffered for callers that do not read.
    std::size_t callerBufferBytes_ = BoundedCallerBuffers::defaultBound;
    /// Largest answer other than a stream, in bytes.
    std::size_t answerBytes_ = std::size_t{8} * 1024 * 1024;
    /// Largest event of a stream, in bytes; at most KeptUpstreamLimits::unconsumedBytes_.
    std::size_t eventBytes_ = std::size_t{1} * 1024 * 1024;
    /// Bytes that all incomplete answers may use together.
    std::size_t answerBufferBytes_ = BoundedAnswerBuffers::defaultBound;
};

/// \brief Dependencies of the gateway and its sessions; all must outlive the gateway.
struct GatewayParts
{
    Clock &clock_;
    net::Upstream &upstream_;
    const Dialect &dialect_;
    LoadTracker &loadTracker_;
    Balancer &balancer_;
    GatewayMetrics &metrics_;
    CallerBuffers *callerBuffers_ = nullptr; ///< Null: the gateway's own, by GatewayBounds.
};

/// \brief Handles callers' requests on an entry VM.
class Gateway final : public net::HttpHandler
{
public:
    Gateway(GatewayParts parts, GatewayBounds bounds, Random random);
    ~Gateway() override;

    void handle(net::ServerRequest request, std::shared_ptr<net::ServerExchange> exchange) override;
    net::HttpResponse refusal(net::ServerFault fault, std::string_view detail) override;

    /// \brief Handles a request that another entry VM relays, since it cannot reach the endpoints.
    /// \details Routes, keys and quarantines are checked as for callers. The other entry VM has
    /// admitted and counted the request.
    void handleRelayed(net::ServerRequest request, std::shared_ptr<net::ServerExchange> exchange);

    /// \name State from the control plane
    /// \{
    void setRoutes(std::shared_ptr<const RouteTable> routes);
    [[nodiscard]] const std::shared_ptr<const RouteTable> &routes() const { return routes_; }
    /// \brief While true, new requests are queued instead of refused: the process has just started
    /// and has not received routes and endpoints yet. Setting it to false resumes queued requests.
    void setLearning(bool isLearning);
    [[nodiscard]] bool isLearning() const { return isLearning_; }
    /// \brief Records that the store confirmed the active configuration as the latest at \p when.
    void confirm(TimePoint when) { confirmedAt_ = std::max(confirmedAt_, when); }
    [[nodiscard]] TimePoint confirmedAt() const { return confirmedAt_; }
    /// \brief Records that the local view of the endpoints includes all commits up to \p when.
    void confirmEndpoints(TimePoint when)
    {
        endpointsConfirmedAt_ = std::max(endpointsConfirmedAt_, when);
    }
    [[nodiscard]] TimePoint endpointsConfirmedAt() const { return endpointsConfirmedAt_; }
    /// \brief Counts a restore of the store from a backup.
    void countStoreRestore() { parts_.metrics_.storeRestores_.increment(); }
    /// \brief Counts a reassignment of duties among the entry VMs.
    void countPeerUpdate() { parts_.metrics_.peerUpdates_.increment(); }
    /// \brief Reports whether the store's configuration, and all keys in it, can be read.
    void setConfigurationReadable(bool isReadable)
    {
        parts_.metrics_.unreadableConfiguration_.set(isReadable ? 0 : 1);
    }
    /// \brief Sets the number of availability zones that are being evacuated.
    void countEvacuated(std::size_t zones)
    {
        parts_.metrics_.evacuatedZones_.set(static_cast<double>(zones));
    }
    /// \brief Keeps retries within the fleet's budget.
    [[nodiscard]] RetryLimiter &retries() { return retries_; }
    void setBounds(const GatewayBounds &bounds);
    /// \}

    /// \name Shutdown
    /// \{
    void refuseNew() { isRefusing_ = true; }
    /// \brief Ends all requests: those that have not run are refused, all others are aborted.
    void terminateAll();

    /// \brief Notices that endpoints sent in their answers: limits, cooldowns, shutdown.
    [[nodiscard]] EndpointNotices &notices() { return notices_; }
    /// \brief Final check before each request is sent to an endpoint.
    [[nodiscard]] EndpointGate &gate() { return gate_; }
    /// \brief Entry VMs that may carry requests for this one.
    [[nodiscard]] Carriers &carriers() { return carriers_; }
    /// \brief Paths from this entry VM to the endpoints.
    [[nodiscard]] EndpointPaths &paths() { return paths_; }
    /// \brief Request rate limits stated by endpoints.
    [[nodiscard]] EndpointLimits &limits() { return notices_.limits(); }
    /// \brief Recently started endpoints that accept only a reduced request rate.
    [[nodiscard]] ColdEndpoints &coldEndpoints() { return coldEndpoints_; }
    /// \brief Reserves sends to endpoints with a request rate limit.
    [[nodiscard]] ReservationCoordinator &reservations() { return reservations_; }
    /// \brief Admission, waits and returns under overload.
    [[nodiscard]] OverloadControl &overload() { return overload_; }
    /// \brief Work offered, held and promised here, for digests.
    /// \param withTeams includes the teams of divided ranks.
    [[nodiscard]] overload::FleetDemand overloadDemand(bool withTeams) const;
    /// \brief Evidence and quarantines of requests that crash endpoints.
    [[nodiscard]] PoisonPills &poisonPills() { return poisonPills_; }
    /// \brief Applies crashes and quarantines reported by a peer.
    void takePoisonUpdate(const PoisonUpdate &update);
    /// \brief Sets the callback for a crash of an endpoint with requests from this entry VM; used
    /// to notify the peers immediately.
    void onEndpointCrash(std::function<void()> action) { crashCallback_ = std::move(action); }

    /// \brief Handles the restart of an endpoint: its requests are lost, so their attempts fail
    /// immediately instead of waiting for a time-out.
    /// \param endpoint the instance before the restart.
    void endpointRestarted(const EndpointIncarnation &endpoint, const Address &address);
    [[nodiscard]] bool isRefusing() const { return isRefusing_; }
    /// \}

    /// \brief Handles time-outs, stalled attempts and held requests. Call every sweepPeriod.
    void sweep();

    /// \brief Interval between calls of sweep(); a quarter of the shortest stall time-out.
    static constexpr Duration sweepPeriod = std::chrono::milliseconds(20);

    [[nodiscard]] std::size_t inFlight() const { return sessions_.size(); }

    /// \brief Returns the work requested since the last call, in seconds of full group capacity.
    [[nodiscard]] std::map<ModelName, double> takeDemand() { return std::exchange(demand_, {}); }

    /// \name For sessions
    /// \{
    [[nodiscard]] GatewayParts &parts() { return parts_; }
    /// \brief Bytes buffered for callers that do not read.
    [[nodiscard]] CallerBuffers &callerBuffers()
    {
        return parts_.callerBuffers_ == nullptr ? ownCallerBuffers_ : *parts_.callerBuffers_;
    }
    /// \brief Bytes of incomplete answers.
    [[nodiscard]] AnswerBuffers &answerBuffers() { return answerBuffers_; }
    [[nodiscard]] double randomUnit() { return random_.unit(); }
    /// \brief Reports that the connection to \p target broke before the answer was complete.
    void onAttemptBroken(const Target &target, RequestAtCrash request,
                         std::span<const RequestFingerprint> parts);
    /// \brief Records a server error of \p endpoint.
    /// \param fingerprints the request's content and the shared parts of its prompt.
    /// \returns false if the request, or one like it, has failed at other endpoints too.
    [[nodiscard]] bool blamesEndpoint(std::span<const RequestFingerprint> fingerprints,
                                      const VmId &endpoint);
    /// \brief Records that the connection of an attempt at \p endpoint broke.
    /// \returns false if attempts of the request, or of one like it, have broken at other endpoints
    /// too.
    [[nodiscard]] bool blamesEndpointForBreak(std::span<const RequestFingerprint> fingerprints,
                                              const VmId &endpoint);
    void countRequest(const Service &service, const RequestHead &head);
    /// \brief Time of a full group that the request is expected to take.
    [[nodiscard]] Duration workOf(const Service &service, const RequestHead &head) const;
    /// \brief Held requests for \p model of services under overload control.
    [[nodiscard]] std::vector<overload::HeldRequest> heldRequests(const ModelName &model) const;
    /// \brief Makes the least urgent held request give way if the queue of \p arrival is full.
    void displaceHeld(Session &arrival);
    [[nodiscard]] Duration unconfirmedFor() const;
    [[nodiscard]] const GatewayBounds &bounds() const { return bounds_; }
    void release(Session &session);
    /// \}

private:
    void startSession(net::ServerRequest request, std::shared_ptr<net::ServerExchange> exchange,
                      RequestOrigin origin);
    void endpointCrashed(const EndpointCrash &crash);
    void updatePathMetrics();
    void retractCrash(const VmId &endpoint);
    [[nodiscard]] PathTrust trustInPath(const VmId &endpoint) const;
    void logToldCrash(const EndpointIncarnation &endpoint, TimePoint now) const;
    void requestQuarantined(const PoisonVerdict &verdict);
    void retryHeld(std::vector<std::shared_ptr<Session>> &sessions);

    GatewayParts parts_;
    GatewayBounds bounds_;
    Random random_;
    bool isRefusing_ = false;
    bool isLearning_ = false;
    std::shared_ptr<const RouteTable> routes_;
    TimePoint confirmedAt_{};
    TimePoint endpointsConfirmedAt_{};
    TimePoint lastSweepAt_{};
    std::map<ModelName, double> demand_;
    RetryLimiter retries_;
    FailureBlame failureBlame_;
    /// Kept apart from server errors: many callers may send the same request, and a connection that
    /// broke at one endpoint must not excuse the errors of another.
    FailureBlame breakBlame_;
    EndpointPaths paths_;
    bool wasPartitioned_ = false; ///< At the last sweep.
    CrashDetector crashDetector_;
    PoisonPills poisonPills_;
    EndpointNotices notices_;
    ColdEndpoints coldEndpoints_;
    LowestRate sendRates_;
    ReservationCoordinator reservations_;
    OverloadControl overload_;
    EndpointGate gate_;
    std::function<void()> crashCallback_;
    BoundedCallerBuffers ownCallerBuffers_;
    BoundedAnswerBuffers answerBuffers_;
    Carriers carriers_;
    std::uint64_t lastSession_ = 0; ///< Number of the last session.
    /// By number, so that sessions are visited in the order of their arrival.
    std::map<std::uint64_t, std::shared_ptr<Session>> sessions_;
    std::vector<std::shared_ptr<Session>> released_;
};

} // namespace cardamombay::serving
