#include "routing/service_view.hpp"

#include <cardamombay/core/hash.hpp>

#include <algorithm>

namespace cardamombay::routing::impl {

namespace {

constexpr std::uint32_t probationSamples = 2;
constexpr std::uint32_t maximumDoublings = 4;

[[nodiscard]] bool isModelService(const RoutingSnapshot &snapshot, const ServiceName &name)
{
    const config::Service *declared
        = snapshot.configuration_ ? snapshot.configuration_->service(name) : nullptr;
    return declared && declared->kind_ == config::ServiceKind::Model;
}

/// \brief Requests of other entry VMs at the group: the reported load minus this router's requests
/// at the time of the report, or the peers' digests if higher.
[[nodiscard]] double otherInFlight(const SnapshotGroup &group, const GroupState &state)
{
    const double reported = double(group.load_.running_) + double(group.load_.queued_);
    const double ownAtReport = state.ownInFlight_.at(group.loadTakenAt_);
    return std::max(reported - ownAtReport, double(group.peerInFlight_));
}

[[nodiscard]] double medianResponseTime(const ServiceView &view, const RouterPolicy &policy,
                                        GroupRegistry &registry)
{
    std::vector<double> times;
    for (const GroupView &entry : view.groups_) {
        const GroupState &state = registry.state(entry.owner_);
        if (state.samples_ >= policy.stragglerSamples_)
            times.push_back(state.meanResponseSeconds_);
    }
    if (times.size() < 3)
        return 0;
    const auto middle = times.begin() + static_cast<std::ptrdiff_t>(times.size() / 2);
    std::nth_element(times.begin(), middle, times.end());
    return *middle;
}

[[nodiscard]] bool isSlow(const GroupState &state, double median, const RouterPolicy &policy)
{
    const double minimum = toSeconds(policy.stragglerMinimumTime_);
    return state.meanResponseSeconds_ > std::max(policy.stragglerRatio_ * median, minimum);
}

/// \brief Ejects a slow group for a time that doubles while it stays slow. A returning group is
/// ejected again after few samples, and its ejection time is reset only after many.
void updateEjection(GroupState &state, double median, const RouterPolicy &policy, TimePoint now)
{
    const bool isOnProbation = state.consecutiveEjections_ > 0;
    const std::uint32_t needed = isOnProbation ? probationSamples : policy.stragglerSamples_;
    if (median <= 0 || now < state.ejectedUntil_ || state.samples_ < needed)
        return;
    if (isSlow(state, median, policy)) {
        const auto doublings = std::min(state.consecutiveEjections_, maximumDoublings);
        state.ejectedUntil_ = now + policy.ejectionTime_ * (1U << doublings);
        state.samples_ = 0;
        ++state.consecutiveEjections_;
    } else if (state.samples_ >= policy.stragglerSamples_) {
        state.consecutiveEjections_ = 0;
    }
}

} // namespace

std::optional<std::size_t> ServiceView::position(OwnerIndex owner) const
{
    if (owner >= positionOf_.size() || positionOf_[owner] == 0)
        return std::nullopt;
    return positionOf_[owner] - 1;
}

ServiceView makeServiceView(const RoutingSnapshot &snapshot, const SnapshotService &service,
                            const RouterPolicy &policy, GroupRegistry &registry, TimePoint now)
{
    ServiceView view;
    view.service_ = service.service_;
    view.groups_.reserve(service.groups_.size());
    const bool streamsTokens = isModelService(snapshot, service.service_);
    bool hasPrefill = false;
    bool hasDecode = false;
    for (const SnapshotGroup &group : service.groups_) {
        const OwnerIndex owner = registry.findOrAdd(group.group_);
        GroupState &state = registry.state(owner);
        state.lastSeenAt_ = now;
        state.streamsTokens_ = streamsTokens;
        registry.observeGeneration(owner, group.generation_, now);
        GroupView entry;
        entry.group_ = &group;
        entry.owner_ = owner;
        entry.hash_ = stableHash(group.group_.text());
        entry.otherInFlight_ = otherInFlight(group, state);
        entry.inverseCapacity_ = 1.0 / std::max(group.capacity_, 1U);
        entry.freshUntil_ = group.freshUntil_;
        entry.role_ = group.role_;
        entry.isVetoed_ = group.isVetoed_;
        entry.isLocal_ = group.zone_ == snapshot.zone_;
        hasPrefill |= group.role_ == endpoint::GroupRole::Prefill;
        hasDecode |= group.role_ == endpoint::GroupRole::Decode;
        view.groups_.push_back(entry);
        if (view.positionOf_.size() <= owner)
            view.positionOf_.resize(owner + 1, 0);
        view.positionOf_[owner] = static_cast<std::uint32_t>(view.groups_.size());
    }
    view.isDisaggregated_ = hasPrefill && hasDecode;
    ejectStragglers(view, policy, registry, now);
    return view;
}

void ejectStragglers(ServiceView &view, const RouterPolicy &policy, GroupRegistry &registry,
                     TimePoint now)
{
    const double median = medianResponseTime(view, policy, registry);
    std::vector<GroupView *> slow;
    double usable = 0;
    for (GroupView &entry : view.groups_) {
        entry.isEjected_ = false;
        if (!entry.group_->isUsable(now))
            continue;
        usable += entry.group_->capacity_;
        GroupState &state = registry.state(entry.owner_);
        updateEjection(state, median, policy, now);
        if (entry.group_->isStraggler_ || now < state.ejectedUntil_)
            slow.push_back(&entry);
    }
    std::stable_sort(slow.begin(), slow.end(), [&](const GroupView *a, const GroupView *b) {
        return registry.state(a->owner_).meanResponseSeconds_
               > registry.state(b->owner_).meanResponseSeconds_;
    });
    double remaining = usable;
    for (GroupView *entry : slow) {
        if (remaining - entry->group_->capacity_ < policy.minimumCapacityShare_ * usable)
            continue;
        remaining -= entry->group_->capacity_;
        entry->isEjected_ = true;
    }
}

} // namespace cardamombay::routing::impl
