// Assignment of endpoint VMs to the entry VMs that watch them.
#include <cardamombay/watching/endpoint_watcher.hpp>

#include <cardamombay/core/hash.hpp>

#include <algorithm>
#include <utility>

namespace cardamombay::watching {

void EndpointWatcher::setVms(std::span<const platform::VmRecord> vms, Duration age)
{
    const TimePoint now = clock_.now();
    const TimePoint takenAt = now - age;
    if (takenAt < listTakenAt_)
        return;
    listTakenAt_ = takenAt;
    std::map<VmId, Endpoint> listed;
    std::set<VmId> names;
    std::vector<VmId> newlyListedLeaving;
    std::vector<VmId> newlyListedLive;
    for (const platform::VmRecord &record : vms) {
        if (record.role_ == platform::VmRole::Entry)
            continue;
        names.insert(record.id_);
        const bool isLeavingNow = record.status_ == platform::VmStatus::Leaving;
        const auto known = endpoints_.find(record.id_);
        const bool wasLeaving = known != endpoints_.end() && known->second.isListedLeaving_;
        if (isLeavingNow && !wasLeaving)
            newlyListedLeaving.push_back(record.id_);
        if (!isLeavingNow && wasLeaving)
            newlyListedLive.push_back(record.id_);
        listed.emplace(record.id_, Endpoint{record, isLeavingNow});
    }
    endpoints_ = std::move(listed);
    watcherCache_.clear();
    const auto isAbsent = [&](const auto &item) { return !names.contains(item.first); };
    std::erase_if(latest_, isAbsent);
    std::erase_if(latencies_, isAbsent);
    std::erase_if(gone_, isAbsent);
    rebuildWatched();
    for (const VmId &vm : newlyListedLeaving)
        markLeaving(vm);
    for (const VmId &vm : newlyListedLive) {
        if (vetoes_.beganWithUnknownIncarnation(vm))
            clearLeaving(vm);
    }
    for (const VmId &vm : vetoes_.leaving())
        liftIfReplaced(vm);
    vetoes_.forget(names, now - settings_.vetoRetention_);
}

void EndpointWatcher::setSites(std::span<const config::Site> sites)
{
    regions_.clear();
    for (const config::Site &site : sites)
        regions_[site.zone_] = site.region_;
    watcherCache_.clear();
    rebuildWatched();
}

void EndpointWatcher::setWatchers(std::span<const membership::MemberEntry> alive)
{
    liveEntries_.clear();
    entriesBySite_.clear();
    entriesByRegion_.clear();
    watcherCache_.clear();
    ownRegion_.reset();
    std::set<EntryId> present;
    for (const membership::MemberEntry &entry : alive) {
        present.insert(entry.id_);
        liveEntries_.push_back(entry.id_);
        entriesBySite_[entry.zone_].push_back(entry.id_);
        entriesByRegion_[entry.region_].push_back(entry.id_);
        if (entry.id_ == self_)
            ownRegion_ = entry.region_;
    }
    std::erase_if(peerSets_, [&](const auto &item) { return !present.contains(item.first); });
    rebuildWatched();
}

bool EndpointWatcher::isInOwnRegion(const AvailabilityZone &zone) const
{
    const auto region = regions_.find(zone);
    return !ownRegion_ || region == regions_.end() || region->second == *ownRegion_;
}

const std::vector<EntryId> &EndpointWatcher::candidatesFor(const AvailabilityZone &zone) const
{
    static const std::vector<EntryId> none;
    const auto site = entriesBySite_.find(zone);
    if (site != entriesBySite_.end() && site->second.size() >= settings_.watchersPerVm_)
        return site->second;
    const auto region = regions_.find(zone);
    if (region == regions_.end())
        return liveEntries_;
    const auto members = entriesByRegion_.find(region->second);
    return members == entriesByRegion_.end() ? none : members->second;
}

const std::vector<EntryId> &EndpointWatcher::watchersOf(const VmId &vm) const
{
    const auto known = watcherCache_.find(vm);
    if (known != watcherCache_.end())
        return known->second;
    static const std::vector<EntryId> none;
    const auto found = endpoints_.find(vm);
    if (found == endpoints_.end())
        return none;
    using Ranked = std::pair<std::uint64_t, const EntryId *>;
    std::vector<Ranked> ranking;
    for (const EntryId &entry : candidatesFor(found->second.record_.zone_))
        ranking.emplace_back(rendezvousWeight(vm.text(), entry.text()), &entry);
    const std::size_t count = std::min<std::size_t>(ranking.size(), settings_.watchersPerVm_);
    std::partial_sort(ranking.begin(), ranking.begin() + static_cast<std::ptrdiff_t>(count),
                      ranking.end(), [](const Ranked &left, const Ranked &right) {
                          return left.first != right.first ? left.first > right.first
                                                           : *left.second < *right.second;
                      });
    ranking.resize(count);
    std::vector<EntryId> &chosen = watcherCache_[vm];
    for (const auto &[weight, id] : ranking)
        chosen.push_back(*id);
    return chosen;
}

void EndpointWatcher::rebuildWatched()
{
    const TimePoint now = clock_.now();
    std::map<VmId, WatchedVm> kept;
    for (const auto &[vm, endpoint] : endpoints_) {
        if (!isInOwnRegion(endpoint.record_.zone_))
            continue;
        const std::vector<EntryId> &chosen = watchersOf(vm);
        if (std::find(chosen.begin(), chosen.end(), self_) == chosen.end())
            continue;
        auto known = watched_.extract(vm);
        if (!known.empty()) {
            kept.insert(std::move(known));
            continue;
        }
        const auto period = static_cast<std::uint64_t>(settings_.probePeriod_.count());
        const Duration phase(stableHash(vm.text(), stableHash(self_.text())) % period);
        kept[vm].nextProbeAt_ = now + phase;
    }
    for (auto &[vm, watch] : watched_)
        removeRow(vm, watch);
    watched_ = std::move(kept);
}

std::vector<EntryId> EndpointWatcher::neededPeers(std::span<const EntryId> scope) const
{
    std::set<EntryId> peers;
    for (const auto &[vm, until] : needed_) {
        if (watched_.contains(vm))
            continue;
        const std::vector<EntryId> &watchers = watchersOf(vm);
        const bool isCovered = std::any_of(watchers.begin(), watchers.end(), [&](const auto &id) {
            return std::find(scope.begin(), scope.end(), id) != scope.end();
        });
        if (!isCovered)
            peers.insert(watchers.begin(), watchers.end());
    }
    return {peers.begin(), peers.end()};
}

} // namespace cardamombay::watching
