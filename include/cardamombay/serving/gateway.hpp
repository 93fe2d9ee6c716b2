/// \file
/// \brief Takes callers' requests and hands each to an endpoint.
/// \details Decides whether a request may be served by the configuration and the age of what is
/// known; sessions decide the rest. One thread.
#pragma once

#include <cardamombay/core/clock.hpp>
#include <cardamombay/core/random.hpp>
#include <cardamombay/net/http_server.hpp>
#include <cardamombay/net/upstream.hpp>
#include <cardamombay/serving/balancer.hpp>
#include <cardamombay/serving/cold_endpoints.hpp>
#include <cardamombay/serving/crash_detector.hpp>
#include <cardamombay/serving/dialects.hpp>
#include <cardamombay/serving/endpoint_gate.hpp>
#include <cardamombay/serving/endpoint_notices.hpp>
#include <cardamombay/serving/failure_blame.hpp>
#include <cardamombay/serving/gateway_metrics.hpp>
#include <cardamombay/serving/poison_pills.hpp>
#include <cardamombay/serving/repeat_window.hpp>
#include <cardamombay/serving/reservation_coordinator.hpp>

#include <map>
#include <memory>
#include <optional>
#include <unordered_map>
#include <utility>
#include <vector>

namespace cardamombay::serving {

class Session;

/// \brief Bounds that the operators of the platform agreed on.
struct GatewayBounds
{
    /// A key may have been taken away since the configuration was last confirmed; requests with a
    /// key are refused once that is longer ago than this.
    Duration longestUnconfirmed_ = std::chrono::seconds(4);
    double retryShare_ = 0.2; ///< Repeats for each request, over all entry VMs.
    Duration retryWindow_ = std::chrono::seconds(10);
    double retryReserve_ = 100; ///< Repeats in a window at any rate, over all entry VMs.
};

/// \brief What sessions use; all outlive the gateway.
struct GatewayParts
{
    Clock &clock_;
    net::Upstream &upstream_;
    const Dialect &dialect_;
    LoadTracker &loadTracker_;
    Balancer &balancer_;
    GatewayMetrics &metrics_;
};

/// \brief The entry VM's handler of callers' requests.
class Gateway final : public net::HttpHandler
{
public:
    Gateway(GatewayParts parts, GatewayBounds bounds, Random random);
    ~Gateway() override;

    void handle(net::ServerRequest request, std::shared_ptr<net::ServerExchange> exchange) override;
    net::HttpResponse refusal(net::ServerFault fault, std::string_view detail) override;

    /// \name What control knows
    /// \{
    void setRoutes(std::shared_ptr<const RouteTable> routes) { routes_ = std::move(routes); }
    [[nodiscard]] const std::shared_ptr<const RouteTable> &routes() const { return routes_; }
    /// \brief Requests wait while this process has just started and does not know yet where they
    /// may go; otherwise they are refused then.
    void setLearning(bool isLearning);
    [[nodiscard]] bool isLearning() const { return isLearning_; }
    /// \brief The store confirmed at \p when that the configuration in force is the newest.
    void confirm(TimePoint when) { confirmedAt_ = std::max(confirmedAt_, when); }
    [[nodiscard]] TimePoint confirmedAt() const { return confirmedAt_; }
    /// \brief What is known here of the endpoints held all that was committed at \p when.
    void confirmEndpoints(TimePoint when)
    {
        endpointsConfirmedAt_ = std::max(endpointsConfirmedAt_, when);
    }
    [[nodiscard]] TimePoint endpointsConfirmedAt() const { return endpointsConfirmedAt_; }
    /// \brief The store has come back from a backup.
    void countStoreRestore() { parts_.metrics_.storeRestores_.increment(); }
    /// \brief Duties were dealt anew among the entry VMs.
    void countPeerUpdate() { parts_.metrics_.peerUpdates_.increment(); }
    /// \brief Availability zones that operators empty now.
    void countEvacuated(std::size_t zones)
    {
        parts_.metrics_.evacuatedZones_.set(static_cast<double>(zones));
    }
    /// \brief Entry VMs that share the fleet's retries, self included.
    void setEntryCount(std::size_t count);
    /// \brief What the other entry VMs counted in the last window, as they told last.
    void setOthersRepeats(std::map<ServiceName, RepeatCounts> counts);
    /// \brief What was counted here, for the others.
    [[nodiscard]] std::map<ServiceName, RepeatCounts> repeatCounts(TimePoint now);
    void setBounds(const GatewayBounds &bounds);
    /// \}

    /// \name Shutdown
    /// \{
    void refuseNew() { isRefusing_ = true; }
    /// \brief Ends all requests: what has not run is refused, the rest is broken off.
    void cutAll();

    /// \brief What endpoints have said of themselves.
    [[nodiscard]] EndpointNotices &notices() { return notices_; }
    /// \brief Where every send asks whether it may leave.
    [[nodiscard]] EndpointGate &gate() { return gate_; }
    /// \brief Limits of the rate of requests that endpoints name.
    [[nodiscard]] EndpointLimits &limits() { return notices_.limits(); }
    /// \brief Endpoints that have just started.
    [[nodiscard]] ColdEndpoints &coldEndpoints() { return coldEndpoints_; }
    /// \brief Reserves sends to the endpoints that take only few requests a second.
    [[nodiscard]] ReservationCoordinator &reservations() { return reservations_; }
    /// \brief What is known of requests that end endpoints.
    [[nodiscard]] PoisonPills &poisonPills() { return poisonPills_; }
    /// \brief Takes what a peer tells of endpoints that ended, and of requests that end them.
    void takePoisonNews(const PoisonNews &news);
    /// \brief Called when an endpoint has ended under requests from here, so that peers hear of it
    /// at once.
    void onEndpointCrash(std::function<void()> action) { crashSeen_ = std::move(action); }

    /// \brief An endpoint has started again: what it had of requests is lost, and they go on
    /// elsewhere at once.
    /// \param endpoint its earlier life.
    void endpointRestarted(const EndpointIncarnation &endpoint, const Address &address);
    [[nodiscard]] bool isRefusing() const { return isRefusing_; }
    /// \}

    /// \brief Ends what is due: time-outs and stalled attempts. Call every sweepPeriod.
    void sweep();

    /// \brief How often sweep() is due; a quarter of the shortest pause that counts as a stall.
    static constexpr Duration sweepPeriod = std::chrono::milliseconds(20);

    [[nodiscard]] std::size_t inFlight() const { return sessions_.size(); }

    /// \brief Work that callers have asked for since the last call, in seconds of whole groups.
    [[nodiscard]] std::map<ModelName, double> takeDemand() { return std::exchange(demand_, {}); }

    /// \name For sessions
    /// \{
    [[nodiscard]] GatewayParts &parts() { return parts_; }
    [[nodiscard]] double draw() { return random_.unit(); }
    /// \brief Takes one repeat from this entry VM's part of the fleet's budget.
    [[nodiscard]] bool mayRepeat(const ServiceName &service);
    /// \brief An attempt broke at \p target before its answer was whole.
    void attemptBroke(const Target &target, RequestAtCrash request);
    /// \brief True if a failure of the endpoint's own speaks against it.
    [[nodiscard]] bool blamesEndpoint(const RequestFingerprint &request, const VmId &endpoint);
    void countRequest(const Service &service, const CallerHead &head);
    [[nodiscard]] Duration unconfirmedFor() const;
    [[nodiscard]] const GatewayBounds &bounds() const { return bounds_; }
    void release(Session &session);
    /// \}

private:
    void endpointCrashed(const EndpointCrash &crash);
    void requestQuarantined(const PoisonVerdict &verdict);
    void retryHeld(std::vector<std::shared_ptr<Session>> &sessions);
    [[nodiscard]] RepeatBound repeatBound() const;
    [[nodiscard]] std::optional<double> fleetLeft(const ServiceName &service, double margin,
                                                  TimePoint now);
    [[nodiscard]] bool othersLeaveRepeats(const ServiceName &service, TimePoint now);

    GatewayParts parts_;
    GatewayBounds bounds_;
    Random random_;
    std::size_t entryCount_ = 1;
    bool isRefusing_ = false;
    bool isLearning_ = false;
    std::shared_ptr<const RouteTable> routes_;
    TimePoint confirmedAt_{};
    TimePoint endpointsConfirmedAt_{};
    TimePoint sweptAt_{};
    std::map<ModelName, double> demand_;
    std::unordered_map<ServiceName, RepeatWindow> repeats_;
    std::map<ServiceName, RepeatCounts> othersRepeats_;
    std::map<ServiceName, double> extraRepeats_; ///< Taken since the others' counts came.
    FailureBlame failureBlame_;
    CrashDetector crashDetector_;
    PoisonPills poisonPills_;
    EndpointNotices notices_;
    ColdEndpoints coldEndpoints_;
    LowestRate sendRates_;
    ReservationCoordinator reservations_;
    EndpointGate gate_;
    std::function<void()> crashSeen_;
    std::unordered_map<Session *, std::shared_ptr<Session>> sessions_;
    std::vector<std::shared_ptr<Session>> ended_;
};

} // namespace cardamombay::serving
