#include <cardamombay/serving/balancer.hpp>

#include <cardamombay/core/hash.hpp>
#include <cardamombay/serving/engine_model.hpp>

#include <algorithm>

namespace cardamombay::serving {

namespace {

/// Requests that may wait at a group beyond its batch, as a share of the batch: an eighth of it is
/// free again after an eighth of the time that an answer lasts.
constexpr double waitingShare = 0.12;

/// The same for requests whose caller has a part of the answer: a broken answer is lost whole.
constexpr double begunWaitingShare = 0.4;

/// Part of the goal that the predicted time to the first event may take; the rest is for the
/// network.
constexpr double goalShare = 0.92;
/// A request comes in the middle of a pass, and its first event at the end of the next one.
constexpr double passesToFirstEvent = 1.5;
/// Share of its time that a busy group spends reading; the rest are the steps of those that write.
constexpr double readingShare = 0.8;
/// Share of the goal that may wait at a group which a held request is sent to: what can still be on
/// time goes first.
constexpr double heldBacklogShare = 0.2;

/// Requests that may wait at a plain endpoint, as a share of its slots: one more round.
constexpr double plainWaitingShare = 1.0;

/// Groups that are compared at least; two random choices already avoid the worst.
constexpr std::size_t leastDraws = 2;
/// So many entry VMs send about one request to a group between two digests and may compare all
/// groups.
constexpr std::size_t entriesThatSeeAll = 8;

/// A new connection is priced, and takes an engine's time as well; a third of a pass.
constexpr Duration newConnectionCost = std::chrono::milliseconds(20);

/// Share of the newest prompt in the mean of those seen here: some fifty requests.
constexpr double promptWeight = 0.02;

std::size_t withWaiting(std::size_t slots, double share)
{
    return slots + static_cast<std::size_t>(static_cast<double>(slots) * share);
}

} // namespace

Balancer::Balancer(const EndpointRegistry &book, const LoadTracker &board,
                   const net::UnusedConnections &connections, Random random)
    : endpointRegistry_(book)
    , loadTracker_(board)
    , connections_(connections)
    , random_(random)
{
}

void Balancer::setRegions(std::map<AvailabilityZone, RegionName> regions)
{
    regions_ = std::move(regions);
    derived_.clear();
}

RegionName Balancer::regionOf(const Endpoint &endpoint) const
{
    const auto found = regions_.find(endpoint.zone_);
    return found == regions_.end() ? RegionName() : found->second;
}

/// Unlike an endpoint that is only full or lost, one in an allowed region will not come by itself.
bool Balancer::isOutOfRegion(const RoutingRequest &request) const
{
    if (!request.regions_.isBound())
        return false;
    const auto endpoints = endpointRegistry_.ofService(request.service_->name_);
    return std::none_of(endpoints.begin(), endpoints.end(), [&](const Endpoint *endpoint) {
        return request.regions_.allow(regionOf(*endpoint));
    });
}

std::vector<Balancer::Candidate> Balancer::derive(const Service &service) const
{
    std::vector<Candidate> result;
    const auto endpoints = endpointRegistry_.ofService(service.name_);
    if (!service.engine_) {
        for (const auto *endpoint : endpoints) {
            if (endpointRegistry_.takesRequests(*endpoint))
                result.push_back({endpoint->id_,
                                  endpoint->address_,
                                  endpoint->startedAt_,
                                  {},
                                  1,
                                  regionOf(*endpoint)});
        }
        return result;
    }
    for (const auto &group : groupsOf(endpoints)) {
        const auto *model = service.engine_->model(group.model_);
        // No group serves while any of its members is missing.
        if (model == nullptr || group.state() != MemberState::Open
            || !group.isComplete(model->members_) || !endpointRegistry_.takesRequests(*group.head_))
            continue;
        result.push_back({group.head_->id_, group.head_->address_, group.head_->startedAt_,
                          group.model_, group.isFar() ? service.engine_->farFactor_ : 1,
                          regionOf(*group.head_)});
    }
    return result;
}

const std::vector<Balancer::Candidate> &Balancer::candidatesOf(const Service &service)
{
    auto &derived = derived_[service.name_];
    if (derived.revision_ != endpointRegistry_.revision()) {
        derived.candidates_ = derive(service);
        derived.revision_ = endpointRegistry_.revision();
    }
    return derived.candidates_;
}

bool Balancer::hasLeft(const VmId &endpoint) const
{
    const auto *known = endpointRegistry_.find(endpoint);
    return known == nullptr || known->isDraining_;
}

bool Balancer::isEvacuated(const VmId &endpoint) const
{
    const auto *known = endpointRegistry_.find(endpoint);
    return known != nullptr && endpointRegistry_.isEvacuated(*known);
}

std::size_t Balancer::servingGroups(const Service &service, const ModelName &model)
{
    const auto &candidates = candidatesOf(service);
    return static_cast<std::size_t>(
        std::count_if(candidates.begin(), candidates.end(),
                      [&model](const Candidate &one) { return one.model_ == model; }));
}

Balancer::Usable Balancer::usable(const RoutingRequest &request, TimePoint now)
{
    Usable result;
    std::vector<const Candidate *> avoided;
    for (const auto &candidate : candidatesOf(*request.service_)) {
        if (request.service_->engine_ && candidate.model_ != request.model_)
            continue;
        if (!request.regions_.allow(candidate.region_))
            continue;
        const bool wasTried
            = std::find(request.tried_.begin(), request.tried_.end(), candidate.endpoint_)
              != request.tried_.end();
        if (wasTried || loadTracker_.hasCrashed(candidate.endpoint_, candidate.startedAt_))
            continue;
        const auto barred = request.gate_ == nullptr
                                ? std::nullopt
                                : request.gate_->sendBlock(candidate.incarnation(), now);
        if (barred) {
            if (barred->reason_ == SendBlock::Reason::Cooldown) {
                ++result.cooling_;
                result.soonestCooled_
                    = std::min(result.soonestCooled_.value_or(barred->left_), barred->left_);
            }
            continue;
        }
        auto &list = loadTracker_.isUsable(candidate.endpoint_, now) ? result.candidates_ : avoided;
        list.push_back(&candidate);
    }
    // A plain endpoint that fails often still serves more than none. A request for a group waits
    // instead until one of the groups is tried again.
    if (result.candidates_.empty() && !request.service_->engine_)
        result.candidates_ = std::move(avoided);
    return result;
}

/// Tokens: the operators' figure, or else the mean of the prompts that came here.
std::size_t Balancer::usualPrompt(const RoutingRequest &request) const
{
    const auto declared = request.service_->engine_->usualPrompt_;
    if (declared > 0)
        return declared;
    const auto seen = seenPrompts_.find(request.service_->name_);
    return seen == seenPrompts_.end() ? request.promptTokens_
                                      : static_cast<std::size_t>(seen->second);
}

void Balancer::notePrompt(const RoutingRequest &request)
{
    const auto tokens = static_cast<double>(request.promptTokens_);
    const auto [seen, isFirst] = seenPrompts_.try_emplace(request.service_->name_, tokens);
    if (!isFirst)
        seen->second += (tokens - seen->second) * promptWeight;
}

Duration Balancer::backlog(const Candidate &candidate, const EngineProfile &profile,
                           TimePoint now) const
{
    const auto *model = profile.model(candidate.model_);
    const double rate
        = profile.readTokensPerSecond_ * readingShare / (model->pace_ * candidate.slowness_);
    return fromSeconds(loadTracker_.pendingPromptTokens(candidate.endpoint_, rate, now) / rate);
}

/// Time to the first event if the request goes to the group now.
Duration Balancer::timeToFirst(const Candidate &candidate, const RoutingRequest &request,
                               TimePoint now) const
{
    const auto &profile = *request.service_->engine_;
    const EngineModel model(profile, *profile.model(candidate.model_));
    const auto pass = model.pauseBetweenEvents(loadTracker_.totalRequests(candidate.endpoint_) + 1,
                                               model.usualContext());
    // Large prompts are no reason to wait longer than small ones: all are weighed at the usual
    // size.
    const auto own = model.readTime(std::min(request.promptTokens_, usualPrompt(request)));
    const double work = toSeconds(pass) * passesToFirstEvent + toSeconds(own);
    return fromSeconds(work * candidate.slowness_) + backlog(candidate, profile, now);
}

bool Balancer::hasRoom(const Candidate &candidate, const RoutingRequest &request,
                       TimePoint now) const
{
    const auto &profile = *request.service_->engine_;
    const auto share = request.hasPartialAnswer_ ? begunWaitingShare : waitingShare;
    const auto limit = request.wasQueued_ ? profile.slots_ : withWaiting(profile.slots_, share);
    if (loadTracker_.totalRequests(candidate.endpoint_) >= limit)
        return false;
    if (request.hasPartialAnswer_)
        return true;
    const auto goal = toSeconds(request.goal_);
    if (request.wasQueued_)
        return toSeconds(backlog(candidate, profile, now)) <= goal * heldBacklogShare;
    return toSeconds(timeToFirst(candidate, request, now)) <= goal * goalShare;
}

/// Time to the first event, and what a new connection is worth in such time.
Duration Balancer::cost(const Candidate &candidate, const RoutingRequest &request,
                        TimePoint now) const
{
    const auto time = timeToFirst(candidate, request, now);
    return connections_.hasUnused(candidate.address_) ? time : time + newConnectionCost;
}

const Balancer::Candidate *Balancer::first(const std::vector<const Candidate *> &candidates,
                                           const RequestFingerprint &suspect)
{
    const auto key = suspect.text();
    const Candidate *best = nullptr;
    std::uint64_t most = 0;
    for (const auto *candidate : candidates) {
        const auto weight = rendezvousWeight(key, candidate->endpoint_.text());
        if (best == nullptr || weight > most) {
            best = candidate;
            most = weight;
        }
    }
    return best;
}

/// The best of some groups that have room: a few drawn at random, and one more that a connection
/// leads to. What is known of the peers' requests is a digest old; if many entry VMs took the very
/// best, it would be overrun until the next one.
const Balancer::Candidate *Balancer::soonest(std::vector<const Candidate *> candidates,
                                             const RoutingRequest &request, TimePoint now)
{
    std::erase_if(candidates,
                  [&](const Candidate *candidate) { return !hasRoom(*candidate, request, now); });
    if (request.suspect_)
        return first(candidates, *request.suspect_);
    const auto entries = loadTracker_.peerCount() + 1;
    const auto draws = std::max(leastDraws, candidates.size() * entriesThatSeeAll / entries);
    const Candidate *best = nullptr;
    Duration least{};
    bool isConnected = false;
    for (std::size_t drawn = 0; !candidates.empty() && (drawn < draws || !isConnected); ++drawn) {
        const auto index = random_.below(candidates.size());
        const auto *candidate = candidates[index];
        candidates[index] = candidates.back();
        candidates.pop_back();
        const bool leadsThere = connections_.hasUnused(candidate->address_);
        if (drawn >= draws && !leadsThere)
            continue;
        isConnected = isConnected || leadsThere;
        const auto weighed = cost(*candidate, request, now);
        if (best == nullptr || weighed < least) {
            best = candidate;
            least = weighed;
        }
    }
    return best;
}

const Balancer::Candidate *Balancer::leastLoaded(const std::vector<const Candidate *> &candidates,
                                                 std::size_t limit)
{
    const Candidate *best = nullptr;
    double least = 0;
    for (const auto *candidate : candidates) {
        const auto load = loadTracker_.totalRequests(candidate->endpoint_);
        if (load >= limit)
            continue;
        const double connection = connections_.hasUnused(candidate->address_) ? 0 : 1;
        const double weighed = static_cast<double>(load) + connection + random_.unit();
        if (best == nullptr || weighed < least) {
            best = candidate;
            least = weighed;
        }
    }
    return best;
}

const Balancer::Candidate *Balancer::best(const std::vector<const Candidate *> &candidates,
                                          const RoutingRequest &request, TimePoint now)
{
    if (candidates.empty())
        return nullptr;
    if (request.service_->engine_)
        return soonest(candidates, request, now);
    const auto *endpoint = endpointRegistry_.find(candidates.front()->endpoint_);
    return leastLoaded(candidates, withWaiting(endpoint->slots_, plainWaitingShare));
}

} // namespace cardamombay::serving
