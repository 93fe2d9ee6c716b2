#include <cardamombay/serving/endpoint_registry.hpp>

#include <utility>

namespace cardamombay::serving {

namespace {

/// How long removed endpoints are remembered to detect a restart under the same id. A restarted
/// endpoint is listed within a few seconds.
constexpr Duration removedRetention = std::chrono::seconds(30);

/// An engine that has left its group lists no model, but can rejoin a group of the same model at
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

/// True if \p endpoint is listed in a group other than that of its \p known entry.
bool joinsOtherGroup(const Endpoint &endpoint, const Endpoint &known)
{
    if (!endpoint.membership_)
        return false;
    return !known.membership_ || known.membership_->group_ != endpoint.membership_->group_
           || known.membership_->epoch_ != endpoint.membership_->epoch_;
}

} // namespace

/// True if the same incarnation is already known to be draining or gone.
bool EndpointRegistry::mayPredateLeaving(const Endpoint &endpoint) const
{
    if (endpoint.isDraining_)
        return false;
    if (const auto *known = find(endpoint.id_))
        return known->isDraining_ && known->startedAt_ == endpoint.startedAt_;
    const auto removed = removed_.find(endpoint.id_);
    return removed != removed_.end() && removed->second.endpoint_.startedAt_ == endpoint.startedAt_;
}

void EndpointRegistry::put(Endpoint endpoint)
{
    deferred_.erase(endpoint.id_);
    // The remaining cold time decreases with each entry; code that waits for the effect of an order
    // would take that for a change.
    endpoint.coldFor_ = Duration::zero();
    if (deferredUntil_ && mayPredateLeaving(endpoint)) {
        missing_.erase(endpoint.id_);
        deferred_.insert_or_assign(endpoint.id_, std::move(endpoint));
        return;
    }
    apply(std::move(endpoint));
}

void EndpointRegistry::apply(Endpoint endpoint)
{
    const auto id = endpoint.id_;
    const auto found = endpoints_.find(id);
    const auto removed = removed_.find(id);
    const Endpoint *known = nullptr;
    if (found != endpoints_.end())
        known = &found->second;
    else if (removed != removed_.end())
        known = &removed->second.endpoint_;
    if (known != nullptr && endpoint.startedAt_ < known->startedAt_)
        return; // Entry of an earlier incarnation.
    missing_.erase(id);
    if (isKnownLeaving_ && isKnownLeaving_(endpoint.incarnation()))
        endpoint.isDraining_ = true;
    std::optional<Endpoint> earlier;
    if (known != nullptr && endpoint.startedAt_ > known->startedAt_)
        earlier = *known;
    const bool isKnownIncarnation = found != endpoints_.end() && !earlier;
    keepLoadedModel(endpoint, isKnownIncarnation ? &found->second : nullptr);
    const bool isRegrouped = known != nullptr && !earlier && joinsOtherGroup(endpoint, *known);
    removed_.erase(id);
    if (isKnownIncarnation && found->second == endpoint)
        return;
    endpoints_.insert_or_assign(id, std::move(endpoint));
    ++revision_;
    if (earlier && restartCallback_)
        restartCallback_(*earlier);
    if (isRegrouped && regroupCallback_)
        regroupCallback_(id);
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
    deferred_.erase(id);
    if (!endpoints_.contains(id))
        return;
    if (now < absenceToleratedUntil_)
        missing_.emplace(id, absenceToleratedUntil_);
    else
        drop(id, now);
}

void EndpointRegistry::drop(const VmId &id, TimePoint now)
{
    const auto found = endpoints_.find(id);
    if (found == endpoints_.end())
        return;
    removed_.insert_or_assign(id, Removed{std::move(found->second), now});
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
    if (deferredUntil_ && now >= *deferredUntil_) {
        deferredUntil_.reset();
        for (auto &[id, endpoint] : std::exchange(deferred_, {}))
            apply(std::move(endpoint));
    }
    std::erase_if(removed_,
                  [now](const auto &one) { return now - one.second.at_ > removedRetention; });
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
