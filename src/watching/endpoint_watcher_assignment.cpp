// Which entry VMs watch which endpoint VMs.
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
    std::vector<VmId> newlyLeaving;
    std::vector<VmId> newlyLive;
    for (const platform::VmRecord &record : vms) {
        if (record.role_ == platform::VmRole::Entry)
            continue;
        names.insert(record.id_);
        const bool isLeavingNow = record.status_ == platform::VmStatus::Leaving;
        const auto known = endpoints_.find(record.id_);
        const bool wasLeaving = known != endpoints_.end() && known->second.isListedLeaving_;
        if (isLeavingNow && !wasLeaving)
            newlyLeaving.push_back(record.id_);
        if (!isLeavingNow && wasLeaving)
            newlyLive.push_back(record.id_);
        listed.emplace(record.id_, Endpoint{record, isLeavingNow});
    }
    endpoints_ = std::move(listed);
    choices_.clear();
    const auto isAbsent = [&](const auto &item) { return !names.contains(item.first); };
    std::erase_if(best_, isAbsent);
    std::erase_if(latencies_, isAbsent);
    std::erase_if(gone_, isAbsent);
    rebuildOwn();
    for (const VmId &vm : newlyLeaving)
        markLeaving(vm);
    for (const VmId &vm : newlyLive) {
        if (vetoes_.isOfUnknownIncarnation(vm))
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
    choices_.clear();
    rebuildOwn();
}

void EndpointWatcher::setWatchers(std::span<const membership::MemberEntry> alive)
{
    everyone_.clear();
    bySite_.clear();
    byRegion_.clear();
    choices_.clear();
    ownRegion_.reset();
    std::set<EntryId> present;
    for (const membership::MemberEntry &entry : alive) {
        present.insert(entry.id_);
        everyone_.push_back(entry.id_);
        bySite_[entry.zone_].push_back(entry.id_);
        byRegion_[entry.region_].push_back(entry.id_);
        if (entry.id_ == self_)
            ownRegion_ = entry.region_;
    }
    std::erase_if(peerSets_, [&](const auto &item) { return !present.contains(item.first); });
    rebuildOwn();
}

bool EndpointWatcher::isInOwnRegion(const AvailabilityZone &zone) const
{
    const auto region = regions_.find(zone);
    return !ownRegion_ || region == regions_.end() || region->second == *ownRegion_;
}

const std::vector<EntryId> &EndpointWatcher::candidatesFor(const AvailabilityZone &zone) const
{
    static const std::vector<EntryId> none;
    const auto site = bySite_.find(zone);
    if (site != bySite_.end() && site->second.size() >= settings_.watchersPerVm_)
        return site->second;
    const auto region = regions_.find(zone);
    if (region == regions_.end())
        return everyone_;
    const auto members = byRegion_.find(region->second);
    return members == byRegion_.end() ? none : members->second;
}

const std::vector<EntryId> &EndpointWatcher::watchersOf(const VmId &vm) const
{
    const auto known = choices_.find(vm);
    if (known != choices_.end())
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
    std::vector<EntryId> &chosen = choices_[vm];
    for (const auto &[weight, id] : ranking)
        chosen.push_back(*id);
    return chosen;
}

void EndpointWatcher::rebuildOwn()
{
    const TimePoint now = clock_.now();
    std::map<VmId, OwnWatch> kept;
    for (const auto &[vm, endpoint] : endpoints_) {
        if (!isInOwnRegion(endpoint.record_.zone_))
            continue;
        const std::vector<EntryId> &chosen = watchersOf(vm);
        if (std::find(chosen.begin(), chosen.end(), self_) == chosen.end())
            continue;
        auto known = own_.extract(vm);
        if (!known.empty()) {
            kept.insert(std::move(known));
            continue;
        }
        const auto period = static_cast<std::uint64_t>(settings_.probePeriod_.count());
        const Duration phase(stableHash(vm.text(), stableHash(self_.text())) % period);
        kept[vm].nextProbeAt_ = now + phase;
    }
    for (auto &[vm, watch] : own_)
        removeRow(vm, watch);
    own_ = std::move(kept);
}

std::vector<EntryId> EndpointWatcher::neededPeers(std::span<const EntryId> scope) const
{
    std::set<EntryId> peers;
    for (const auto &[vm, until] : needed_) {
        if (own_.contains(vm))
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
