#include "routing/router_state.hpp"

#include <algorithm>
#include <bit>
#include <limits>
#include <utility>

namespace cardamombay::routing::impl {

namespace {

using endpoint::GroupRole;

constexpr double passedOverLoad = -1;
constexpr double noLoad = std::numeric_limits<double>::infinity();

/// Ejections by own measurement are looked at again this often under one snapshot.
constexpr Duration viewLife = std::chrono::seconds(1);

/// Prompts shorter than this many blocks have no home: there is little to save.
constexpr std::size_t minimumAnchor = 4;

/// \brief Spreads the bits of \p value (the finalizer of SplitMix64).
[[nodiscard]] std::uint64_t mix(std::uint64_t value)
{
    value = (value ^ (value >> 30)) * 0xbf58476d1ce4e5b9ULL;
    value = (value ^ (value >> 27)) * 0x94d049bb133111ebULL;
    return value ^ (value >> 31);
}

/// \brief Why nothing could be taken; the cause nearest to being usable is named.
[[nodiscard]] RouteReason reasonForNone(const SkippedGroups &passedOver)
{
    if (passedOver.otherModel_ > 0)
        return RouteReason::OtherModel;
    if (passedOver.excluded_ > 0)
        return RouteReason::AllExcluded;
    if (passedOver.vetoed_ > 0)
        return RouteReason::AllVetoed;
    if (passedOver.stale_ > 0)
        return RouteReason::AllStale;
    return RouteReason::NoGroups;
}

/// \brief A group's rank as the home of a prefix.
struct Home
{
    std::uint64_t weight_ = 0; ///< Zero: none.
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
    , index_(policy.prefixEntries_, policy.prefixLife_)
    , book_(index_)
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
        return pick(*view, request, Step{*request.role_}, now);
    if (!view->hasPairs_)
        return pick(*view, request, Step{}, now);

    RouteDecision prefill = pick(*view, request, Step{GroupRole::Prefill}, now);
    if (!prefill.group_)
        return pick(*view, request, Step{}, now);
    const Step decodeStep{GroupRole::Decode, &prefill.group_->domain_};
    const RouteDecision decode = pick(*view, request, decodeStep, now);
    if (!decode.group_)
        return pick(*view, request, Step{}, now);
    prefill.decodeGroup_ = decode.group_;
    return prefill;
}

const ServiceView *RouterState::viewOf(const RoutingSnapshot &snapshot, const ServiceName &service,
                                       TimePoint now)
{
    const bool isSame = viewed_ == &snapshot && viewedSequence_ == snapshot.sequence_
                        && snapshot.sequence_ != 0 && now - viewedAt_ < viewLife;
    if (!isSame)
        dropViews(snapshot, now);
    const auto found = views_.find(service);
    if (found != views_.end())
        return &found->second;
    const SnapshotService *groups = snapshot.service(service);
    if (!groups)
        return nullptr;
    auto view = makeServiceView(snapshot, *groups, policy_, book_, now);
    return &views_.emplace(service, std::move(view)).first->second;
}

void RouterState::dropViews(const RoutingSnapshot &snapshot, TimePoint now)
{
    views_.clear();
    viewed_ = &snapshot;
    viewedSequence_ = snapshot.sequence_;
    viewedAt_ = now;
    book_.forgetUnseen(now);
}

void RouterState::markExcluded(const ServiceView &view, std::span<const GroupId> excluded)
{
    isExcluded_.assign(view.groups_.size(), 0);
    for (const GroupId &group : excluded) {
        const auto owner = book_.find(group);
        const auto position = owner ? view.position(*owner) : std::nullopt;
        if (position)
            isExcluded_[*position] = 1;
    }
}

RouteDecision RouterState::pick(const ServiceView &view, const RouteRequest &request,
                                const Step &step, TimePoint now)
{
    RouteDecision decision;
    weigh(view, request, step, now, decision, false);
    // Ejection only ever prefers: a slow group is better than none.
    if (decision.usable_ == 0 && decision.passedOver_.ejected_ > 0)
        weigh(view, request, step, now, decision, true);
    if (decision.usable_ == 0) {
        decision.reason_ = reasonForNone(decision.passedOver_);
        return decision;
    }
    const Weighed weighed = summarize();
    const bool usesCache = step.role_ != GroupRole::Decode;
    if (usesCache && pickByPrefix(view, request, weighed, now, decision))
        return decision;
    pickBetterOfTwo(view, weighed, decision);
    return decision;
}

bool RouterState::mayTake(const GroupView &entry, std::size_t position, const RouteRequest &request,
                          const Step &step, TimePoint now, SkippedGroups &passedOver) const
{
    std::uint32_t *cause = nullptr;
    if (entry.role_ != step.role_)
        cause = &passedOver.otherRole_;
    else if (now >= entry.freshUntil_)
        cause = &passedOver.stale_;
    else if (entry.isVetoed_)
        cause = &passedOver.vetoed_;
    else if (isExcluded_[position])
        cause = &passedOver.excluded_;
    else if (request.requiredModel_ && entry.group_->model_ != *request.requiredModel_)
        cause = &passedOver.otherModel_;
    if (cause)
        ++*cause;
    return cause == nullptr;
}

void RouterState::weigh(const ServiceView &view, const RouteRequest &request, const Step &step,
                        TimePoint now, RouteDecision &decision, bool takesEjected)
{
    const std::size_t count = view.groups_.size();
    loads_.assign(count, passedOverLoad);
    locals_.clear();
    remotes_.clear();
    decision.passedOver_ = SkippedGroups{};
    for (std::size_t position = 0; position < count; ++position) {
        const GroupView &entry = view.groups_[position];
        if (!mayTake(entry, position, request, step, now, decision.passedOver_))
            continue;
        if (entry.isEjected_ && !takesEjected) {
            ++decision.passedOver_.ejected_;
            continue;
        }
        double load = (entry.othersLoad_ + book_.inFlight(entry.owner_)) * entry.perCapacity_;
        if (step.near_ && entry.group_->domain_ != *step.near_)
            load += policy_.domainPenalty_;
        loads_[position] = load;
        auto &positions = entry.isLocal_ ? locals_ : remotes_;
        positions.push_back(static_cast<std::uint32_t>(position));
    }
    decision.usable_ = static_cast<std::uint32_t>(locals_.size() + remotes_.size());
}

RouterState::Weighed RouterState::summarize() const
{
    Weighed weighed{0, noLoad, noLoad};
    for (const std::uint32_t position : locals_) {
        weighed.leastLocal_ = std::min(weighed.leastLocal_, loads_[position]);
        weighed.mean_ += loads_[position];
    }
    for (const std::uint32_t position : remotes_) {
        weighed.leastRemote_ = std::min(weighed.leastRemote_, loads_[position]);
        weighed.mean_ += loads_[position];
    }
    weighed.mean_ /= double(locals_.size() + remotes_.size());
    return weighed;
}

bool RouterState::pickByPrefix(const ServiceView &view, const RouteRequest &request,
                               const Weighed &weighed, TimePoint now, RouteDecision &decision)
{
    const auto blocks = request.prefixHashes_;
    const double limit = weighed.mean_ + policy_.affinitySlack_;
    const std::size_t matched = index_.matchedBlocks(blocks, now);
    const std::size_t anchor = std::bit_floor(blocks.size());
    if (matched >= anchor && matched > 0
        && pickHolderAt(view, blocks[matched - 1], matched, limit, now, decision))
        return true;
    // Another entry VM may have served the rest of the prompt; all of them agree on its home.
    if (anchor >= minimumAnchor && pickHome(view, blocks[anchor - 1], limit, decision))
        return true;
    // Fewer matched blocks have more holders, so a loaded deep holder gives way to shallower ones.
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
    double best = noLoad;
    std::size_t bestPosition = 0;
    const PrefixHolders holders = index_.holders(block, now);
    for (const OwnerIndex owner : holders.all()) {
        const auto position = view.position(owner);
        if (!position || loads_[*position] == passedOverLoad)
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

bool RouterState::pickHome(const ServiceView &view, std::uint64_t anchor, double limit,
                           RouteDecision &decision) const
{
    Home first;
    Home second;
    for (const auto *positions : {&locals_, &remotes_}) {
        for (const std::uint32_t position : *positions) {
            const Home home{mix(anchor ^ view.groups_[position].hash_), position};
            if (home.weight_ > first.weight_)
                second = std::exchange(first, home);
            else if (home.weight_ > second.weight_)
                second = home;
        }
    }
    for (const Home &home : {first, second}) {
        const bool isNone = home.weight_ == 0;
        const double load = isNone ? noLoad : affinityLoad(view, home.position_);
        if (load > limit)
            continue;
        decision.group_ = view.groups_[home.position_].group_;
        decision.reason_ = RouteReason::PrefixHome;
        addCandidate(decision, view.groups_[home.position_], load);
        return true;
    }
    return false;
}

const std::vector<std::uint32_t> &RouterState::pool(const Weighed &weighed)
{
    if (remotes_.empty())
        return locals_;
    if (locals_.empty())
        return remotes_;
    if (weighed.leastLocal_ <= weighed.leastRemote_ + policy_.zoneSlack_)
        return locals_;
    all_ = locals_;
    all_.insert(all_.end(), remotes_.begin(), remotes_.end());
    return all_;
}

void RouterState::pickBetterOfTwo(const ServiceView &view, const Weighed &weighed,
                                  RouteDecision &decision)
{
    const auto &positions = pool(weighed);
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
    const OwnerIndex owner = book_.indexOf(group);
    book_.state(owner).seenAt_ = now;
    book_.started(owner, now);
    index_.add(blocks, owner, now);
}

void RouterState::finished(const GroupId &group, const RequestSample &sample, TimePoint now)
{
    const auto owner = book_.find(group);
    if (owner)
        book_.finished(*owner, sample, now);
}

void RouterState::cacheChanged(const CacheEvent &event, TimePoint now)
{
    const auto owner = book_.find(event.group_);
    if (!owner)
        return;
    GroupState &state = book_.state(*owner);
    if (event.generation_ < state.generation_)
        return;
    book_.formed(*owner, event.generation_, now);
    if (state.cacheSequence_ && event.sequence_ <= *state.cacheSequence_)
        return;
    const bool hasGap = state.cacheSequence_ && event.sequence_ != *state.cacheSequence_ + 1;
    state.cacheSequence_ = event.sequence_;
    if (hasGap)
        index_.distrustBefore(*owner, now - policy_.gapTrust_);
    switch (event.kind_) {
    case CacheEventKind::Stored:
        index_.add(event.blocks_, *owner, now);
        return;
    case CacheEventKind::Removed:
        index_.remove(event.blocks_, *owner);
        return;
    case CacheEventKind::Cleared:
        index_.distrustBefore(*owner, now);
        return;
    }
}

std::uint32_t RouterState::inFlight(const GroupId &group) const
{
    const auto owner = book_.find(group);
    return owner ? book_.inFlight(*owner) : 0;
}

} // namespace cardamombay::routing::impl
