/// \file
/// \brief Chooses the group for a request.
/// \details The module decides where new work goes. It never sends anything, and it never chooses
/// a group with a member missing, leaving or unheard of: it guards the promises that only whole
/// groups serve and that a leaving endpoint gets no new work.
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

/// \brief Routing decisions of one entry VM; single-threaded.
/// \details A group that probably holds the prompt's prefix is taken while its load is within a
/// slack of the least loaded group; otherwise the better of two drawn groups is taken. Load is
/// what others put on the group (the lagging report less the router's own requests at that time,
/// or the peers' digests if higher) plus the router's own requests now.
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
    /// \param snapshot a published snapshot; its sequence number must differ from that of every
    /// other snapshot, zero means that nothing may be kept of it.
    /// \param request what is asked.
    /// \param now the present instant.
    /// \returns the group, or none with the reason.
    [[nodiscard]] RouteDecision choose(const RoutingSnapshot &snapshot, const RouteRequest &request,
                                       TimePoint now);

    /// \brief An attempt is about to be handed to \p group.
    void started(const GroupId &group, std::span<const std::uint64_t> prefixHashes, TimePoint now);

    /// \brief An attempt at \p group is over; call once for each started().
    void finished(const GroupId &group, const RequestSample &sample, TimePoint now);

    /// \brief Takes in an engine's cache event; late ones are ignored, a gap costs trust.
    void cacheChanged(const CacheEvent &event, TimePoint now);

    /// \brief Own attempts in flight at \p group, for digests and metrics.
    [[nodiscard]] std::uint32_t inFlight(const GroupId &group) const;

private:
    std::unique_ptr<impl::RouterState> state_;
};

} // namespace cardamombay::routing
