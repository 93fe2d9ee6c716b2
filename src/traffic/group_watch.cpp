#include <traffic/group_watch.hpp>

#include <algorithm>

namespace cardamombay::traffic::impl {

GroupStanding standingOf(const routing::SnapshotGroup &chosen, const ServiceName &service,
                         const routing::RoutingSnapshot &snapshot, TimePoint now)
{
    const auto *groups = snapshot.service(service);
    if (groups == nullptr)
        return GroupStanding::NotWhole;
    const auto isChosen = [&](const routing::SnapshotGroup &group) {
        return group.group_ == chosen.group_ && group.generation_ == chosen.generation_;
    };
    const auto found = std::find_if(groups->groups_.begin(), groups->groups_.end(), isChosen);
    if (found == groups->groups_.end() || now >= found->freshUntil_)
        return GroupStanding::NotWhole;
    return found->isVetoed_ ? GroupStanding::Vetoed : GroupStanding::Usable;
}

} // namespace cardamombay::traffic::impl
