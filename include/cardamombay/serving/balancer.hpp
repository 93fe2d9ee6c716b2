/// \file
/// \brief Chooses the endpoint for a request, or says that there is no room.
/// \details Decides by what is under way at each endpoint: a request goes where the least work is,
/// and is refused rather than queued where it could not be served in time.
#pragma once

#include <cardamombay/core/random.hpp>
#include <cardamombay/net/upstream.hpp>
#include <cardamombay/serving/endpoint_registry.hpp>
#include <cardamombay/serving/load_tracker.hpp>
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

/// \brief What a request needs of its endpoint.
struct RoutingRequest
{
    const Service *service_ = nullptr;
    ModelName model_;             ///< For services with engines.
    std::span<const VmId> tried_; ///< Not again there.
    RequestRegions regions_;
    std::size_t promptTokens_ = 0;
    Duration goal_{};               ///< Time to the first event that counts as on time.
    bool wasQueued_ = false;        ///< It has waited here, and is late already.
    bool hasPartialAnswer_ = false; ///< Its caller has a part of the answer already.
    /// Endpoints have ended under it. All entry VMs send a suspect to the same endpoint, so that
    /// one that does end them ends one at a time, and suspects of one end go to different ones.
    std::optional<RequestFingerprint> suspect_;
    const SendGate *gate_ = nullptr; ///< Of endpoints with notices; null: there are none.
    Duration maxWait_{};             ///< For an endpoint that may be sent to later.
    std::optional<EndpointIncarnation> reserved_; ///< A send there is reserved and may leave now.
};

/// \brief Where a request goes.
struct Target
{
    VmId endpoint_;
    Address address_;
    Duration stallTimeout_{}; ///< Silence after which the endpoint counts as stalled; zero: never.
    std::uint64_t startedAt_ = 0;       ///< Of the endpoint, as it lists itself.
    std::size_t skippedInCooldown_ = 0; ///< Endpoints in a cooldown that it was chosen in place of.

    [[nodiscard]] EndpointIncarnation incarnation() const { return {endpoint_, startedAt_}; }
};

/// \brief Why there is no target.
enum class NoTarget {
    NoEndpoint, ///< Nothing serves the model or service now.
    Full,       ///< All that serve have as much as they can do in time.
    Cooldown,   ///< The cooldown of one that could serve ends in time.
    NoRegion,   ///< The service has no endpoint in the regions of the request.
};

/// \brief Only an endpoint that limits the rate of requests has room.
struct NeedsReservation
{
    EndpointIncarnation endpoint_;
};

/// \brief None of the endpoints that could serve the request takes one in time, by their notices.
struct NoEndpointInTime
{
    Duration retryAfter_{}; ///< Until the first of them may take one.
    std::string_view reason_;
};

using Choice = std::variant<Target, NeedsReservation, NoEndpointInTime, NoTarget>;

/// \brief Balances over the endpoints of the book.
class Balancer
{
public:
    /// \param book, board, connections outlive the balancer.
    Balancer(const EndpointRegistry &book, const LoadTracker &board,
             const net::UnusedConnections &connections, Random random);

    /// \brief The region of each availability zone.
    void setRegions(std::map<AvailabilityZone, RegionName> regions);

    [[nodiscard]] Choice choose(const RoutingRequest &request, TimePoint now);

    /// \brief True if the endpoint gets nothing new: it says that it leaves, or is no longer
    /// listed.
    [[nodiscard]] bool hasLeft(const VmId &endpoint) const;

    /// \brief True if operators empty the endpoint's availability zone.
    [[nodiscard]] bool isEvacuated(const VmId &endpoint) const;

    /// \brief Groups that serve \p model now.
    [[nodiscard]] std::size_t servingGroups(const Service &service, const ModelName &model);

private:
    struct Candidate
    {
        VmId endpoint_;
        Address address_;
        std::uint64_t startedAt_ = 0;
        ModelName model_;
        double slowness_ = 1; ///< Factor on a group's times.
        RegionName region_;

        [[nodiscard]] EndpointIncarnation incarnation() const { return {endpoint_, startedAt_}; }
    };
    struct Derived
    {
        std::uint64_t revision_ = 0;
        std::vector<Candidate> candidates_;
    };

    [[nodiscard]] const std::vector<Candidate> &candidatesOf(const Service &service);
    [[nodiscard]] std::vector<Candidate> derive(const Service &service) const;
    struct Usable
    {
        std::vector<const Candidate *> candidates_;
        std::size_t cooling_ = 0;               ///< Candidates that were left out.
        std::optional<Duration> soonestCooled_; ///< Until the first of these takes requests.
    };

    [[nodiscard]] RegionName regionOf(const Endpoint &endpoint) const;
    [[nodiscard]] bool isOutOfRegion(const RoutingRequest &request) const;
    [[nodiscard]] Usable usable(const RoutingRequest &request, TimePoint now);
    [[nodiscard]] Choice whenCooled(Duration soonest, const RoutingRequest &request);
    [[nodiscard]] Choice chooseAdvised(std::vector<const Candidate *> candidates,
                                       const RoutingRequest &request, TimePoint now);
    [[nodiscard]] Choice chooseUsable(std::vector<const Candidate *> candidates,
                                      const RoutingRequest &request, TimePoint now);
    [[nodiscard]] const Candidate *best(const std::vector<const Candidate *> &candidates,
                                        const RoutingRequest &request, TimePoint now);
    [[nodiscard]] Choice chooseLimited(const std::vector<const Candidate *> &limited,
                                       const RoutingRequest &request, TimePoint now);
    [[nodiscard]] const Candidate *leastLoaded(const std::vector<const Candidate *> &candidates,
                                               std::size_t limit);
    [[nodiscard]] static const Candidate *first(const std::vector<const Candidate *> &candidates,
                                                const RequestFingerprint &suspect);
    [[nodiscard]] const Candidate *soonest(std::vector<const Candidate *> candidates,
                                           const RoutingRequest &request, TimePoint now);
    [[nodiscard]] bool hasRoom(const Candidate &candidate, const RoutingRequest &request,
                               TimePoint now) const;
    [[nodiscard]] Duration cost(const Candidate &candidate, const RoutingRequest &request,
                                TimePoint now) const;
    [[nodiscard]] Duration timeToFirst(const Candidate &candidate, const RoutingRequest &request,
                                       TimePoint now) const;
    [[nodiscard]] std::size_t usualPrompt(const RoutingRequest &request) const;
    void notePrompt(const RoutingRequest &request);
    [[nodiscard]] Duration backlog(const Candidate &candidate, const EngineProfile &profile,
                                   TimePoint now) const;

    const EndpointRegistry &endpointRegistry_;
    const LoadTracker &loadTracker_;
    const net::UnusedConnections &connections_;
    Random random_;
    std::map<AvailabilityZone, RegionName> regions_;
    std::map<ServiceName, Derived> derived_;
    std::map<ServiceName, double> seenPrompts_; ///< Mean tokens of the last ones.
};

} // namespace cardamombay::serving
