// Second part of Balancer: prioritizes endpoints by their notices.
#include <cardamombay/serving/balancer.hpp>
#include <cardamombay/serving/engine_model.hpp>

#include <algorithm>
#include <utility>

namespace cardamombay::serving {

namespace {

/// A healthy group with much prefill work pauses for at most one pass; a pause a third longer
/// counts as a stall.
constexpr double stallFactor = 1.3;
constexpr Duration networkAllowance = std::chrono::milliseconds(20);

/// Endpoints whose sends become due up to this much later than the first are still compared by
/// load; a new connection costs as much.
constexpr Duration waitTolerance = std::chrono::milliseconds(20);

/// Maximum time after the end of a cooldown over which the retries of callers are spread.
constexpr Duration maxReturnSpread = std::chrono::seconds(2);

Duration stallTimeoutOf(const Service &service, const ModelName &name, double slowdown)
{
    const auto *model = service.engine_ ? service.engine_->model(name) : nullptr;
    if (model == nullptr)
        return Duration::zero();
    const auto pause = EngineModel(*service.engine_, *model).maxEventInterval();
    return fromSeconds(toSeconds(pause) * slowdown * stallFactor) + networkAllowance;
}

} // namespace

/// Used only if no unlimited endpoint has capacity, since a rate limit indicates a shortage at the
/// endpoint. Requests that wait for their turn do not count as load, so an endpoint at its limit
/// may seem idle.
Choice Balancer::chooseLimited(const std::vector<const Candidate *> &limited,
                               const RoutingRequest &request, TimePoint now)
{
    std::vector<const Candidate *> open;
    std::optional<Duration> earliestRetry;
    for (const auto *candidate : limited) {
        const auto timeUntilCapacity
            = request.gate_->timeUntilCapacity(candidate->incarnation(), request.maxWait_);
        if (!timeUntilCapacity)
            open.push_back(candidate);
        else if (!earliestRetry || *timeUntilCapacity < *earliestRetry)
            earliestRetry = timeUntilCapacity;
    }
    const auto *candidate = best(shortestWaits(open, *request.gate_), request, now);
    if (candidate == nullptr)
        candidate = best(open, request, now); // Those that wait least may be full.
    if (candidate != nullptr)
        return NeedsReservation{candidate->incarnation()};
    // If an endpoint is within its rate limit but full, a slot may become free at any time.
    if (open.empty() && earliestRetry)
        return NoEndpointInTime{*earliestRetry, "all endpoints have reached their limits"};
    return NoTarget::Full;
}

std::vector<const Balancer::Candidate *>
Balancer::shortestWaits(std::vector<const Candidate *> candidates, const SendGate &gate)
{
    auto shortest = Duration::max();
    for (const auto *candidate : candidates)
        shortest = std::min(shortest, gate.expectedWait(candidate->incarnation()));
    std::erase_if(candidates, [&](const Candidate *candidate) {
        return gate.expectedWait(candidate->incarnation()) > shortest + waitTolerance;
    });
    return candidates;
}

/// Adds jitter so that callers do not all retry at the end of the cooldown.
Choice Balancer::afterCooldown(Duration remaining, const RoutingRequest &request)
{
    if (remaining <= request.maxWait_)
        return NoTarget::Cooldown;
    const auto spread = std::min(maxReturnSpread, remaining / 2);
    return NoEndpointInTime{remaining + fromSeconds(toSeconds(spread) * random_.unit()),
                            "all endpoints ask to be left alone"};
}

Choice Balancer::choose(const RoutingRequest &request, TimePoint now)
{
    if (request.service_->engine_)
        recordPromptSize(request);
    auto found = usableCandidates(request, now);
    if (found.candidates_.empty() && isOutOfRegion(request))
        return NoTarget::NoRegion;
    if (found.candidates_.empty())
        return found.earliestCooldownEnd_ ? afterCooldown(*found.earliestCooldownEnd_, request)
                                          : Choice(NoTarget::NoEndpoint);
    auto choice = chooseByPriority(std::move(found.candidates_), request, now);
    if (auto *target = std::get_if<Target>(&choice))
        target->skippedInCooldown_ = found.inCooldown_;
    // A cooldown may end before a rate limit allows the next send.
    const auto *none = std::get_if<NoEndpointInTime>(&choice);
    if (none != nullptr && found.earliestCooldownEnd_
        && *found.earliestCooldownEnd_ < none->retryAfter_)
        return afterCooldown(*found.earliestCooldownEnd_, request);
    return choice;
}

/// Endpoints that refused peers come last. They may still accept requests from here and may be the
/// only ones available.
Choice Balancer::chooseByPriority(std::vector<const Candidate *> candidates,
                                  const RoutingRequest &request, TimePoint now)
{
    const auto firstDeprioritized
        = std::partition(candidates.begin(), candidates.end(), [&](const Candidate *candidate) {
              return request.gate_ == nullptr
                     || !request.gate_->isDeprioritized(candidate->incarnation(), now);
          });
    std::vector<const Candidate *> deprioritized(firstDeprioritized, candidates.end());
    candidates.erase(firstDeprioritized, candidates.end());
    if (deprioritized.empty())
        return chooseUnlimitedFirst(std::move(candidates), request, now);
    if (candidates.empty())
        return chooseUnlimitedFirst(std::move(deprioritized), request, now);
    auto choice = chooseUnlimitedFirst(std::move(candidates), request, now);
    if (std::holds_alternative<Target>(choice) || std::holds_alternative<NeedsReservation>(choice))
        return choice;
    return chooseUnlimitedFirst(std::move(deprioritized), request, now);
}

Choice Balancer::chooseUnlimitedFirst(std::vector<const Candidate *> candidates,
                                      const RoutingRequest &request, TimePoint now)
{
    std::vector<const Candidate *> limited;
    std::erase_if(candidates, [&](const Candidate *candidate) {
        const bool isLimited = request.gate_ != nullptr
                               && request.reserved_ != candidate->incarnation()
                               && request.gate_->isLimited(candidate->incarnation());
        if (isLimited)
            limited.push_back(candidate);
        return isLimited;
    });
    if (const auto *candidate = best(candidates, request, now)) {
        const auto stallTimeout
            = request.service_->engine_
                  ? stallTimeoutOf(*request.service_, request.model_, candidate->slowdown_)
                  : Duration::zero();
        Target target{candidate->endpoint_, candidate->address_, stallTimeout,
                      candidate->startedAt_};
        if (request.hasRanks_)
            target.predictedFirst_ = timeToFirst(*candidate, request, now);
        return target;
    }
    if (limited.empty())
        return NoTarget::Full;
    const auto choice = chooseLimited(limited, request, now);
    const bool mayFreeUp = !candidates.empty() && std::holds_alternative<NoEndpointInTime>(choice);
    return mayFreeUp ? Choice(NoTarget::Full) : choice;
}

} // namespace cardamombay::serving
