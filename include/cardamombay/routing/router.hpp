/// \file
/// \brief Chooses the group for a request.
/// \details The router never chooses a group with a member that is missing, leaving or not freshly
/// observed. It thus ensures that only complete groups serve and that a leaving endpoint gets no
/// new requests. It sends nothing itself.
#pragma once

#include <cardamombay/core/random.hpp>
#include <cardamombay/routing/cache_event.hpp>
#include <cardamombay/routing/prefix_hashes.hpp>
#include <cardamombay/routing/prefix_index.hpp>
#include <cardamombay/routing/route_decision.hpp>
#include <cardamombay/routing/router_policy.hpp>
#include <cardamombay/routing/routing_snapshot.hpp>

#include <memory>

namespace cardamombay::routing {

namespace impl {
class RouterState;
} // namespace impl

/// \brief Router of one entry VM; not thread-safe.
/// \details A group that probably holds the prompt's prefix, or a home group of the prefix, is
/// chosen while its load exceeds the mean by at most the affinity slack; otherwise the less loaded
/// of two random groups. The load of a group is the requests of other entry VMs (the lagging load
/// report minus the router's own requests at that time, or the peers' digests if higher) plus the
/// router's own requests now, divided by the group's capacity.
/// \code
/// const auto hashes = prefixHashes(prompt);
/// const auto decision = router.choose(*snapshot, {.service_ = service,
///                                                 .prefixHashes_ = hashes}, clock.now());
/// if (decision.group_)
///     router.started(decision.group_->group_, hashes, clock.now());
/// \endcode
class Router
{
public:
    explicit Router(std::uint64_t seed, RouterPolicy policy = {});
    Router(const Router &) = delete;
    Router &operator=(const Router &) = delete;
    ~Router();

    /// \brief Chooses a group for \p request.
    /// \param snapshot a published snapshot; its sequence number must be unique, and zero disables
    /// caching between calls.
    /// \param request the requirements.
    /// \param now the current time.
    /// \returns the chosen group, or the reason why there is none.
    [[nodiscard]] RouteDecision choose(const RoutingSnapshot &snapshot, const RouteRequest &request,
                                       TimePoint now);

    /// \brief An attempt is about to be sent to \p group.
    void started(const GroupId &group, std::span<const std::uint64_t> prefixHashes, TimePoint now);

    /// \brief An attempt at \p group has ended; call it once for each started().
    void finished(const GroupId &group, const RequestSample &sample, TimePoint now);

    /// \brief Applies a cache event of an engine. Out-of-order events are ignored; a gap in the
    /// sequence invalidates the older entries of the group.
    void cacheChanged(const CacheEvent &event, TimePoint now);

    /// \brief This router's attempts in flight at \p group, for digests and metrics.
    [[nodiscard]] std::uint32_t inFlight(const GroupId &group) const;

private:
    std::unique_ptr<impl::RouterState> state_;
};

} // namespace cardamombay::routing
