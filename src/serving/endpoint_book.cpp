#include <cardamombay/serving/endpoint_book.hpp>

#include <set>

namespace cardamombay::serving {

namespace {

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

void EndpointBook::put(Endpoint endpoint)
{
    const auto id = endpoint.id_;
    missing_.erase(id);
    const auto found = endpoints_.find(id);
    keepLoadedModel(endpoint, found == endpoints_.end() ? nullptr : &found->second);
    if (found != endpoints_.end() && found->second == endpoint)
        return;
    endpoints_.insert_or_assign(id, std::move(endpoint));
    ++revision_;
}

void EndpointBook::remove(const VmId &id, TimePoint now)
{
    if (!endpoints_.contains(id))
        return;
    if (now < excusedUntil_)
        missing_.emplace(id, excusedUntil_);
    else
        drop(id);
}

void EndpointBook::drop(const VmId &id)
{
    const auto found = endpoints_.find(id);
    if (found == endpoints_.end())
        return;
    endpoints_.erase(found);
    missing_.erase(id);
    ++revision_;
}

void EndpointBook::replaceAll(std::vector<Endpoint> endpoints, TimePoint now)
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

void EndpointBook::expire(TimePoint now)
{
    std::vector<VmId> due;
    for (const auto &[id, until] : missing_) {
        if (now >= until)
            due.push_back(id);
    }
    for (const auto &id : due)
        drop(id);
}

const Endpoint *EndpointBook::find(const VmId &id) const
{
    const auto found = endpoints_.find(id);
    return found == endpoints_.end() ? nullptr : &found->second;
}

std::vector<const Endpoint *> EndpointBook::ofService(const ServiceName &service) const
{
    std::vector<const Endpoint *> result;
    for (const auto &[id, endpoint] : endpoints_) {
        if (endpoint.service_ == service)
            result.push_back(&endpoint);
    }
    return result;
}

} // namespace cardamombay::serving
