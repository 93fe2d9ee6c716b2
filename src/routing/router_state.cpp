#include "routing/router_state.hpp"

#include <algorithm>
#include <bit>
#include <limits>
#include <utility>

namespace cardamombay::routing::impl {

namespace {

using endpoint::GroupRole;

constexpr double skippedLoad = -1;
constexpr double infiniteLoad = std::numeric_limits<double>::infinity();

/// Older views are rebuilt even if the snapshot is the same, to update the ejections.
constexpr Duration viewMaxAge = std::chrono::seconds(1);

/// Prompts shorter than this many blocks have no home group: a cache hit would save little.
constexpr std::size_t minimumHomeBlocks = 4;

/// \brief Spreads the bits of \p value (the finalizer of SplitMix64).
[[nodiscard]] std::uint64_t mix(std::uint64_t value)
{
    value = (value ^ (value >> 30)) * 0xbf58476d1ce4e5b9ULL;
    value = (value ^ (value >> 27)) * 0x94d049bb133111ebULL;
    return value ^ (value >> 31);
}

/// \brief Why no group is eligible: the reason of the groups that passed the most checks.
[[nodiscard]] RouteReason unroutableReason(const SkippedGroups &skipped)
{
    if (skipped.otherModel_ > 0)
        return RouteReason::OtherModel;
    if (skipped.excluded_ > 0)
        return RouteReason::AllExcluded;
    if (skipped.vetoed_ > 0)
        return RouteReason::AllVetoed;
    if (skipped.stale_ > 0)
        return RouteReason::AllStale;
    return RouteReason::NoGroups;
}

/// \brief A group's rank as the home of a prefix, by rendezvous hashing.
struct HomeCandidate
{
    std::uint64_t weight_ = 0; ///< Zero if there is no group.
    std::size_t position_ = 0;
};

void addCandidate(RouteDecision &decision, const GroupView &entry, double load,
                  std::size_t matched = 0)
{
    if (decision.candidateCount_ == RouteDecision::candidateLimit)
        return;
    decision.candidates_[decision.candidateCount_++]
        = RouteCandidate{entry.group_, load, static_cast<std::uint32_t>(matched)};
}

} // namespace

RouterState::RouterState(std::uint64_t seed, RouterPolicy policy)
    : policy_(policy)
    , random_(seed)
    , index_(policy.prefixEntries_, policy.prefixLifetime_)
    , registry_(index_)
{
}

RouteDecision RouterState::choose(const RoutingSnapshot &snapshot, const RouteRequest &request,
                                  TimePoint now)
{
    const ServiceView *view = viewOf(snapshot, request.service_, now);
    if (!view) {
        RouteDecision decision;
        decision.reason_ = RouteReason::UnknownService;
        return decision;
    }
    markExcluded(*view, request.excluded_);
    if (request.role_)
        return pick(*view, request, Phase{*request.role_}, now);
    if (!view->isDisaggregated_)
        return pick(*view, request, Phase{}, now);

    RouteDecision prefill = pick(*view, request, Phase{GroupRole::Prefill}, now);
    if (!prefill.group_)
        return pick(*view, request, Phase{}, now);
    const Phase decodePhase{GroupRole::Decode, &prefill.group_->domain_};
    const RouteDecision decode = pick(*view, request, decodePhase, now);
    if (!decode.group_)
        return pick(*view, request, Phase{}, now);
    prefill.decodeGroup_ = decode.group_;
    return prefill;
}

const ServiceView *RouterState::viewOf(const RoutingSnapshot &snapshot, const ServiceName &service,
                                       TimePoint now)
{
    const bool isSame = viewedSnapshot_ == &snapshot && viewedSequence_ == snapshot.sequence_
                        && snapshot.sequence_ != 0 && now - viewedAt_ < viewMaxAge;
    if (!isSame)
        resetViews(snapshot, now);
    const auto found = views_.find(service);
    if (found != views_.end())
        return &found->second;
    const SnapshotService *groups = snapshot.service(service);
    if (!groups)
        return nullptr;
    auto view = makeServiceView(snapshot, *groups, policy_, registry_, now);
    return &views_.emplace(service, std::move(view)).first->second;
}

void RouterState::resetViews(const RoutingSnapshot &snapshot, TimePoint now)
{
    views_.clear();
    viewedSnapshot_ = &snapshot;
    viewedSequence_ = snapshot.sequence_;
    viewedAt_ = now;
    registry_.evictUnseen(now);
}

void RouterState::markExcluded(const ServiceView &view, std::span<const GroupId> excluded)
{
    isExcluded_.assign(view.groups_.size(), 0);
    for (const GroupId &group : excluded) {
        const auto owner = registry_.find(group);
        const auto position = owner ? view.position(*owner) : std::nullopt;
        if (position)
            isExcluded_[*position] = 1;
    }
}

RouteDecision RouterState::pick(const ServiceView &view, const RouteRequest &request,
                                const Phase &phase, TimePoint now)
{
    RouteDecision decision;
    computeLoads(view, request, phase, now, decision, false);
    // Ejected groups are used if no other group is eligible.
    if (decision.usable_ == 0 && decision.skipped_.ejected_ > 0)
        computeLoads(view, request, phase, now, decision, true);
    if (decision.usable_ == 0) {
        decision.reason_ = unroutableReason(decision.skipped_);
        return decision;
    }
    const LoadSummary summary = summarizeLoads();
    const bool usesCache = phase.role_ != GroupRole::Decode;
    if (usesCache && pickByPrefix(view, request, summary, now, decision))
        return decision;
    pickBetterOfTwo(view, summary, decision);
    return decision;
}

bool RouterState::isEligible(const GroupView &entry, std::size_t position,
                             const RouteRequest &request, const Phase &phase, TimePoint now,
                             SkippedGroups &skipped) const
{
    std::uint32_t *cause = nullptr;
    if (entry.role_ != phase.role_)
        cause = &skipped.otherRole_;
    else if (now >= entry.freshUntil_)
        cause = &skipped.stale_;
    else if (entry.isVetoed_)
        cause = &skipped.vetoed_;
    else if (isExcluded_[position])
        cause = &skipped.excluded_;
    else if (request.requiredModel_ && entry.group_->model_ != *request.requiredModel_)
        cause = &skipped.otherModel_;
    if (cause)
        ++*cause;
    return cause == nullptr;
}

void RouterState::computeLoads(const ServiceView &view, const RouteRequest &request,
                               const Phase &phase, TimePoint now, RouteDecision &decision,
                               bool includesEjected)
{
    const std::size_t count = view.groups_.size();
    loads_.assign(count, skippedLoad);
    localPositions_.clear();
    remotePositions_.clear();
    decision.skipped_ = SkippedGroups{};
    for (std::size_t position = 0; position < count; ++position) {
        const GroupView &entry = view.groups_[position];
        if (!isEligible(entry, position, request, phase, now, decision.skipped_))
            continue;
        if (entry.isEjected_ && !includesEjected) {
            ++decision.skipped_.ejected_;
            continue;
        }
        double load
            = (entry.otherInFlight_ + registry_.inFlight(entry.owner_)) * entry.inverseCapacity_;
        if (phase.preferredDomain_ && entry.group_->domain_ != *phase.preferredDomain_)
            load += policy_.crossDomainPenalty_;
        loads_[position] = load;
        auto &positions = entry.isLocal_ ? localPositions_ : remotePositions_;
        positions.push_back(static_cast<std::uint32_t>(position));
    }
    decision.usable_ = static_cast<std::uint32_t>(localPositions_.size() + remotePositions_.size());
}

RouterState::LoadSummary RouterState::summarizeLoads() const
{
    LoadSummary summary{0, infiniteLoad, infiniteLoad};
    for (const std::uint32_t position : localPositions_) {
        summary.leastLocal_ = std::min(summary.leastLocal_, loads_[position]);
        summary.mean_ += loads_[position];
    }
    for (const std::uint32_t position : remotePositions_) {
        summary.leastRemote_ = std::min(summary.leastRemote_, loads_[position]);
        summary.mean_ += loads_[position];
    }
    summary.mean_ /= double(localPositions_.size() + remotePositions_.size());
    return summary;
}

bool RouterState::pickByPrefix(const ServiceView &view, const RouteRequest &request,
                               const LoadSummary &summary, TimePoint now, RouteDecision &decision)
{
    const auto blocks = request.prefixHashes_;
    const double limit = summary.mean_ + policy_.affinitySlack_;
    const std::size_t matched = index_.matchedBlocks(blocks, now);
    const std::size_t homeDepth = std::bit_floor(blocks.size());
    if (matched >= homeDepth && matched > 0
        && pickHolderAt(view, blocks[matched - 1], matched, limit, now, decision))
        return true;
    // Other entry VMs may have sent the prefix to its home group, on which all of them agree.
    if (homeDepth >= minimumHomeBlocks && pickHome(view, blocks[homeDepth - 1], limit, decision))
        return true;
    // Shorter prefixes have more holders, so try them if the holders of longer ones are overloaded.
    for (std::size_t depth = matched; depth > 0; depth /= 2) {
        if (pickHolderAt(view, blocks[depth - 1], depth, limit, now, decision))
            return true;
    }
    return false;
}

double RouterState::affinityLoad(const ServiceView &view, std::size_t position) const
{
    const double penalty = view.groups_[position].isLocal_ ? 0 : policy_.affinityZoneSlack_;
    return loads_[position] + penalty;
}

bool RouterState::pickHolderAt(const ServiceView &view, std::uint64_t block, std::size_t depth,
                               double limit, TimePoint now, RouteDecision &decision) const
{
    double best = infiniteLoad;
    std::size_t bestPosition = 0;
    const PrefixHolders holders = index_.holders(block, now);
    for (const OwnerIndex owner : holders.all()) {
        const auto position = view.position(owner);
        if (!position || loads_[*position] == skippedLoad)
            continue;
        const double load = affinityLoad(view, *position);
        if (load < best) {
            best = load;
            bestPosition = *position;
        }
    }
    if (best > limit)
        return false;
    decision.group_ = view.groups_[bestPosition].group_;
    decision.reason_ = RouteReason::PrefixAffinity;
    addCandidate(decision, view.groups_[bestPosition], best, depth);
    return true;
}

bool RouterState::pickHome(const ServiceView &view, std::uint64_t homeHash, double limit,
                           RouteDecision &decision) const
{
    HomeCandidate first;
    HomeCandidate second;
    for (const auto *positions : {&localPositions_, &remotePositions_}) {
        for (const std::uint32_t position : *positions) {
            const HomeCandidate home{mix(homeHash ^ view.groups_[position].hash_), position};
            if (home.weight_ > first.weight_)
                second = std::exchange(first, home);
            else if (home.weight_ > second.weight_)
                second = home;
        }
    }
    for (const HomeCandidate &home : {first, second}) {
        const bool isNone = home.weight_ == 0;
        const double load = isNone ? infiniteLoad : affinityLoad(view, home.position_);
        if (load > limit)
            continue;
        decision.group_ = view.groups_[home.position_].group_;
        decision.reason_ = RouteReason::PrefixHome;
        addCandidate(decision, view.groups_[home.position_], load);
        return true;
    }
    return false;
}

const std::vector<std::uint32_t> &RouterState::candidatePool(const LoadSummary &summary)
{
    if (remotePositions_.empty())
        return localPositions_;
    if (localPositions_.empty())
        return remotePositions_;
    if (summary.leastLocal_ <= summary.leastRemote_ + policy_.zoneSlack_)
        return localPositions_;
    allPositions_ = localPositions_;
    allPositions_.insert(allPositions_.end(), remotePositions_.begin(), remotePositions_.end());
    return allPositions_;
}

void RouterState::pickBetterOfTwo(const ServiceView &view, const LoadSummary &summary,
                                  RouteDecision &decision)
{
    const auto &positions = candidatePool(summary);
    const auto loadOf = [&](std::uint32_t position) {
        const double penalty = view.groups_[position].isLocal_ ? 0 : policy_.zoneSlack_;
        return loads_[position] + penalty;
    };
    std::uint32_t chosen = positions[random_.below(positions.size())];
    decision.reason_ = RouteReason::OnlyCandidate;
    if (positions.size() > 1) {
        std::uint32_t other = positions[random_.below(positions.size() - 1)];
        if (other == chosen)
            other = positions.back();
        if (loadOf(other) < loadOf(chosen))
            std::swap(chosen, other);
        decision.reason_ = RouteReason::BetterOfTwo;
        addCandidate(decision, view.groups_[chosen], loadOf(chosen));
        addCandidate(decision, view.groups_[other], loadOf(other));
    } else {
        addCandidate(decision, view.groups_[chosen], loadOf(chosen));
    }
    decision.group_ = view.groups_[chosen].group_;
}

void RouterState::started(const GroupId &group, std::span<const std::uint64_t> blocks,
                          TimePoint now)
{
    const OwnerIndex owner = registry_.findOrAdd(group);
    registry_.state(owner).lastSeenAt_ = now;
    registry_.started(owner, now);
    index_.add(blocks, owner, now);
}

void RouterState::finished(const GroupId &group, const RequestSample &sample, TimePoint now)
{
    const auto owner = registry_.find(group);
    if (owner)
        registry_.finished(*owner, sample, now);
}

void RouterState::cacheChanged(const CacheEvent &event, TimePoint now)
{
    const auto owner = registry_.find(event.group_);
    if (!owner)
        return;
    GroupState &state = registry_.state(*owner);
    if (event.generation_ < state.generation_)
        return;
    registry_.observeGeneration(*owner, event.generation_, now);
    if (state.lastCacheSequence_ && event.sequence_ <= *state.lastCacheSequence_)
        return;
    const bool hasGap
        = state.lastCacheSequence_ && event.sequence_ != *state.lastCacheSequence_ + 1;
    state.lastCacheSequence_ = event.sequence_;
    if (hasGap)
        index_.invalidateBefore(*owner, now - policy_.eventGapRetention_);
    switch (event.kind_) {
    case CacheEventKind::Stored:
        index_.add(event.blocks_, *owner, now);
        return;
    case CacheEventKind::Removed:
        index_.remove(event.blocks_, *owner);
        return;
    case CacheEventKind::Cleared:
        index_.invalidateBefore(*owner, now);
        return;
    }
}

std::uint32_t RouterState::inFlight(const GroupId &group) const
{
    const auto owner = registry_.find(group);
    return owner ? registry_.inFlight(*owner) : 0;
}

} // namespace cardamombay::routing::impl
