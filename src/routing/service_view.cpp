#include "routing/service_view.hpp"

#include <cardamombay/core/hash.hpp>

#include <algorithm>

namespace cardamombay::routing::impl {

namespace {

constexpr std::uint32_t probationSamples = 2;
constexpr std::uint32_t maxDoublings = 4;

[[nodiscard]] bool isModelService(const RoutingSnapshot &snapshot, const ServiceName &name)
{
    const config::Service *declared
        = snapshot.configuration_ ? snapshot.configuration_->service(name) : nullptr;
    return declared && declared->kind_ == config::ServiceKind::Model;
}

/// \brief Requests of others at the group: the report less the own requests of that time, or the
/// peers' digests if they say more.
[[nodiscard]] double othersAt(const SnapshotGroup &group, const GroupState &state)
{
    const double reported = double(group.load_.running_) + double(group.load_.queued_);
    const double ownThen = state.ownInFlight_.at(group.loadTakenAt_);
    return std::max(reported - ownThen, double(group.peerInFlight_));
}

[[nodiscard]] double medianAnswerTime(const ServiceView &view, const RouterPolicy &policy,
                                      GroupBook &book)
{
    std::vector<double> times;
    for (const GroupView &entry : view.groups_) {
        const GroupState &state = book.state(entry.owner_);
        if (state.samples_ >= policy.stragglerSamples_)
            times.push_back(state.answerTime_);
    }
    if (times.size() < 3)
        return 0;
    const auto middle = times.begin() + static_cast<std::ptrdiff_t>(times.size() / 2);
    std::nth_element(times.begin(), middle, times.end());
    return *middle;
}

[[nodiscard]] bool isSlow(const GroupState &state, double median, const RouterPolicy &policy)
{
    const double minimum = toSeconds(policy.stragglerMinimum_);
    return state.answerTime_ > std::max(policy.stragglerRatio_ * median, minimum);
}

/// \brief Ejects a slow group for a time that doubles while it stays slow. A group that comes back
/// needs few samples to be ejected again, and many to be forgiven.
void updateOwnEjection(GroupState &state, double median, const RouterPolicy &policy, TimePoint now)
{
    const bool isOnProbation = state.ejections_ > 0;
    const std::uint32_t needed = isOnProbation ? probationSamples : policy.stragglerSamples_;
    if (median <= 0 || now < state.ejectedUntil_ || state.samples_ < needed)
        return;
    if (isSlow(state, median, policy)) {
        const auto doublings = std::min(state.ejections_, maxDoublings);
        state.ejectedUntil_ = now + policy.ejectionTime_ * (1U << doublings);
        state.samples_ = 0;
        ++state.ejections_;
    } else if (state.samples_ >= policy.stragglerSamples_) {
        state.ejections_ = 0;
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
                            const RouterPolicy &policy, GroupBook &book, TimePoint now)
{
    ServiceView view;
    view.service_ = service.service_;
    view.groups_.reserve(service.groups_.size());
    const bool streamsTokens = isModelService(snapshot, service.service_);
    bool hasPrefill = false;
    bool hasDecode = false;
    for (const SnapshotGroup &group : service.groups_) {
        const OwnerIndex owner = book.indexOf(group.group_);
        GroupState &state = book.state(owner);
        state.seenAt_ = now;
        state.streamsTokens_ = streamsTokens;
        book.formed(owner, group.generation_, now);
        GroupView entry;
        entry.group_ = &group;
        entry.owner_ = owner;
        entry.hash_ = stableHash(group.group_.text());
        entry.othersLoad_ = othersAt(group, state);
        entry.perCapacity_ = 1.0 / std::max(group.capacity_, 1U);
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
    view.hasPairs_ = hasPrefill && hasDecode;
    ejectStragglers(view, policy, book, now);
    return view;
}

void ejectStragglers(ServiceView &view, const RouterPolicy &policy, GroupBook &book, TimePoint now)
{
    const double median = medianAnswerTime(view, policy, book);
    std::vector<GroupView *> slow;
    double usable = 0;
    for (GroupView &entry : view.groups_) {
        entry.isEjected_ = false;
        if (!entry.group_->isUsable(now))
            continue;
        usable += entry.group_->capacity_;
        GroupState &state = book.state(entry.owner_);
        updateOwnEjection(state, median, policy, now);
        if (entry.group_->isStraggler_ || now < state.ejectedUntil_)
            slow.push_back(&entry);
    }
    std::stable_sort(slow.begin(), slow.end(), [&](const GroupView *a, const GroupView *b) {
        return book.state(a->owner_).answerTime_ > book.state(b->owner_).answerTime_;
    });
    double left = usable;
    for (GroupView *entry : slow) {
        if (left - entry->group_->capacity_ < policy.capacityFloor_ * usable)
            continue;
        left -= entry->group_->capacity_;
        entry->isEjected_ = true;
    }
}

} // namespace cardamombay::routing::impl
