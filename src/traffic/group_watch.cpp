#include <traffic/group_watch.hpp>

#include <algorithm>
#include <utility>

namespace cardamombay::traffic::impl {

namespace {

GroupStanding compare(const routing::SnapshotGroup &chosen, const routing::SnapshotGroup *present,
                      TimePoint now)
{
    if (present == nullptr || present->generation_ != chosen.generation_)
        return GroupStanding::NotWhole;
    if (now >= present->freshUntil_)
        return GroupStanding::NotWhole;
    return present->isVetoed_ ? GroupStanding::Vetoed : GroupStanding::Usable;
}

} // namespace

GroupStanding standingOf(const routing::SnapshotGroup &chosen, const ServiceName &service,
                         const routing::RoutingSnapshot &snapshot, TimePoint now)
{
    const auto *groups = snapshot.service(service);
    if (groups == nullptr)
        return GroupStanding::NotWhole;
    const auto found = std::find_if(
        groups->groups_.begin(), groups->groups_.end(),
        [&](const routing::SnapshotGroup &group) { return group.group_ == chosen.group_; });
    const auto *present = found == groups->groups_.end() ? nullptr : &*found;
    return compare(chosen, present, now);
}

void GroupWatch::update(routing::RoutingSnapshotPtr snapshot)
{
    if (snapshot == snapshot_)
        return;
    groups_.clear();
    for (const auto &service : snapshot->services_) {
        for (const auto &group : service.groups_)
            groups_.emplace(group.group_, &group);
    }
    snapshot_ = std::move(snapshot);
}

GroupStanding GroupWatch::standing(const routing::SnapshotGroup &chosen, TimePoint now) const
{
    const auto found = groups_.find(chosen.group_);
    return compare(chosen, found == groups_.end() ? nullptr : found->second, now);
}

} // namespace cardamombay::traffic::impl
