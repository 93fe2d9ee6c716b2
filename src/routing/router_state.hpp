/// \file
/// \brief State and steps of the router.
#pragma once

#include "routing/group_book.hpp"
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
    /// \brief One step of a request: prefill, decode, or both.
    struct Step
    {
        endpoint::GroupRole role_ = endpoint::GroupRole::Mixed;
        const FabricDomain *near_ = nullptr; ///< Preferred fabric domain.
    };
    /// \brief What weighing the groups gave; loads are kept in loads_.
    struct Weighed
    {
        double mean_ = 0;
        double leastLocal_ = 0;
        double leastRemote_ = 0;
    };

    [[nodiscard]] const ServiceView *viewOf(const RoutingSnapshot &snapshot,
                                            const ServiceName &service, TimePoint now);
    void dropViews(const RoutingSnapshot &snapshot, TimePoint now);
    void markExcluded(const ServiceView &view, std::span<const GroupId> excluded);
    [[nodiscard]] RouteDecision pick(const ServiceView &view, const RouteRequest &request,
                                     const Step &step, TimePoint now);
    [[nodiscard]] bool mayTake(const GroupView &entry, std::size_t position,
                               const RouteRequest &request, const Step &step, TimePoint now,
                               SkippedGroups &passedOver) const;
    void weigh(const ServiceView &view, const RouteRequest &request, const Step &step,
               TimePoint now, RouteDecision &decision, bool takesEjected);
    [[nodiscard]] bool pickByPrefix(const ServiceView &view, const RouteRequest &request,
                                    const Weighed &weighed, TimePoint now, RouteDecision &decision);
    [[nodiscard]] bool pickHolderAt(const ServiceView &view, std::uint64_t block, std::size_t depth,
                                    double limit, TimePoint now, RouteDecision &decision) const;
    [[nodiscard]] bool pickHome(const ServiceView &view, std::uint64_t anchor, double limit,
                                RouteDecision &decision) const;
    [[nodiscard]] double affinityLoad(const ServiceView &view, std::size_t position) const;
    void pickBetterOfTwo(const ServiceView &view, const Weighed &weighed, RouteDecision &decision);
    [[nodiscard]] Weighed summarize() const;
    [[nodiscard]] const std::vector<std::uint32_t> &pool(const Weighed &weighed);

    RouterPolicy policy_;
    Random random_;
    PrefixIndex index_;
    GroupBook book_;

    const RoutingSnapshot *viewed_ = nullptr; ///< Compared only, never read.
    std::uint64_t viewedSequence_ = 0;
    TimePoint viewedAt_{};
    std::unordered_map<ServiceName, ServiceView> views_;

    /// \name Scratch of one decision, kept to spare allocations
    /// \{
    std::vector<double> loads_;          ///< By position; negative marks a group passed over.
    std::vector<std::uint32_t> locals_;  ///< Positions that may be taken, in the own zone.
    std::vector<std::uint32_t> remotes_; ///< The same, in other zones.
    std::vector<std::uint32_t> all_;
    std::vector<std::uint8_t> isExcluded_; ///< By position.
    /// \}
};

} // namespace cardamombay::routing::impl
