#include <cardamombay/serving/endpoint_registry.hpp>

#include <utility>

namespace cardamombay::serving {

namespace {

/// An endpoint that starts again under its id is listed within a few seconds; what is known of its
/// earlier life is told apart for that long.
constexpr Duration endedKeptFor = std::chrono::seconds(30);

/// An engine that leaves its group lists no model, but a group of the same model takes it back at
/// once.
void keepLoadedModel(Endpoint &endpoint, const Endpoint *known)
{
    const bool isLoaded
        = endpoint.membership_ && endpoint.membership_->state_ != MemberState::Joining;
    if (isLoaded)
        endpoint.model_ = modelOf(endpoint.membership_->group_);
    else if (endpoint.model_.isEmpty() && known != nullptr)
        endpoint.model_ = known->model_;
}

} // namespace

/// True if the endpoint was known to leave, or to be gone, in the life that the entry is of.
bool EndpointRegistry::isOlderThanLeaving(const Endpoint &endpoint) const
{
    if (endpoint.isDraining_)
        return false;
    if (const auto *known = find(endpoint.id_))
        return known->isDraining_ && known->startedAt_ == endpoint.startedAt_;
    const auto ended = ended_.find(endpoint.id_);
    return ended != ended_.end() && ended->second.endpoint_.startedAt_ == endpoint.startedAt_;
}

void EndpointRegistry::put(Endpoint endpoint)
{
    heldBack_.erase(endpoint.id_);
    // It falls with each entry, and who waits for an order's effect would take that for it.
    endpoint.coldFor_ = Duration::zero();
    if (heldUntil_ && isOlderThanLeaving(endpoint)) {
        missing_.erase(endpoint.id_);
        heldBack_.insert_or_assign(endpoint.id_, std::move(endpoint));
        return;
    }
    take(std::move(endpoint));
}

void EndpointRegistry::take(Endpoint endpoint)
{
    const auto id = endpoint.id_;
    const auto found = endpoints_.find(id);
    const auto ended = ended_.find(id);
    const Endpoint *known = nullptr;
    if (found != endpoints_.end())
        known = &found->second;
    else if (ended != ended_.end())
        known = &ended->second.endpoint_;
    if (known != nullptr && endpoint.startedAt_ < known->startedAt_)
        return; // News of an earlier life.
    missing_.erase(id);
    if (isKnownLeaving_ && isKnownLeaving_(endpoint.incarnation()))
        endpoint.isDraining_ = true;
    std::optional<Endpoint> earlier;
    if (known != nullptr && endpoint.startedAt_ > known->startedAt_)
        earlier = *known;
    const bool isListed = found != endpoints_.end() && !earlier;
    keepLoadedModel(endpoint, isListed ? &found->second : nullptr);
    ended_.erase(id);
    if (isListed && found->second == endpoint)
        return;
    endpoints_.insert_or_assign(id, std::move(endpoint));
    ++revision_;
    if (earlier && restarted_)
        restarted_(*earlier);
}

void EndpointRegistry::markLeaving(const EndpointIncarnation &endpoint)
{
    const auto found = endpoints_.find(endpoint.id_);
    if (found == endpoints_.end() || found->second.incarnation() != endpoint
        || found->second.isDraining_)
        return;
    found->second.isDraining_ = true;
    ++revision_;
}

void EndpointRegistry::setEvacuated(std::set<AvailabilityZone> zones)
{
    if (zones == evacuated_)
        return;
    evacuated_ = std::move(zones);
    ++revision_;
}

void EndpointRegistry::remove(const VmId &id, TimePoint now)
{
    heldBack_.erase(id);
    if (!endpoints_.contains(id))
        return;
    if (now < excusedUntil_)
        missing_.emplace(id, excusedUntil_);
    else
        drop(id, now);
}

void EndpointRegistry::drop(const VmId &id, TimePoint now)
{
    const auto found = endpoints_.find(id);
    if (found == endpoints_.end())
        return;
    ended_.insert_or_assign(id, Ended{std::move(found->second), now});
    endpoints_.erase(found);
    missing_.erase(id);
    ++revision_;
}

void EndpointRegistry::replaceAll(std::vector<Endpoint> endpoints, TimePoint now)
{
    std::set<VmId> listed;
    for (auto &endpoint : endpoints) {
        listed.insert(endpoint.id_);
        put(std::move(endpoint));
    }
    std::vector<VmId> absent;
    for (const auto &[id, endpoint] : endpoints_) {
        if (!listed.contains(id))
            absent.push_back(id);
    }
    for (const auto &id : absent)
        remove(id, now);
}

void EndpointRegistry::expire(TimePoint now)
{
    std::vector<VmId> due;
    for (const auto &[id, until] : missing_) {
        if (now >= until)
            due.push_back(id);
    }
    for (const auto &id : due)
        drop(id, now);
    if (heldUntil_ && now >= *heldUntil_) {
        heldUntil_.reset();
        for (auto &[id, endpoint] : std::exchange(heldBack_, {}))
            take(std::move(endpoint));
    }
    std::erase_if(ended_, [now](const auto &one) { return now - one.second.at_ > endedKeptFor; });
}

const Endpoint *EndpointRegistry::find(const VmId &id) const
{
    const auto found = endpoints_.find(id);
    return found == endpoints_.end() ? nullptr : &found->second;
}

std::vector<VmId> EndpointRegistry::ids() const
{
    std::vector<VmId> result;
    for (const auto &[id, endpoint] : endpoints_)
        result.push_back(id);
    return result;
}

std::vector<const Endpoint *> EndpointRegistry::inZone(const AvailabilityZone &zone) const
{
    std::vector<const Endpoint *> result;
    for (const auto &[id, endpoint] : endpoints_) {
        if (endpoint.zone_ == zone)
            result.push_back(&endpoint);
    }
    return result;
}

std::vector<const Endpoint *> EndpointRegistry::ofService(const ServiceName &service) const
{
    std::vector<const Endpoint *> result;
    for (const auto &[id, endpoint] : endpoints_) {
        if (endpoint.service_ == service)
            result.push_back(&endpoint);
    }
    return result;
}

} // namespace cardamombay::serving
