#include <cardamombay/watching/endpoint_watcher.hpp>

#include <cardamombay/core/hash.hpp>

#include <algorithm>
#include <cmath>
#include <iterator>
#include <utility>

namespace cardamombay::watching {

namespace {

constexpr std::size_t maxKeptRemovals = 256;

/// A tick delayed by more than this means that the process was paused, which invalidates latencies.
constexpr Duration pauseThreshold = std::chrono::seconds(1);

bool isEqualExceptLoad(const endpoint::EndpointState &left, const endpoint::EndpointState &right)
{
    return left.incarnation_ == right.incarnation_ && left.phase_ == right.phase_
           && left.assignment_ == right.assignment_ && left.model_ == right.model_
           && left.highestFencing_ == right.highestFencing_;
}

/// Load matters only for the VM that receives a group's requests and for VMs without a group.
bool isLoadRelevant(const endpoint::EndpointState &state)
{
    return !state.assignment_ || state.assignment_->rank_ == 0;
}

} // namespace

EndpointWatcher::EndpointWatcher(Clock &clock, endpoint::EndpointOrders &orders,
                                 WatchSettings settings, EntryId self)
    : clock_(clock)
    , orders_(orders)
    , settings_(settings)
    , self_(std::move(self))
    , alive_(std::make_shared<bool>(true))
{
    // Revisions of two runs of an entry VM must not collide, or a peer would mistake one run's set
    // for the other's. Each run starts at a hash of its identifier and start time.
    const auto start = static_cast<std::uint64_t>(clock.now().time_since_epoch().count());
    revision_ = (stableHash(self_.text(), start) >> 32U) + 1;
    removalFloor_ = revision_;
}

EndpointWatcher::~EndpointWatcher()
{
    clock_.cancel(timer_);
}

void EndpointWatcher::start()
{
    scheduleTick();
}

void EndpointWatcher::scheduleTick()
{
    nextTickAt_ = clock_.now() + settings_.tick_;
    timer_ = clock_.schedule(settings_.tick_, [this] { tick(); });
}

void EndpointWatcher::tick()
{
    const TimePoint now = clock_.now();
    if (now - nextTickAt_ > pauseThreshold)
        resumedAt_ = now;
    scheduleTick();
    for (auto &[vm, watch] : watched_) {
        if (now < watch.nextProbeAt_)
            continue;
        const Duration period = periodOf(watch);
        watch.nextProbeAt_ += period;
        if (watch.nextProbeAt_ <= now)
            watch.nextProbeAt_ = now + period;
        probe(vm);
    }
    removeStaleRows();
    probeNeeded();
    if (now >= nextMedianAt_) {
        nextMedianAt_ = now + settings_.probePeriod_;
        updateMedian();
    }
}

/// A loading VM is probed more often, because its group serves once its last member is ready.
Duration EndpointWatcher::periodOf(const WatchedVm &watch) const
{
    const bool isLoading = watch.last_.state_.phase_ == endpoint::EnginePhase::Loading;
    return isLoading ? settings_.loadingProbePeriod_ : settings_.probePeriod_;
}

void EndpointWatcher::probeNow(const VmId &vm)
{
    probe(vm);
}

void EndpointWatcher::probe(const VmId &vm)
{
    const auto found = endpoints_.find(vm);
    if (found == endpoints_.end())
        return;
    const TimePoint now = clock_.now();
    Latency &latency = latencies_[vm];
    if (latency.isPending_ && now - latency.sentAt_ < settings_.probeTimeout_)
        return;
    latency.isPending_ = true;
    latency.sentAt_ = now;
    ++counters_.probesSent_;
    const std::weak_ptr<bool> guard = alive_;
    orders_.probe(vm, found->second.record_.address_,
                  [this, guard, vm, now](const Result<endpoint::EndpointState> &result) {
                      if (guard.expired())
                          return;
                      if (isOk(result) && valueOf(result).vm_ == vm)
                          onProbeAnswered(vm, now, valueOf(result));
                      else
                          onProbeFailed(vm, now, result);
                  });
}

void EndpointWatcher::onProbeAnswered(const VmId &vm, TimePoint sentAt,
                                      const endpoint::EndpointState &state)
{
    const TimePoint now = clock_.now();
    const auto latency = latencies_.find(vm);
    if (latency != latencies_.end() && latency->second.sentAt_ == sentAt)
        latency->second.isPending_ = false;
    const bool wasPaused = sentAt < resumedAt_ || now - nextTickAt_ > pauseThreshold;
    if (!wasPaused)
        recordLatency(vm, now - sentAt);
    // The state was valid at some time after the probe was sent; the answer may have been delayed.
    const Observation observation{state, sentAt, isSlow(vm), self_};
    const auto own = watched_.find(vm);
    if (own != watched_.end())
        recordOwnObservation(own->second, observation);
    applyObservation(vm, observation);
}

void EndpointWatcher::onProbeFailed(const VmId &vm, TimePoint sentAt,
                                    const Result<endpoint::EndpointState> &result)
{
    ++counters_.probesFailed_;
    const auto latency = latencies_.find(vm);
    if (latency != latencies_.end() && latency->second.sentAt_ == sentAt)
        latency->second.isPending_ = false;
    // A VM that is slow to answer may still be serving. One that refuses the connection, or whose
    // address now belongs to another VM, is not.
    const bool isGone = isOk(result) || isError<EndpointUnreachable>(result);
    if (isGone)
        recordGone(vm, sentAt);
    const auto own = watched_.find(vm);
    if (own == watched_.end())
        return;
    own->second.nextProbeAt_
        = std::min(own->second.nextProbeAt_, clock_.now() + settings_.retryGap_);
    if (isGone)
        removeRow(vm, own->second, sentAt);
}

void EndpointWatcher::recordOwnObservation(WatchedVm &watch, const Observation &observation)
{
    const bool isFirst = watch.last_.by_.isEmpty();
    if (!isFirst && !supersedes(observation, watch.last_, settings_.replacementAge_))
        return;
    watch.last_ = observation;
    if (clock_.now() - observation.observedAt_ > settings_.maxReportedAge_)
        return;
    const bool isAnnounced = watch.revision_ != 0;
    if (isAnnounced && !needsAnnouncement(observation, watch.announced_))
        return;
    const bool isOnlyLoad = isAnnounced
                            && isEqualExceptLoad(observation.state_, watch.announced_.state_)
                            && observation.isStraggler_ == watch.announced_.isStraggler_;
    watch.announced_ = observation;
    watch.revision_ = ++revision_;
    if (isOnlyLoad)
        return;
    watch.stateRevision_ = watch.revision_;
    notifyUrgent();
}

bool EndpointWatcher::needsAnnouncement(const Observation &now, const Observation &announced) const
{
    if (!isEqualExceptLoad(now.state_, announced.state_)
        || now.isStraggler_ != announced.isStraggler_)
        return true;
    if (!isLoadRelevant(now.state_))
        return false;
    constexpr double kvCacheStep = 0.1;
    const endpoint::LoadReport &fresh = now.state_.load_;
    const endpoint::LoadReport &old = announced.state_.load_;
    const double before = old.running_ + old.queued_;
    const double after = fresh.running_ + fresh.queued_;
    const double step = std::max(1.0, before * settings_.loadChange_);
    return std::abs(after - before) > step
           || std::abs(fresh.kvCacheUsed_ - old.kvCacheUsed_) > kvCacheStep;
}

void EndpointWatcher::recordGone(const VmId &vm, TimePoint when)
{
    TimePoint &known = gone_[vm];
    if (when <= known)
        return;
    const bool wasFresh = isFresh(vm);
    known = when;
    if (wasFresh && !isFresh(vm))
        notifyChanged(vm);
}

void EndpointWatcher::removeRow(const VmId &vm, WatchedVm &watch, TimePoint goneAt)
{
    if (watch.revision_ == 0)
        return;
    watch.revision_ = 0;
    removals_.push_back(Removal{++revision_, vm, goneAt});
    if (removals_.size() > maxKeptRemovals) {
        removalFloor_ = removals_.front().revision_;
        removals_.pop_front();
    }
    notifyUrgent();
}

void EndpointWatcher::removeStaleRows()
{
    const TimePoint limit = clock_.now() - settings_.maxReportedAge_;
    for (auto &[vm, watch] : watched_) {
        if (watch.revision_ != 0 && watch.last_.observedAt_ < limit)
            removeRow(vm, watch);
    }
}

void EndpointWatcher::applyObservation(const VmId &vm, const Observation &candidate)
{
    const auto [place, isNew] = latest_.try_emplace(vm, candidate);
    Observation &known = place->second;
    if (isNew) {
        vetoes_.recordIncarnation(vm, candidate.state_.incarnation_);
        notifyChanged(vm);
        return;
    }
    if (!supersedes(candidate, known, settings_.replacementAge_))
        return;
    const bool isRestart = candidate.state_.incarnation_ != known.state_.incarnation_;
    const bool isChanged = !isEqualExceptLoad(candidate.state_, known.state_)
                           || candidate.isStraggler_ != known.isStraggler_;
    const bool isUnchanged = candidate.state_ == known.state_;
    if (!isUnchanged)
        known.state_ = candidate.state_;
    known.observedAt_ = candidate.observedAt_;
    known.isStraggler_ = candidate.isStraggler_;
    known.by_ = candidate.by_;
    if (isRestart) {
        ++counters_.restartsObserved_;
        liftIfReplaced(vm);
    }
    if (isChanged)
        notifyChanged(vm);
}

const Observation *EndpointWatcher::observation(const VmId &vm) const
{
    const auto found = latest_.find(vm);
    return found == latest_.end() ? nullptr : &found->second;
}

TimePoint EndpointWatcher::freshUntil(const VmId &vm) const
{
    const Observation *known = observation(vm);
    const auto gone = gone_.find(vm);
    // The most recent evidence from any watcher decides.
    const bool isGone
        = known != nullptr && gone != gone_.end() && gone->second >= known->observedAt_;
    if (known == nullptr || isGone)
        return TimePoint{};
    return known->observedAt_ + settings_.freshnessWindow_;
}

bool EndpointWatcher::isStraggler(const VmId &vm) const
{
    const Observation *known = observation(vm);
    return known != nullptr && known->isStraggler_;
}

void EndpointWatcher::need(const VmId &vm)
{
    needed_[vm] = clock_.now() + settings_.needDuration_;
}

void EndpointWatcher::probeNeeded()
{
    const TimePoint now = clock_.now();
    std::erase_if(needed_, [now](const auto &item) { return item.second <= now; });
    for (const auto &[vm, until] : needed_) {
        const bool isLapsing = now + settings_.neededLead_ >= freshUntil(vm);
        const auto latency = latencies_.find(vm);
        const bool isDue = latency == latencies_.end()
                           || now - latency->second.sentAt_ >= settings_.neededProbeGap_;
        if (!isLapsing || !isDue || watched_.contains(vm))
            continue;
        ++counters_.probesOfNeededVms_;
        probe(vm);
    }
}

void EndpointWatcher::markLeaving(const VmId &vm)
{
    const Observation *known = observation(vm);
    const Incarnation incarnation = known == nullptr ? Incarnation() : known->state_.incarnation_;
    if (!vetoes_.mark(vm, incarnation, clock_.now()))
        return;
    notifyChanged(vm);
    notifyUrgent();
}

void EndpointWatcher::clearLeaving(const VmId &vm)
{
    if (!vetoes_.lift(vm, clock_.now()))
        return;
    notifyChanged(vm);
    notifyUrgent();
}

bool EndpointWatcher::isLeaving(const VmId &vm) const
{
    return vetoes_.isLeaving(vm);
}

void EndpointWatcher::liftIfReplaced(const VmId &vm)
{
    const auto listed = endpoints_.find(vm);
    const Observation *known = observation(vm);
    if (listed == endpoints_.end() || listed->second.isListedLeaving_ || known == nullptr)
        return;
    if (vetoes_.isReplaced(vm, known->state_.incarnation_, listTakenAt_))
        clearLeaving(vm);
}

void EndpointWatcher::notifyChanged(const VmId &vm)
{
    if (onChange_)
        onChange_(vm);
}

void EndpointWatcher::notifyUrgent()
{
    if (onUrgent_)
        onUrgent_();
}

} // namespace cardamombay::watching
