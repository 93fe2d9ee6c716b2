/// \file
/// \brief Chooses an endpoint for each request or reports that none has capacity.
/// \details Balances on the load in progress at each endpoint. A request goes to the least loaded
/// one, and is refused rather than queued where it could not be served in time.
#pragma once

#include <cardamombay/core/random.hpp>
#include <cardamombay/net/upstream.hpp>
#include <cardamombay/overload/admission_figures.hpp>
#include <cardamombay/serving/endpoint_registry.hpp>
#include <cardamombay/serving/load_tracker.hpp>
#include <cardamombay/serving/quantile_tracker.hpp>
#include <cardamombay/serving/request_fingerprint.hpp>
#include <cardamombay/serving/request_regions.hpp>
#include <cardamombay/serving/route_table.hpp>
#include <cardamombay/serving/send_gate.hpp>

#include <map>
#include <optional>
#include <span>
#include <string_view>
#include <variant>

namespace cardamombay::serving {

/// \brief Properties of a request that determine which endpoints may serve it.
struct RoutingRequest
{
    const Service *service_ = nullptr;
    ModelName model_;             ///< Only for services with engines.
    std::span<const VmId> tried_; ///< Endpoints to exclude: earlier attempts went there.
    RequestRegions regions_;
    std::size_t promptTokens_ = 0;
    Duration latencyGoal_{};        ///< Target for the time to the first event.
    bool wasQueued_ = false;        ///< It has waited in this entry VM's queue and is already late.
    bool hasPartialAnswer_ = false; ///< Its caller has already received part of the answer.
    /// Set if endpoints have crashed while serving it. All entry VMs send a suspect request to the
    /// same endpoint, so that one that does cause crashes takes down one endpoint at a time.
    /// Different suspects of one crash go to different endpoints.
    std::optional<RequestFingerprint> suspect_;
    /// Send restrictions from endpoint notices; null if there are none.
    const SendGate *gate_ = nullptr;
    Duration maxWait_{}; ///< Maximum wait for an endpoint that accepts requests later.
    std::optional<EndpointIncarnation> reserved_; ///< Endpoint with a reserved send that is due.
    /// RouteTable::hasRanks() of the service: predictions are corrected by observed times.
    bool hasRanks_ = false;
};

/// \brief The chosen endpoint.
struct Target
{
    VmId endpoint_;
    Address address_;
    Duration stallTimeout_{};     ///< Time without data after which the endpoint counts as stalled;
                                  ///< zero disables the check.
    std::uint64_t startedAt_ = 0; ///< Start time of the endpoint, from its entry.
    /// Number of endpoints that were skipped because of a cooldown.
    std::size_t skippedInCooldown_ = 0;
    /// Time to the first event as the engine profile predicts it, for Balancer::recordFirstEvent();
    /// absent for services whose predictions are not corrected.
    std::optional<Duration> predictedFirst_{};

    [[nodiscard]] EndpointIncarnation incarnation() const { return {endpoint_, startedAt_}; }
};

/// \brief Reason why no endpoint was chosen.
enum class NoTarget {
    NoEndpoint, ///< No endpoint currently serves the model or service.
    Full,       ///< All endpoints that serve it are at capacity.
    Cooldown,   ///< A suitable endpoint is in a cooldown that ends within the maximum wait.
    NoRegion,   ///< The service has no endpoint in the request's allowed regions.
};

/// \brief Only a rate-limited endpoint has capacity; a send must be reserved first.
struct NeedsReservation
{
    EndpointIncarnation endpoint_;
};

/// \brief Endpoint notices rule out all suitable endpoints for longer than the request can wait.
struct NoEndpointInTime
{
    Duration retryAfter_{}; ///< Until the first of them may accept a request.
    std::string_view reason_;
};

using Choice = std::variant<Target, NeedsReservation, NoEndpointInTime, NoTarget>;

/// \brief Balances requests over the registered endpoints.
class Balancer
{
public:
    /// \param endpointRegistry, loadTracker, connections must outlive the balancer.
    Balancer(const EndpointRegistry &endpointRegistry, const LoadTracker &loadTracker,
             const net::UnusedConnections &connections, Random random);

    /// \brief Sets the region of each availability zone.
    void setRegions(std::map<AvailabilityZone, RegionName> regions);

    [[nodiscard]] Choice choose(const RoutingRequest &request, TimePoint now);

    /// \brief Records how long the first event of an attempt took.
    /// \param predicted Target::predictedFirst_ of the attempt.
    /// \param observed from sending to the first event.
    void recordFirstEvent(const ServiceName &service, Duration predicted, Duration observed);

    /// \brief Time that the service's engines add to the predictions of their profile; zero before
    /// the first observation.
    [[nodiscard]] Duration firstEventCorrection(const ServiceName &service) const;

    /// \brief True if the endpoint gets no new requests because it is draining or no longer listed.
    [[nodiscard]] bool hasLeft(const VmId &endpoint) const;

    /// \brief True if the endpoint's availability zone is being evacuated.
    [[nodiscard]] bool isEvacuated(const VmId &endpoint) const;

    /// \brief Number of groups that currently serve \p model.
    [[nodiscard]] std::size_t servingGroups(const Service &service, const ModelName &model);

    /// \brief Usable groups of \p model and their requests in flight over all entry VMs.
    [[nodiscard]] overload::ModelCapacity capacity(const Service &service, const ModelName &model,
                                                   TimePoint now);

    /// \brief Requests of this entry VM in flight at groups of \p model.
    [[nodiscard]] std::size_t ownRequests(const Service &service, const ModelName &model);

    /// \brief Expected time from the send to the first event at a group that has just become free
    /// for another request.
    [[nodiscard]] Duration firstEventTime(const RoutingRequest &request) const;

private:
    struct Candidate
    {
        VmId endpoint_;
        Address address_;
        std::uint64_t startedAt_ = 0;
        ModelName model_;
        double slowdown_ = 1; ///< Factor applied to a group's predicted times.
        RegionName region_;

        [[nodiscard]] EndpointIncarnation incarnation() const { return {endpoint_, startedAt_}; }
    };
    struct CandidateCache
    {
        std::uint64_t revision_ = 0;
        std::vector<Candidate> candidates_;
    };

    [[nodiscard]] const std::vector<Candidate> &candidatesOf(const Service &service);
    [[nodiscard]] std::vector<Candidate> buildCandidates(const Service &service) const;
    struct Usable
    {
        std::vector<const Candidate *> candidates_;
        std::size_t inCooldown_ = 0; ///< Number of candidates excluded because of a cooldown.
        /// Time until the first of these cooldowns ends.
        std::optional<Duration> earliestCooldownEnd_;
    };

    /// True if \p breaking of \p all endpoints are few enough to be avoided.
    [[nodiscard]] static bool mayAvoidBreaking(std::size_t breaking, std::size_t all);
    [[nodiscard]] RegionName regionOf(const Endpoint &endpoint) const;
    [[nodiscard]] bool isOutOfRegion(const RoutingRequest &request) const;
    [[nodiscard]] Usable usableCandidates(const RoutingRequest &request, TimePoint now);
    [[nodiscard]] Choice afterCooldown(Duration remaining, const RoutingRequest &request);
    [[nodiscard]] Choice chooseByPriority(std::vector<const Candidate *> candidates,
                                          const RoutingRequest &request, TimePoint now);
    [[nodiscard]] Choice chooseUnlimitedFirst(std::vector<const Candidate *> candidates,
                                              const RoutingRequest &request, TimePoint now);
    [[nodiscard]] const Candidate *best(const std::vector<const Candidate *> &candidates,
                                        const RoutingRequest &request, TimePoint now);
    /// \returns the candidates whose next send is expected to become due first.
    [[nodiscard]] static std::vector<const Candidate *>
    shortestWaits(std::vector<const Candidate *> candidates, const SendGate &gate);
    [[nodiscard]] Choice chooseLimited(const std::vector<const Candidate *> &limited,
                                       const RoutingRequest &request, TimePoint now);
    [[nodiscard]] const Candidate *leastLoaded(const std::vector<const Candidate *> &candidates,
                                               std::size_t limit);
    [[nodiscard]] static const Candidate *
    highestRanked(const std::vector<const Candidate *> &candidates,
                  const RequestFingerprint &suspect);
    [[nodiscard]] const Candidate *lowestLatency(std::vector<const Candidate *> candidates,
                                                 const RoutingRequest &request, TimePoint now);
    [[nodiscard]] bool hasRoom(const Candidate &candidate, const RoutingRequest &request,
                               TimePoint now) const;
    [[nodiscard]] Duration cost(const Candidate &candidate, const RoutingRequest &request,
                                TimePoint now) const;
    [[nodiscard]] Duration timeToFirst(const Candidate &candidate, const RoutingRequest &request,
                                       TimePoint now) const;
    [[nodiscard]] Duration correction(const Candidate &candidate,
                                      const RoutingRequest &request) const;
    [[nodiscard]] std::size_t typicalPromptTokens(const RoutingRequest &request) const;
    void recordPromptSize(const RoutingRequest &request);
    [[nodiscard]] Duration backlog(const Candidate &candidate, const EngineProfile &profile,
                                   TimePoint now) const;

    const EndpointRegistry &endpointRegistry_;
    const LoadTracker &loadTracker_;
    const net::UnusedConnections &connections_;
    Random random_;
    std::map<AvailabilityZone, RegionName> regions_;
    std::map<ServiceName, CandidateCache> candidateCaches_;
    std::map<ServiceName, QuantileTracker> firstEventCorrections_;
    std::map<ServiceName, double>
        observedPromptTokens_; ///< Moving average of prompt sizes in tokens.
};

} // namespace cardamombay::serving
