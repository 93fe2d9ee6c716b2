#include <cardamombay/serving/balancer.hpp>

#include <cardamombay/core/hash.hpp>
#include <cardamombay/serving/engine_model.hpp>

#include <algorithm>

namespace cardamombay::serving {

namespace {

/// Requests that may queue at a group beyond its batch, as a share of the batch: an eighth of the
/// batch becomes free within an eighth of the duration of an answer.
constexpr double queueShare = 0.12;

/// The same for requests whose caller already has part of the answer: if such an answer breaks off,
/// the whole answer is lost.
constexpr double partialAnswerQueueShare = 0.4;

/// Share of the target time that the predicted time to the first event may use; the rest is left
/// for the network.
constexpr double goalShare = 0.92;
/// On average a request arrives in the middle of a pass, and its first event is sent at the end of
/// the next one.
constexpr double passesBeforeFirstEvent = 1.5;
/// Share of its time that a busy group spends on prefill; the rest goes to decoding.
constexpr double readingShare = 0.8;
/// Maximum backlog, as a share of the target time, of a group that gets a queued request: requests
/// that can still be on time take precedence.
constexpr double queuedBacklogShare = 0.2;

/// Requests that may queue at a plain endpoint, as a share of its slots: one more round of
/// requests.
constexpr double plainQueueShare = 1.0;

/// Minimum number of groups compared: two random choices are enough to avoid the worst.
constexpr std::size_t minDraws = 2;
/// Up to this many entry VMs together send about one request to a group between two digests, so
/// each may compare all groups.
constexpr std::size_t entriesComparingAll = 8;

/// Cost of a new connection in terms of time, a third of a pass: connections are billed and also
/// take up the engine's time.
constexpr Duration newConnectionCost = std::chrono::milliseconds(20);

/// The difference between observed and predicted times to the first event is tracked as a low
/// quantile, since requests that wait in an engine's queue take longer for another reason.
constexpr double firstEventQuantile = 0.35;
/// An added time of 110 ms is followed within about 80 answers.
constexpr Duration firstEventStep = std::chrono::milliseconds(4);

/// Weight of a new prompt in the moving average, which covers about 50 requests.
constexpr double newPromptWeight = 0.02;

std::size_t withQueue(std::size_t slots, double share)
{
    return slots + static_cast<std::size_t>(static_cast<double>(slots) * share);
}

} // namespace

Balancer::Balancer(const EndpointRegistry &endpointRegistry, const LoadTracker &loadTracker,
                   const net::UnusedConnections &connections, Random random)
    : endpointRegistry_(endpointRegistry)
    , loadTracker_(loadTracker)
    , connections_(connections)
    , random_(random)
{
}

void Balancer::setRegions(std::map<AvailabilityZone, RegionName> regions)
{
    regions_ = std::move(regions);
    candidateCaches_.clear();
}

RegionName Balancer::regionOf(const Endpoint &endpoint) const
{
    const auto found = regions_.find(endpoint.zone_);
    return found == regions_.end() ? RegionName() : found->second;
}

/// Unlike a lack of capacity or a lost endpoint, a missing region does not resolve itself.
bool Balancer::isOutOfRegion(const RoutingRequest &request) const
{
    if (!request.regions_.areRestricted())
        return false;
    const auto endpoints = endpointRegistry_.ofService(request.service_->name_);
    return std::none_of(endpoints.begin(), endpoints.end(), [&](const Endpoint *endpoint) {
        return request.regions_.allow(regionOf(*endpoint));
    });
}

std::vector<Balancer::Candidate> Balancer::buildCandidates(const Service &service) const
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
        // A group cannot serve while any of its members is missing.
        if (model == nullptr || group.state() != MemberState::Open
            || !group.isComplete(model->members_) || !endpointRegistry_.takesRequests(*group.head_))
            continue;
        result.push_back({group.head_->id_, group.head_->address_, group.head_->startedAt_,
                          group.model_,
                          group.spansDomains() ? service.engine_->crossDomainFactor_ : 1,
                          regionOf(*group.head_)});
    }
    return result;
}

const std::vector<Balancer::Candidate> &Balancer::candidatesOf(const Service &service)
{
    auto &cache = candidateCaches_[service.name_];
    if (cache.revision_ != endpointRegistry_.revision()) {
        cache.candidates_ = buildCandidates(service);
        cache.revision_ = endpointRegistry_.revision();
    }
    return cache.candidates_;
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

Duration Balancer::firstEventTime(const RoutingRequest &request) const
{
    const auto &profile = *request.service_->engine_;
    const auto *known = profile.model(request.model_);
    if (known == nullptr)
        return Duration::zero();
    const EngineModel model(profile, *known);
    const auto pass = model.eventInterval(profile.slots_, model.meanContext());
    const auto own
        = model.prefillTime(std::min(request.promptTokens_, typicalPromptTokens(request)));
    return fromSeconds(toSeconds(pass) * passesBeforeFirstEvent + toSeconds(own))
           + firstEventCorrection(request.service_->name_);
}

Balancer::Usable Balancer::usableCandidates(const RoutingRequest &request, TimePoint now)
{
    Usable result;
    std::vector<const Candidate *> avoided;
    std::vector<const Candidate *> breaking;
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
        const auto block = request.gate_ == nullptr
                               ? std::nullopt
                               : request.gate_->sendBlock(candidate.incarnation(), now);
        if (block) {
            if (block->reason_ == SendBlock::Reason::Cooldown) {
                ++result.inCooldown_;
                result.earliestCooldownEnd_
                    = std::min(result.earliestCooldownEnd_.value_or(block->left_), block->left_);
            }
            continue;
        }
        if (!loadTracker_.isUsable(candidate.endpoint_, now))
            avoided.push_back(&candidate);
        else if (loadTracker_.isBreaking(candidate.endpoint_, now))
            breaking.push_back(&candidate);
        else
            result.candidates_.push_back(&candidate);
    }
    const auto all = result.candidates_.size() + breaking.size() + avoided.size();
    auto &list = mayAvoidBreaking(breaking.size(), all) ? avoided : result.candidates_;
    list.insert(list.end(), breaking.begin(), breaking.end());
    // A plain endpoint that often fails is still better than none. A request for a group waits
    // instead until an avoided group may be tried again.
    if (result.candidates_.empty() && !request.service_->engine_)
        result.candidates_ = std::move(avoided);
    return result;
}

/// Configured typical prompt size in tokens, or else the average of the prompts received here.
std::size_t Balancer::typicalPromptTokens(const RoutingRequest &request) const
{
    const auto declared = request.service_->engine_->meanPromptTokens_;
    if (declared > 0)
        return declared;
    const auto average = observedPromptTokens_.find(request.service_->name_);
    return average == observedPromptTokens_.end() ? request.promptTokens_
                                                  : static_cast<std::size_t>(average->second);
}

void Balancer::recordPromptSize(const RoutingRequest &request)
{
    const auto tokens = static_cast<double>(request.promptTokens_);
    const auto [average, isFirst]
        = observedPromptTokens_.try_emplace(request.service_->name_, tokens);
    if (!isFirst)
        average->second += (tokens - average->second) * newPromptWeight;
}

Duration Balancer::backlog(const Candidate &candidate, const EngineProfile &profile,
                           TimePoint now) const
{
    const auto *model = profile.model(candidate.model_);
    const double rate = profile.prefillTokensPerSecond_ * readingShare
                        / (model->timeFactor_ * candidate.slowdown_);
    return fromSeconds(loadTracker_.pendingPromptTokens(candidate.endpoint_, rate, now) / rate);
}

/// Predicted time to the first event if the request is sent to the group now.
Duration Balancer::timeToFirst(const Candidate &candidate, const RoutingRequest &request,
                               TimePoint now) const
{
    const auto &profile = *request.service_->engine_;
    const EngineModel model(profile, *profile.model(candidate.model_));
    const auto pass = model.eventInterval(loadTracker_.totalRequests(candidate.endpoint_) + 1,
                                          model.meanContext());
    // Large prompts must not wait longer than small ones, so none counts as more than the typical
    // size.
    const auto own
        = model.prefillTime(std::min(request.promptTokens_, typicalPromptTokens(request)));
    const double work = toSeconds(pass) * passesBeforeFirstEvent + toSeconds(own);
    return fromSeconds(work * candidate.slowdown_) + backlog(candidate, profile, now);
}

void Balancer::recordFirstEvent(const ServiceName &service, Duration predicted, Duration observed)
{
    firstEventCorrections_.try_emplace(service, QuantileTracker(firstEventQuantile, firstEventStep))
        .first->second.add(observed - predicted);
}

Duration Balancer::firstEventCorrection(const ServiceName &service) const
{
    const auto found = firstEventCorrections_.find(service);
    return found == firstEventCorrections_.end() ? Duration::zero() : found->second.value();
}

/// An idle group is judged by its profile alone: if the correction ruled out all groups, no
/// observation could lower it again.
Duration Balancer::correction(const Candidate &candidate, const RoutingRequest &request) const
{
    if (!request.hasRanks_ || loadTracker_.totalRequests(candidate.endpoint_) == 0)
        return Duration::zero();
    return firstEventCorrection(request.service_->name_);
}

bool Balancer::hasRoom(const Candidate &candidate, const RoutingRequest &request,
                       TimePoint now) const
{
    const auto &profile = *request.service_->engine_;
    const auto share = request.hasPartialAnswer_ ? partialAnswerQueueShare : queueShare;
    const auto limit = request.wasQueued_ ? profile.slots_ : withQueue(profile.slots_, share);
    if (loadTracker_.totalRequests(candidate.endpoint_) >= limit)
        return false;
    if (request.hasPartialAnswer_)
        return true;
    const auto goal = toSeconds(request.latencyGoal_);
    if (request.wasQueued_)
        return toSeconds(backlog(candidate, profile, now)) <= goal * queuedBacklogShare;
    const auto expected = timeToFirst(candidate, request, now) + correction(candidate, request);
    return toSeconds(expected) <= goal * goalShare;
}

/// Predicted time to the first event, plus the cost of a new connection if one is needed.
Duration Balancer::cost(const Candidate &candidate, const RoutingRequest &request,
                        TimePoint now) const
{
    const auto time = timeToFirst(candidate, request, now);
    return connections_.hasUnused(candidate.address_) ? time : time + newConnectionCost;
}

const Balancer::Candidate *Balancer::highestRanked(const std::vector<const Candidate *> &candidates,
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

/// Returns the best of a few randomly drawn groups with capacity, including at least one with an
/// open connection if there is any. Peer loads are as old as the last digest, so the best group
/// would be overloaded until the next one if many entry VMs chose it.
const Balancer::Candidate *Balancer::lowestLatency(std::vector<const Candidate *> candidates,
                                                   const RoutingRequest &request, TimePoint now)
{
    std::erase_if(candidates,
                  [&](const Candidate *candidate) { return !hasRoom(*candidate, request, now); });
    if (request.suspect_)
        return highestRanked(candidates, *request.suspect_);
    const auto entries = loadTracker_.peerCount() + 1;
    const auto draws = std::max(minDraws, candidates.size() * entriesComparingAll / entries);
    const Candidate *best = nullptr;
    Duration least{};
    bool hasConnectedCandidate = false;
    for (std::size_t drawn = 0; !candidates.empty() && (drawn < draws || !hasConnectedCandidate);
         ++drawn) {
        const auto index = random_.below(candidates.size());
        const auto *candidate = candidates[index];
        candidates[index] = candidates.back();
        candidates.pop_back();
        const bool hasConnection = connections_.hasUnused(candidate->address_);
        if (drawn >= draws && !hasConnection)
            continue;
        hasConnectedCandidate = hasConnectedCandidate || hasConnection;
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
        return lowestLatency(candidates, request, now);
    const auto *endpoint = endpointRegistry_.find(candidates.front()->endpoint_);
    return leastLoaded(candidates, withQueue(endpoint->slots_, plainQueueShare));
}

} // namespace cardamombay::serving
