// Observations and vetoes in digests.
#include <cardamombay/watching/endpoint_watcher.hpp>

#include <algorithm>
#include <utility>

namespace cardamombay::watching {

void EndpointWatcher::appendTo(membership::Digest &digest)
{
    const TimePoint now = clock_.now();
    vetoes_.appendTo(digest, now, settings_.vetoRepeat_);
    removeLateRows();
    const PeerSet &peer = peerSets_[digest.to_];
    membership::WatchSummary summary;
    summary.revision_ = revision_;
    summary.applied_ = peer.revision_;
    const bool isKnown = peer.acknowledged_ >= removalFloor_ && peer.acknowledged_ <= revision_;
    summary.base_ = isKnown ? peer.acknowledged_ : 0;
    if (!isKnown)
        ++counters_.wholeSetsSent_;
    for (const auto &[vm, watch] : own_) {
        if (watch.revision_ == 0)
            continue;
        const Duration age = now - watch.last_.observedAt_;
        summary.age_ = std::max(summary.age_, age);
    }
    digest.watch_ = std::move(summary);
    for (const auto &[vm, watch] : own_) {
        if (watch.revision_ > digest.watch_->base_)
            appendRow(digest, vm, watch);
    }
    appendRemovals(digest, isKnown);
}

void EndpointWatcher::appendRow(membership::Digest &digest, const VmId &vm,
                                const OwnWatch &watch) const
{
    const membership::WatchSummary &summary = *digest.watch_;
    if (summary.base_ != 0 && watch.stateRevision_ <= summary.base_) {
        digest.loads_.push_back(membership::LoadEntry{vm, watch.told_.state_.load_});
        return;
    }
    const Duration age = clock_.now() - watch.last_.observedAt_;
    digest.observations_.push_back(
        membership::ObservationEntry{watch.told_.state_, age, watch.told_.isStraggler_});
}

void EndpointWatcher::appendRemovals(membership::Digest &digest, bool isKnown) const
{
    for (const Removal &removal : removals_) {
        const auto own = own_.find(removal.vm_);
        const bool isTold = own != own_.end() && own->second.revision_ != 0;
        if (!isKnown || removal.revision_ <= digest.watch_->base_ || isTold)
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
            changed(entry.vm_);
        urgent();
    }
    if (!digest.watch_ || digest.from_.id_ == self_)
        return;
    for (const membership::GoneEntry &entry : digest.gone_)
        noteGone(entry.vm_, clock_.now() - entry.age_);
    PeerSet &set = peerSets_[digest.from_.id_];
    set.acknowledged_ = digest.watch_->applied_;
    applyRows(set, digest);
    if (set.revision_ != digest.watch_->revision_) {
        ++counters_.summariesRefused_;
        return;
    }
    ++counters_.summariesApplied_;
    const TimePoint seenAt = clock_.now() - digest.watch_->age_;
    for (auto &[vm, row] : set.rows_) {
        row.observedAt_ = std::max(row.observedAt_, seenAt);
        consider(vm, row);
    }
}

void EndpointWatcher::applyRows(PeerSet &set, const membership::Digest &digest)
{
    const membership::WatchSummary &summary = *digest.watch_;
    const bool isWhole = summary.base_ == 0;
    const bool isNext = !isWhole && set.revision_ != 0 && summary.base_ <= set.revision_
                        && set.revision_ < summary.revision_;
    if (isWhole && set.revision_ != summary.revision_)
        set.rows_.clear();
    else if (!isNext)
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
