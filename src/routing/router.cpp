#include "routing/router_state.hpp"

#include <cardamombay/routing/router.hpp>

namespace cardamombay::routing {

Router::Router(std::uint64_t seed, RouterPolicy policy)
    : state_(std::make_unique<impl::RouterState>(seed, policy))
{
}

Router::~Router() = default;

RouteDecision Router::choose(const RoutingSnapshot &snapshot, const RouteRequest &request,
                             TimePoint now)
{
    return state_->choose(snapshot, request, now);
}

void Router::started(const GroupId &group, std::span<const std::uint64_t> prefixHashes,
                     TimePoint now)
{
    state_->started(group, prefixHashes, now);
}

void Router::finished(const GroupId &group, const RequestSample &sample, TimePoint now)
{
    state_->finished(group, sample, now);
}

void Router::cacheChanged(const CacheEvent &event, TimePoint now)
{
    state_->cacheChanged(event, now);
}

std::uint32_t Router::inFlight(const GroupId &group) const
{
    return state_->inFlight(group);
}

} // namespace cardamombay::routing
