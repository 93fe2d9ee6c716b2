/// \file
/// \brief Implementation of the router.
#pragma once

#include "routing/group_registry.hpp"
#include "routing/service_view.hpp"

#include <cardamombay/core/random.hpp>
#include <cardamombay/routing/cache_event.hpp>
#include <cardamombay/routing/prefix_index.hpp>
#include <cardamombay/routing/route_decision.hpp>
#include <cardamombay/routing/router_policy.hpp>

#include <cstdint>
#include <unordered_map>
#include <vector>

namespace cardamombay::routing::impl {

class RouterState
{
public:
    RouterState(std::uint64_t seed, RouterPolicy policy);

    [[nodiscard]] RouteDecision choose(const RoutingSnapshot &snapshot, const RouteRequest &request,
                                       TimePoint now);
    void started(const GroupId &group, std::span<const std::uint64_t> blocks, TimePoint now);
    void finished(const GroupId &group, const RequestSample &sample, TimePoint now);
    void cacheChanged(const CacheEvent &event, TimePoint now);
    [[nodiscard]] std::uint32_t inFlight(const GroupId &group) const;

private:
    /// \brief Phase of a request: prefill, decode, or both.
    struct Phase
    {
        endpoint::GroupRole role_ = endpoint::GroupRole::Mixed;
        const FabricDomain *preferredDomain_ = nullptr; ///< Null if none.
    };
    /// \brief Mean and minimums of the values in loads_.
    struct LoadSummary
    {
        double mean_ = 0;
        double leastLocal_ = 0;
        double leastRemote_ = 0;
    };

    [[nodiscard]] const ServiceView *viewOf(const RoutingSnapshot &snapshot,
                                            const ServiceName &service, TimePoint now);
    void resetViews(const RoutingSnapshot &snapshot, TimePoint now);
    void markExcluded(const ServiceView &view, std::span<const GroupId> excluded);
    [[nodiscard]] RouteDecision pick(const ServiceView &view, const RouteRequest &request,
                                     const Phase &phase, TimePoint now);
    [[nodiscard]] bool isEligible(const GroupView &entry, std::size_t position,
                                  const RouteRequest &request, const Phase &phase, TimePoint now,
                                  SkippedGroups &skipped) const;
    void computeLoads(const ServiceView &view, const RouteRequest &request, const Phase &phase,
                      TimePoint now, RouteDecision &decision, bool includesEjected);
    [[nodiscard]] bool pickByPrefix(const ServiceView &view, const RouteRequest &request,
                                    const LoadSummary &summary, TimePoint now,
                                    RouteDecision &decision);
    [[nodiscard]] bool pickHolderAt(const ServiceView &view, std::uint64_t block, std::size_t depth,
                                    double limit, TimePoint now, RouteDecision &decision) const;
    [[nodiscard]] bool pickHome(const ServiceView &view, std::uint64_t homeHash, double limit,
                                RouteDecision &decision) const;
    [[nodiscard]] double affinityLoad(const ServiceView &view, std::size_t position) const;
    void pickBetterOfTwo(const ServiceView &view, const LoadSummary &summary,
                         RouteDecision &decision);
    [[nodiscard]] LoadSummary summarizeLoads() const;
    [[nodiscard]] const std::vector<std::uint32_t> &candidatePool(const LoadSummary &summary);

    RouterPolicy policy_;
    Random random_;
    PrefixIndex index_;
    GroupRegistry registry_;

    const RoutingSnapshot *viewedSnapshot_ = nullptr; ///< Compared only, never read.
    std::uint64_t viewedSequence_ = 0;
    TimePoint viewedAt_{};
    std::unordered_map<ServiceName, ServiceView> views_;

    /// \name Buffers of one decision, reused to avoid allocations
    /// \{
    std::vector<double> loads_;                  ///< By position; negative for a skipped group.
    std::vector<std::uint32_t> localPositions_;  ///< Eligible positions in this router's zone.
    std::vector<std::uint32_t> remotePositions_; ///< Eligible positions in other zones.
    std::vector<std::uint32_t> allPositions_;
    std::vector<std::uint8_t> isExcluded_; ///< By position.
    /// \}
};

} // namespace cardamombay::routing::impl
