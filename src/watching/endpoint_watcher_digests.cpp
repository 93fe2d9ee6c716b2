// Exchange of observations and vetoes in digests.
#include <cardamombay/watching/endpoint_watcher.hpp>

#include <algorithm>
#include <utility>

namespace cardamombay::watching {

void EndpointWatcher::appendTo(membership::Digest &digest)
{
    const TimePoint now = clock_.now();
    vetoes_.appendTo(digest, now, settings_.vetoRepeatPeriod_);
    removeStaleRows();
    const PeerSet &peer = peerSets_[digest.to_];
    membership::WatchSummary summary;
    summary.revision_ = revision_;
    summary.applied_ = peer.revision_;
    const bool isIncremental
        = peer.acknowledged_ >= removalFloor_ && peer.acknowledged_ <= revision_;
    summary.base_ = isIncremental ? peer.acknowledged_ : 0;
    if (!isIncremental)
        ++counters_.fullSetsSent_;
    for (const auto &[vm, watch] : watched_) {
        if (watch.revision_ == 0)
            continue;
        const Duration age = now - watch.last_.observedAt_;
        summary.age_ = std::max(summary.age_, age);
    }
    digest.watch_ = std::move(summary);
    for (const auto &[vm, watch] : watched_) {
        if (watch.revision_ > digest.watch_->base_)
            appendRow(digest, vm, watch);
    }
    appendRemovals(digest, isIncremental);
}

void EndpointWatcher::appendRow(membership::Digest &digest, const VmId &vm,
                                const WatchedVm &watch) const
{
    const membership::WatchSummary &summary = *digest.watch_;
    if (summary.base_ != 0 && watch.stateRevision_ <= summary.base_) {
        digest.loads_.push_back(membership::LoadEntry{vm, watch.announced_.state_.load_});
        return;
    }
    const Duration age = clock_.now() - watch.last_.observedAt_;
    digest.observations_.push_back(
        membership::ObservationEntry{watch.announced_.state_, age, watch.announced_.isStraggler_});
}

void EndpointWatcher::appendRemovals(membership::Digest &digest, bool isIncremental) const
{
    for (const Removal &removal : removals_) {
        const auto own = watched_.find(removal.vm_);
        const bool isAnnounced = own != watched_.end() && own->second.revision_ != 0;
        if (!isIncremental || removal.revision_ <= digest.watch_->base_ || isAnnounced)
            continue;
        digest.watch_->removed_.push_back(removal.vm_);
        if (removal.goneAt_ != TimePoint{}) {
            const Duration age = clock_.now() - removal.goneAt_;
            digest.gone_.push_back(membership::GoneEntry{removal.vm_, age});
        }
    }
}

void EndpointWatcher::merge(const membership::Digest &digest)
{
    if (vetoes_.merge(digest.leaving_, clock_.now())) {
        for (const membership::LeavingEntry &entry : digest.leaving_)
            notifyChanged(entry.vm_);
        notifyUrgent();
    }
    if (!digest.watch_ || digest.from_.id_ == self_)
        return;
    for (const membership::GoneEntry &entry : digest.gone_)
        recordGone(entry.vm_, clock_.now() - entry.age_);
    PeerSet &set = peerSets_[digest.from_.id_];
    set.acknowledged_ = digest.watch_->applied_;
    applyRows(set, digest);
    if (set.revision_ != digest.watch_->revision_) {
        ++counters_.summariesRejected_;
        return;
    }
    ++counters_.summariesApplied_;
    const TimePoint seenAt = clock_.now() - digest.watch_->age_;
    for (auto &[vm, row] : set.rows_) {
        row.observedAt_ = std::max(row.observedAt_, seenAt);
        applyObservation(vm, row);
    }
}

void EndpointWatcher::applyRows(PeerSet &set, const membership::Digest &digest)
{
    const membership::WatchSummary &summary = *digest.watch_;
    const bool isFullSet = summary.base_ == 0;
    const bool isNextIncrement = !isFullSet && set.revision_ != 0 && summary.base_ <= set.revision_
                                 && set.revision_ < summary.revision_;
    if (isFullSet && set.revision_ != summary.revision_)
        set.rows_.clear();
    else if (!isNextIncrement)
        return;
    for (const VmId &vm : summary.removed_)
        set.rows_.erase(vm);
    const TimePoint now = clock_.now();
    for (const membership::ObservationEntry &entry : digest.observations_) {
        set.rows_[entry.state_.vm_]
            = Observation{entry.state_, now - entry.age_, entry.isStraggler_, digest.from_.id_};
    }
    for (const membership::LoadEntry &entry : digest.loads_) {
        const auto row = set.rows_.find(entry.vm_);
        if (row != set.rows_.end())
            row->second.state_.load_ = entry.load_;
    }
    set.revision_ = summary.revision_;
}

} // namespace cardamombay::watching
